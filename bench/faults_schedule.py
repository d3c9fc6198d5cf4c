"""Seeded schedule that keeps two faults active."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Final

from msgspec import Struct

from bench.faults_network import (
    async_crash_upstream,
    async_cut_links,
    async_freeze_upstream,
    async_partition,
    async_partition_without_list,
    async_refuse_links,
    async_silence_links,
    async_silence_upstream,
    async_slow_links,
)
from bench.faults_platform import (
    async_fail_configuration,
    async_fail_list,
    async_flap_listing,
    async_lag_list,
    async_publish,
    async_serve_stale_configuration,
    async_serve_stale_list,
)
from bench.faults_processes import (
    async_kill_router,
    async_kill_side,
    async_kill_side_renamed,
    async_pause_router,
    async_pause_side,
    async_replace_paused_side,
    async_stop_listed_side,
    async_stop_router,
    async_stop_side,
)
from bench.faults_requests import async_send_crashing_requests, async_surge
from bench.faults_stage import NoTarget, Stage

_LOGGER = logging.getLogger(__name__)

CONCURRENT_FAULTS: Final = 2
BETWEEN_MS: Final = (100, 600)

FaultRun = Callable[[Stage, random.Random], Coroutine[Any, Any, None]]


class Fault(Struct, frozen=True, kw_only=True):
    """One kind of fault; faults with the same `resource` are never active together."""

    kind: str
    run: FaultRun
    resource: str = ""


FAULTS: Final = (
    Fault(kind="side killed", run=async_kill_side),
    Fault(kind="side killed, new name", run=async_kill_side_renamed),
    Fault(kind="router killed", run=async_kill_router),
    Fault(kind="side paused", run=async_pause_side),
    Fault(kind="router paused", run=async_pause_router),
    Fault(kind="paused side replaced", run=async_replace_paused_side),
    Fault(kind="side stopped", run=async_stop_side),
    Fault(kind="side leaves by list", run=async_stop_listed_side, resource="list"),
    Fault(kind="router stopped", run=async_stop_router),
    Fault(kind="links cut", run=async_cut_links),
    Fault(kind="links refused", run=async_refuse_links),
    Fault(kind="links silent", run=async_silence_links),
    Fault(kind="links slow", run=async_slow_links),
    Fault(kind="partition", run=async_partition, resource="partition"),
    Fault(kind="partition, list lost", run=async_partition_without_list, resource="partition"),
    Fault(kind="upstream crashed", run=async_crash_upstream),
    Fault(kind="upstream frozen", run=async_freeze_upstream),
    Fault(kind="upstream silent", run=async_silence_upstream),
    Fault(kind="list down", run=async_fail_list, resource="list"),
    Fault(kind="list stale", run=async_serve_stale_list, resource="list"),
    Fault(kind="list late", run=async_lag_list, resource="list"),
    Fault(kind="listing flaps", run=async_flap_listing, resource="list"),
    Fault(kind="configuration down", run=async_fail_configuration, resource="configuration"),
    Fault(
        kind="configuration stale", run=async_serve_stale_configuration, resource="configuration"
    ),
    Fault(kind="configuration published", run=async_publish, resource="configuration"),
    Fault(kind="surge", run=async_surge),
    Fault(kind="crashing request", run=async_send_crashing_requests, resource="crasher"),
)


class Schedule:
    """Injects faults by a seed, preferring the kinds with the fewest injections."""

    def __init__(self, *, stage: Stage, seed: int, counts: Counter[str]) -> None:
        self._stage = stage
        self._seed = seed
        self._counts = counts
        self._random = random.Random(seed)
        self._busy_resources: set[str] = set()
        self._stopped = asyncio.Event()

    async def async_run(self) -> None:
        """Inject faults until stopped, then wait for the active ones to end."""
        await asyncio.gather(
            *(self._async_run_faults(number) for number in range(CONCURRENT_FAULTS))
        )

    def stop(self) -> None:
        """Start no further fault."""
        self._stopped.set()

    async def _async_run_faults(self, number: int) -> None:
        randomness = random.Random(f"{self._seed}-{number}")
        while not self._stopped.is_set():
            await self._stage.async_pause(randomness, *BETWEEN_MS)
            fault = self._choose_fault()
            resource = fault.resource or fault.kind
            self._busy_resources.add(resource)
            try:
                await self._async_run_fault(fault, randomness)
            finally:
                self._busy_resources.discard(resource)

    async def _async_run_fault(self, fault: Fault, randomness: random.Random) -> None:
        try:
            with self._stage.journal.window(fault.kind):
                await fault.run(self._stage, randomness)
        except NoTarget:
            _LOGGER.info("Skipping fault %s: every target is reserved by another fault", fault.kind)
        except Exception:
            # A failed injection must not stop the schedule.
            self._stage.journal.failed_faults[fault.kind] += 1
            _LOGGER.exception("Injecting fault %s failed; continuing with the schedule", fault.kind)

    def _choose_fault(self) -> Fault:
        free = [
            fault for fault in FAULTS if (fault.resource or fault.kind) not in self._busy_resources
        ]
        min_count = min(self._counts[fault.kind] for fault in free)
        fault = self._random.choice([item for item in free if self._counts[item.kind] == min_count])
        self._counts[fault.kind] += 1
        return fault
