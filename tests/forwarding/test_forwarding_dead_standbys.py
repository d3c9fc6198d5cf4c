"""A silent stream is not given up for an upstream that is dead behind a listener that accepts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from msgspec.structs import replace
from silent_world import SilentWorld, make_resumable_route
from stating_upstream import StatingUpstream, make_pool

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.health.start_check import StartCheck
from gypsumrouter.helpers.http_connection import ConnectFailed
from gypsumrouter.journal import Journal

# A sound upstream may be silent for so long; by far longer than the overlap of two runs.
SILENCE_S = 1.3
EVENTS = 8


@pytest.fixture
async def world(link_key: None) -> AsyncIterator[SilentWorld]:
    """Start a forwarder and two engines whose entries and reports state no start."""
    async with SilentWorld(events=EVENTS, pause_s=0.04) as world:
        await world.async_set_routes(make_resumable_route(target_gap_ms=100, max_attempts=2))
        yield world


# Guards against a connection that was accepted, or kept, taken for an upstream that responds: the
# listener of a proxy or of a parent process outlives the process that would answer.
async def test_silent_stream_is_given_up_for_an_upstream_that_only_accepts_connections(
    world: SilentWorld, session: aiohttp.ClientSession
) -> None:
    call = asyncio.create_task(world.async_stream(session))
    await world.async_until_run()
    first, dead = world.split_by_run()
    dead.awake.clear()
    await asyncio.sleep(0.1)
    await first.async_fall_silent(SILENCE_S)
    numbers, _ = await call
    assert numbers == world.whole


# Guards against an idle connection without an end, taken for an upstream that responds.
async def test_kept_connection_stands_for_an_upstream_that_answers_nothing() -> None:
    app = Application(name="r1", role=Role.FORWARDER, data_centre="dc", region="r")
    upstream = StatingUpstream()
    entry = replace(await upstream.async_start(), started_ms=0)
    pool = make_pool(app, upstream, Directory(app=app, journal=Journal(app=app)))
    pooled = await pool.async_acquire(entry, repeatable=True, timeout_ms=500)
    pool.release(entry, pooled.connection)
    upstream.is_silent = True
    with pytest.raises(ConnectFailed):
        await pool.async_acquire(entry, repeatable=True, timeout_ms=200, start_check=StartCheck.NOW)
    assert upstream.questions == 1
    upstream.stop()
    await app.async_stop()
