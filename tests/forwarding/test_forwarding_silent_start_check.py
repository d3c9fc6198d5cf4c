"""A sound upstream that does not state its start in time, as it stands still, is not given up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest
from forwarding_world import KEY, PROMPT, ForwardingWorld, make_configuration, make_route

# Longer than the start check, by far shorter than the deadlines.
SILENCE_S = 1.0
EVENTS = 8


@pytest.fixture
async def world(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[ForwardingWorld]:
    """Start a forwarder and engines of two versions that state their start."""
    monkeypatch.setenv("GYPSUMROUTER_LINK_KEY", KEY)
    started = ForwardingWorld()
    for number, runner in enumerate(started.models):
        runner.events = EVENTS
        runner.pause_s = 0.05
        runner.started_ms = int(time.time() * 1_000) - 3_000
        runner.version = f"v{number}"
    await started.async_start()
    try:
        yield started
    finally:
        await started.async_stop()


async def async_configure(world: ForwardingWorld) -> None:
    route = make_route(
        "quote", "streaming", "models", resumable=True, max_attempts=3, timeout_ms=9_000
    )
    await world.store.async_put_configuration(make_configuration(2, routes=[route]))
    await world.async_until(lambda: _get_version(world) == 2)


def _get_version(world: ForwardingWorld) -> int:
    routing = world.product.app.dump()["routing"]
    assert isinstance(routing, dict)
    return int(routing["version"])


async def async_stream(world: ForwardingWorld, session: aiohttp.ClientSession) -> tuple[int, bytes]:
    status, body, _ = await world.async_call(
        session, "POST", "/quote/a", "q1", body=b"x", extra={**PROMPT, "X-Deadline-Ms": "8000"}
    )
    return status, body


def list_numbers(body: bytes) -> list[int]:
    return [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]


async def test_new_stream_is_not_refused_while_all_upstreams_of_two_versions_stand_still(
    world: ForwardingWorld, session: aiohttp.ClientSession
) -> None:
    """Guards against a start check that takes a silent upstream for an unreachable one."""
    await async_configure(world)
    silences = [asyncio.create_task(r.async_fall_silent(SILENCE_S)) for r in world.models]
    await asyncio.sleep(0.05)
    status, body = await async_stream(world, session)
    await asyncio.gather(*silences)
    assert status == 200
    assert list_numbers(body) == list(range(1, EVENTS + 1))


async def test_stream_whose_upstream_is_gone_goes_on_at_one_that_stands_still(
    world: ForwardingWorld, session: aiohttp.ClientSession
) -> None:
    """Guards against a stream that is cut since the only other upstream is silent for a second."""
    await async_configure(world)
    for runner in world.models:
        if runner.version != "v0":
            runner.version = "v0"
            await world.async_put_entry(runner)
    await asyncio.sleep(0.2)
    call = asyncio.create_task(async_stream(world, session))
    await world.async_until(lambda: any(runner.ran for runner in world.models))
    await asyncio.sleep(0.2)
    (first,) = (runner for runner in world.models if runner.ran)
    (other,) = (runner for runner in world.models if not runner.ran)
    silence = asyncio.create_task(other.async_fall_silent(SILENCE_S))
    await asyncio.sleep(0.01)
    first.crash()
    status, body = await call
    await silence
    assert status == 200
    assert list_numbers(body) == list(range(1, EVENTS + 1))
