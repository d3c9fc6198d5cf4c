"""Measure the cost of a configuration with 9,500 workspaces: pauses, memory, bytes, decisions.

Run with `PYTHONPATH=. .venv/bin/python tests/configuration/measure_configuration.py`.
"""

from __future__ import annotations

import asyncio
import gc
import hashlib
import json
import statistics
import time
import tracemalloc
from collections import Counter
from typing import Any

from configuration_links import Process

from gypsumrouter.configuration import ConfigurationStore, check_configuration
from gypsumrouter.const import MS_PER_S, Role, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.instances import Instance
from gypsumrouter.policy import Policy, RequestFacts
from gypsumrouter.standins import ConfigurationService
from gypsumrouter.util.clock import SystemClock

WORKSPACES = 9_500
CHANGES = 20
PROCESSES = 24
REPLICATED_CHANGES = 8
QUIET_S = 30
CHANGES_A_DAY = 3_500
SECONDS_A_DAY = 86_400
DECISIONS = 20_000


def make_document(version: int) -> bytes:
    workspaces: list[dict[str, Any]] = [
        {
            "name": f"w{number:05d}",
            "key_digests": [hashlib.sha256(str(number).encode()).hexdigest()],
        }
        for number in range(WORKSPACES)
    ]
    for change in range(version + 1):
        workspaces[change * 7]["share"] = change + 0.5
    document = {
        "version": version,
        "workspaces": workspaces,
        "classes": [{"name": "parents"}, {"name": "reports", "batch": True}],
        "pools": [{"name": "shared", "kind": "engine", "models": ["sizing", "quotes"]}],
        "rules": [
            {"name": f"r{n}", "when": {"min_bytes": 10_000 - n, "max_bytes": 10_000 - n}}
            for n in range(50)
        ],
        "default_class": "parents",
    }
    return json.dumps(document, separators=(",", ":")).encode()


class LoopDelayProbe:
    """Measures the longest delay of the event loop."""

    def __init__(self) -> None:
        self.worst_ms = 0.0
        self._task = asyncio.ensure_future(self._async_run())

    async def _async_run(self) -> None:
        last = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now = time.perf_counter()
            self.worst_ms = max(self.worst_ms, (now - last) * MS_PER_S)
            last = now

    async def async_reset(self) -> None:
        await asyncio.sleep(0.02)
        self.worst_ms = 0.0

    def stop(self) -> None:
        self._task.cancel()


def make_store(name: str) -> ConfigurationStore:
    app = Application(name=name, role=Role.ROUTER, data_centre="dc-1", region="r-1")
    return ConfigurationStore(app=app)


async def async_measure_pauses(frozen: bool) -> dict[str, float]:
    whole, parts = make_store("whole"), make_store("parts")
    for store in (whole, parts):
        await store.async_offer(make_document(1))
    if frozen:
        gc.collect()
        gc.freeze()
    probe = LoopDelayProbe()
    pauses: dict[str, list[float]] = {"whole": [], "parts": [], "policy": []}
    busy: dict[str, list[float]] = {"whole": [], "parts": [], "policy": []}
    for version in range(2, CHANGES + 2):
        document = make_document(version)
        held = parts.parts.parts
        for name in pauses:
            await probe.async_reset()
            began = time.perf_counter()
            match name:
                case "whole":
                    await whole.async_offer(document)
                case "parts":
                    new = whole.parts
                    bodies = {d: p.body for d, p in new.parts.items() if d not in held}
                    await parts.async_offer_parts(
                        version=version, manifest=new.manifest, bodies=bodies
                    )
                case _:
                    await Policy.async_compile(parts.current)
            pauses[name].append(probe.worst_ms)
            busy[name].append((time.perf_counter() - began) * MS_PER_S)
    probe.stop()
    gc.unfreeze()
    worst = {f"{name}_pause_ms_max": round(max(found), 1) for name, found in pauses.items()}
    middle = {f"{name}_ms_p50": round(statistics.median(found)) for name, found in busy.items()}
    return {**worst, **middle}


