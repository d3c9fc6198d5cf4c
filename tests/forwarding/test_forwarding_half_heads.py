"""What a stop does to half a head that came in one read, and to an answer behind half a head."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from stopping_world import StoppingWorld

from bench.raw_caller import CLOCK, End, make_head
from gypsumrouter.forwarding.const import DRAIN_GRACE_MS

STOP_MS = 11_000
PAUSE_S = 0.02
TOKENS = 40
HALF = 40
SECOND_HALF_MS = DRAIN_GRACE_MS + 600
UNREAD_TOKENS = 2_000
SMALL_BUFFER_BYTES = 2_048


@pytest.fixture
async def stopping(tmp_path: Path) -> AsyncIterator[StoppingWorld]:
    async with StoppingWorld(folder=tmp_path, stop_ms=STOP_MS) as world:
        yield world


# Guards against a connection that counts as idle, and is closed, with half a head in the parser:
# it came in one read with the end of the request before it.
async def test_half_head_in_one_read_with_a_request_counts_as_arriving(
    stopping: StoppingWorld,
) -> None:
    for runner in stopping.runners:
        runner.pause_s = PAUSE_S
    caller = await stopping.caller(stopping.processes[0]).async_open()
    head = make_head("r1", "/draft/a", 2)
    both = make_head("r0", "/draft/a", TOKENS) + head[:HALF]
    running = asyncio.create_task(caller.async_ask("r0", parts=[both]))
    await stopping.async_wait_ran("r0")
    stop = stopping.stop_soon()
    first = await running
    assert (first.end, first.announces_close) == (End.WHOLE, False)
    await CLOCK.async_sleep(SECOND_HALF_MS)
    answer = await caller.async_ask("r1", parts=[head[HALF:]])
    await stop
    assert (answer.end, answer.status) in {(End.WHOLE, 200), (End.WHOLE, 503)}


# Guards against the timeout of a head that closes a connection whose last answer is not read yet:
# part of the next head came while the answer ran, and the answer ends the connection.
@pytest.mark.parametrize("half_while_running", [False, True])
async def test_timeout_of_a_head_does_not_end_a_lingering_close(
    stopping: StoppingWorld, half_while_running: bool
) -> None:
    for runner in stopping.runners:
        runner.pause_s = 0.0
    stop = stopping.stop_soon()
    await CLOCK.async_sleep(600)
    caller = await stopping.caller(
        stopping.processes[0], buffer_bytes=SMALL_BUFFER_BYTES
    ).async_open()
    reading = asyncio.create_task(caller.async_ask("r0", tokens=UNREAD_TOKENS, rest_s=9.6))
    await stopping.async_wait_ran("r0")
    more = make_head("r1", "/draft/a", 2)
    if half_while_running:
        await caller.async_send_later(more[:HALF], after_ms=0)
    # Behind the 5 s of a head, and inside the 10 s of a lingering close.
    sending = asyncio.create_task(caller.async_send_later(more[HALF:], after_ms=8_800))
    answer = await reading
    await sending
    await stop
    assert (answer.status, answer.announces_close) == (200, True)
    assert answer.end is End.WHOLE
