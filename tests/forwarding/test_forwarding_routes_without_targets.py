"""Routes whose target or gap is 0 or left out: upstreams may take any time until the deadline."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld, make_configuration, make_route

PAUSE_S = 0.4
EVENTS = 4


async def async_configure(world: ForwardingWorld, *, attempts: int, value: int | None) -> None:
    """Publish routes with this target and gap, without both for None."""
    routes: list[dict[str, Any]] = [
        make_route("quote", "streaming", "models", resumable=True, max_attempts=attempts),
        make_route("lookup", "idempotent", "records", max_attempts=attempts),
    ]
    for route in routes:
        for name in ("target_latency_ms", "target_gap_ms"):
            route[name] = value
            if value is None:
                del route[name]
    await world.async_publish(make_configuration(2, routes=routes))


@pytest.mark.parametrize("attempts", [1, 2])
@pytest.mark.parametrize("value", [0, None])
async def test_stream_of_a_route_without_a_gap_is_not_given_up_at_its_first_pause(
    world: ForwardingWorld, session: aiohttp.ClientSession, attempts: int, value: int | None
) -> None:
    """Guards against a gap of 0 that stands for the shortest timer."""
    for runner in world.models:
        runner.events = EVENTS
        runner.pause_s = PAUSE_S
    await async_configure(world, attempts=attempts, value=value)
    status, body, _ = await world.async_call(
        session, "POST", "/quote/a", "q1", body=b"x", extra=PROMPT
    )
    assert status == 200
    assert body.count(b"data:") == EVENTS
    assert len(world.arrivals("q1")) == 1


@pytest.mark.parametrize("attempts", [1, 2])
@pytest.mark.parametrize("value", [0, None])
async def test_request_of_a_route_without_a_target_is_run_once(
    world: ForwardingWorld, session: aiohttp.ClientSession, attempts: int, value: int | None
) -> None:
    """Guards against a target of 0 that stands for the shortest timer."""
    await async_configure(world, attempts=attempts, value=value)
    for runner in world.records:
        runner.gate.clear()
    loop = asyncio.get_running_loop()
    for runner in world.records:
        loop.call_later(PAUSE_S, runner.gate.set)
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "l1")
    assert status == 200
    assert len(world.arrivals("l1")) == 1