async def async_measure_memory() -> float:
    document = make_document(1)
    gc.collect()
    tracemalloc.start()
    store = make_store("memory")
    await store.async_offer(document)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(held / 1024 / 1024, 1)


def measure_decisions() -> float:
    policy = Policy(configuration=check_configuration(make_document(1)))
    facts = RequestFacts(
        workspace="w00007",
        kind=UpstreamKind.ENGINE,
        wall_ms=0,
        caller_class="parents",
        model="sizing",
        size_bytes=100,
    )
    began = time.perf_counter()
    for _ in range(DECISIONS):
        policy.decide(facts)
    return round((time.perf_counter() - began) / DECISIONS * 1e6, 1)


def sum_bytes(processes: list[Process]) -> Counter[str]:
    total: Counter[str] = Counter()
    for process in processes:
        section: Any = process.app.dump()["link"]
        for kind, counts in section["bytes"].items():
            total[f"{kind}_sent"] += counts["sent"]
            total[f"{kind}_received"] += counts["received"]
    return total


def average_per_process(before: Counter[str], after: Counter[str]) -> dict[str, int]:
    return {
        name: round((after[name] - before[name]) / PROCESSES)
        for name in sorted(after)
        if after[name] > before[name]
    }


async def async_measure_replication() -> dict[str, Any]:
    service = ConfigurationService(clock=SystemClock())
    await service.async_start()
    service.publish(make_document(1))
    instances: list[Instance] = []
    origins = (f"http://{service.address}",)
    processes = [
        Process(name=f"side-{n}", instances=instances, origins=origins) for n in range(PROCESSES)
    ]
    for process in processes:
        await process.async_listen()
    for process in processes:
        await process.replicator.async_start()
    for process in processes:
        await process.async_wait(1)
    await asyncio.sleep(2)
    before = sum_bytes(processes)
    in_force: list[float] = []
    for version in range(2, REPLICATED_CHANGES + 2):
        service.publish(make_document(version))
        began = time.perf_counter()
        for process in processes:
            await process.async_wait(version)
        in_force.append(time.perf_counter() - began)
        await asyncio.sleep(1)
    changed = average_per_process(before, sum_bytes(processes))
    before, reads = sum_bytes(processes), service.reads + service.watches
    await asyncio.sleep(QUIET_S)
    quiet = average_per_process(before, sum_bytes(processes))
    reads = service.reads + service.watches - reads
    for process in processes:
        await process.app.async_stop()
    await service.async_stop()
    return describe_replication(changed, quiet, in_force, reads)


def describe_replication(
    changed: dict[str, int], quiet: dict[str, int], in_force: list[float], reads: int
) -> dict[str, Any]:
    a_change = {name: round(count / REPLICATED_CHANGES) for name, count in changed.items()}
    bytes_a_change = sum(a_change.values())
    quiet_bytes_s = sum(quiet.values()) / QUIET_S
    return {
        "in_force_s_max_24_in_one_process": round(max(in_force), 2),
        "calls_s": round(reads / QUIET_S, 2),
        "by_kind_a_change": a_change,
        "bytes_a_change_sent_and_received": bytes_a_change,
        "quiet_bytes_s_sent_and_received": round(quiet_bytes_s, 1),
        "bytes_s_at_3500_changes_a_day": round(
            quiet_bytes_s + bytes_a_change * CHANGES_A_DAY / SECONDS_A_DAY, 1
        ),
    }


async def async_main() -> None:
    figures: dict[str, Any] = {
        "document_bytes": len(make_document(1)),
        "decide_us_50_rules": measure_decisions(),
        "held_mb": await async_measure_memory(),
        "pauses": await async_measure_pauses(frozen=False),
        "pauses_frozen": await async_measure_pauses(frozen=True),
        "spread": await async_measure_replication(),
    }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    asyncio.run(async_main())
