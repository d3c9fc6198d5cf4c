"""What a stop does to connections on which a caller sends or has not read everything."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from stopping_world import StoppingWorld

from bench.raw_caller import CLOCK, End, make_head
from gypsumrouter.callers.lingering_close import DISCARD_MS
from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.const import DRAIN_GRACE_MS

STOP_MS = 6_000
PAUSE_S = 0.02
TOKENS = 40
HALF = 40
# A part of the next head is sent while the answer before it runs, and the rest behind the moment
# at which a drain closes idle connections.
FIRST_HALF_MS = 200
SECOND_HALF_MS = DRAIN_GRACE_MS + 600
# An answer that the kernel holds while its caller reads nothing.
UNREAD_TOKENS = 2_000
SMALL_BUFFER_BYTES = 2_048
READS_NOTHING_MS = 3_500


@pytest.fixture
async def stopping(tmp_path: Path) -> AsyncIterator[StoppingWorld]:
    async with StoppingWorld(folder=tmp_path, stop_ms=STOP_MS) as world:
        yield world


# Guards against a connection that counts as idle, and is closed, with half a head in the process.
async def test_request_whose_head_began_behind_an_answer_is_closed_without_one(
    stopping: StoppingWorld,
) -> None:
    for runner in stopping.runners:
        runner.pause_s = PAUSE_S
    caller = await stopping.caller(stopping.processes[0]).async_open()
    running = asyncio.create_task(caller.async_ask("r0", tokens=TOKENS))
    await stopping.async_wait_running(1)
    stop = stopping.stop_soon()
    head = make_head("r1", "/draft/a", 2)
    sending = asyncio.create_task(caller.async_send_later(head[:HALF], after_ms=FIRST_HALF_MS))
    first = await running
    assert (first.end, first.announces_close) == (End.WHOLE, False)
    await sending
    await CLOCK.async_sleep(SECOND_HALF_MS)
    answer = await caller.async_ask("r1", parts=[head[HALF:]])
    await stop
    assert (answer.end, answer.status) in {(End.WHOLE, 200), (End.WHOLE, 503)}


# Guards against a close that resets an answer which its caller has not read yet: of an idle
# connection whose answer began before the stop, and behind the time for which bytes are discarded.
@pytest.mark.parametrize("begins_in_stop", [False, True])
async def test_unread_answer_is_reset_by_the_start_of_the_next_request(
    stopping: StoppingWorld, begins_in_stop: bool
) -> None:
    process = stopping.processes[0]
    stop = stopping.stop_soon() if begins_in_stop else None
    await CLOCK.async_sleep(600)
    caller = await stopping.caller(process, buffer_bytes=SMALL_BUFFER_BYTES).async_open()
    reading = asyncio.create_task(
        caller.async_ask("r0", tokens=UNREAD_TOKENS, rest_s=READS_NOTHING_MS / MS_PER_S)
    )
    await stopping.async_wait_running(2)
    later_ms = DISCARD_MS if begins_in_stop else DRAIN_GRACE_MS + 300
    more = make_head("r1", "/draft/a", 2)[:HALF]
    sending = asyncio.create_task(caller.async_send_later(more, after_ms=later_ms + 500))
    stop = stop or stopping.stop_soon()
    answer = await reading
    await sending
    await stop
    assert (answer.status, answer.announces_close) == (200, begins_in_stop)
    assert answer.end is End.WHOLE
