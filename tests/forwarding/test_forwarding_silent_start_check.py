"""A sound upstream that does not state its start in time, as it stands still, is not given up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest
from silent_world import SilentWorld, make_resumable_route

# Longer than the start check, by far shorter than the deadlines.
SILENCE_S = 1.0
EVENTS = 8


@pytest.fixture
async def world(link_key: None) -> AsyncIterator[SilentWorld]:
    """Start a forwarder and engines of two versions that state their start."""
    world = SilentWorld(events=EVENTS, pause_s=0.05)
    for number, runner in enumerate(world.models):
        runner.started_ms = int(time.time() * 1_000) - 3_000
        runner.version = f"v{number}"
    async with world:
        await world.async_set_routes(make_resumable_route(max_attempts=3))
        yield world


async def test_new_stream_is_not_refused_while_all_upstreams_of_two_versions_stand_still(
    world: SilentWorld, session: aiohttp.ClientSession
) -> None:
    """Guards against a start check that takes a silent upstream for an unreachable one."""
    silences = [asyncio.create_task(r.async_fall_silent(SILENCE_S)) for r in world.models]
    await asyncio.sleep(0.05)
    numbers, _ = await world.async_stream(session)
    await asyncio.gather(*silences)
    assert numbers == world.whole


async def test_stream_whose_upstream_is_gone_goes_on_at_one_that_stands_still(
    world: SilentWorld, session: aiohttp.ClientSession
) -> None:
    """Guards against a stream that is cut since the only other upstream is silent for a second."""
    for runner in world.models:
        if runner.version != "v0":
            runner.version = "v0"
            await world.async_put_entry(runner)
    await asyncio.sleep(0.2)
    call = asyncio.create_task(world.async_stream(session))
    await world.async_until_run()
    await asyncio.sleep(0.2)
    first, other = world.split_by_run()
    silence = asyncio.create_task(other.async_fall_silent(SILENCE_S))
    await asyncio.sleep(0.01)
    first.crash()
    numbers, _ = await call
    await silence
    assert numbers == world.whole
