"""Probes that measure how long a stream stalls after its connection stops passing data."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Final

from msgspec import Struct

from bench.accounts import Account
from bench.faults_stage import Stage
from gypsumrouter.const import HEADER_CHAT, HEADER_REQUEST_ID, MS_PER_S, PATH_CHAT
from gypsumrouter.instances import Address
from gypsumrouter.standins import BOTH_DIRECTIONS, Deployment, Direction, FaultProxy
from gypsumrouter.standins.tokens import Message, digest_prompt, make_text, render_prompt

TOKENS: Final = 1_200
SILENT_AFTER_TOKENS: Final = 50
# Data in flight when the connection goes silent may still arrive within this time.
IN_FLIGHT_MS: Final = 100
DATA_PREFIX: Final = b"data: "
DONE: Final = b"[DONE]"

ChooseProxy = Callable[[Stage, str], FaultProxy]


class Probe(Struct, frozen=True, kw_only=True):
    """Which connection goes silent, and in which directions."""

    leg: str
    choose: ChooseProxy
    ways: frozenset[Direction]


class ProbeResult(Struct, frozen=True, kw_only=True):
    """How long a stream stalled, and whether its answer was still complete and correct."""

    probe: Probe
    stall_s: float
    complete: bool


def _choose_link(stage: Stage, side: str) -> FaultProxy:
    return stage.rig.proxies[side]


def _choose_upstream(stage: Stage, side: str) -> FaultProxy:
    return stage.rig.upstream_proxies[side]


PROBES: Final = tuple(
    Probe(leg=leg, choose=choose, ways=ways)
    for leg, choose in (("link", _choose_link), ("upstream", _choose_upstream))
    for ways in (BOTH_DIRECTIONS, frozenset({Direction.BACK}))
)


async def async_probe_silent_connections(stage: Stage) -> list[ProbeResult]:
    """Run all probes concurrently, each on a stream of its own."""
    deployments = stage.rig.platform.deployments
    results = await asyncio.gather(
        *(
            _async_probe(stage, deployments[number % len(deployments)], probe, number)
            for number, probe in enumerate(PROBES)
        )
    )
    return list(results)


async def _async_probe(
    stage: Stage, deployment: Deployment, probe: Probe, number: int
) -> ProbeResult:
    content = f"probe {number} of a silent {probe.leg}"
    payload = {
        "model": deployment.model,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    plan = deployment.workspaces[number]
    account = Account(
        workspace=plan.name, key=plan.key, caller_class=deployment.interactive[0].name
    )
    headers = {**account.make_headers(), HEADER_CHAT: f"probe-{number}"}
    router: Address = stage.routers[number % len(stage.routers)]
    events: list[bytes] = []
    times_ms: list[int] = []
    silenced_ms = 0
    async with stage.context.session.post(
        f"http://{router}{PATH_CHAT}", json=payload, headers=headers
    ) as response:
        async for line in response.content:
            if not line.startswith(DATA_PREFIX):
                continue
            events.append(line[len(DATA_PREFIX) :].strip())
            times_ms.append(stage.clock.now_ms())
            if len(events) == SILENT_AFTER_TOKENS:
                side = _find_side(stage, response.headers[HEADER_REQUEST_ID])
                probe.choose(stage, side).blackhole(directions=probe.ways)
                silenced_ms = stage.clock.now_ms()
    messages = [Message(role="user", content=content)]
    expected = make_text(digest_prompt(render_prompt(messages), model=deployment.model), TOKENS)
    return ProbeResult(
        probe=probe,
        stall_s=_measure_stall(times_ms, silenced_ms),
        complete=bool(events) and events[-1] == DONE and _join(events[:-1]) == expected,
    )


def _find_side(stage: Stage, request_id: str) -> str:
    """Return the name of the side whose engine runs a request."""
    return next(
        name
        for name, engine in stage.rig.platform.engines.items()
        if any(run.startswith(request_id) for run in engine.executions)
    )


def _measure_stall(times_ms: list[int], silenced_ms: int) -> float:
    """Return the seconds without events until the stream resumed on another connection."""
    before = [time for time in times_ms if time <= silenced_ms + IN_FLIGHT_MS]
    after = [time for time in times_ms if time > silenced_ms + IN_FLIGHT_MS]
    if not after or not before:
        return 0.0
    return (after[0] - max(before[-1], silenced_ms)) / MS_PER_S


def _join(events: list[bytes]) -> str:
    """Return the joined text of all events; an error event has no text."""
    parts: list[str] = []
    for event in events:
        for choice in json.loads(event).get("choices", ()):
            parts.append(choice["delta"].get("content") or "")
    return "".join(parts)
