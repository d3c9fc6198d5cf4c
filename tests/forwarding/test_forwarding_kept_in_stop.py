"""Kept connections and silent upstreams late in a stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from stopping_world import StoppingWorld

from bench.raw_caller import CLOCK, Answer, End, make_head
from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.const import DRAIN_GRACE_MS
from gypsumrouter.forwarding.drain.const import EXCUSED_MS

STOP_MS = 8_000
CALLERS = 12
PAUSE_S = 0.02
BEGUN_MS = 200
# A stream that begins before the signal and ends when idle connections are closed already.
OUTLASTING_TOKENS = round((DRAIN_GRACE_MS + 500) / MS_PER_S / PAUSE_S)
LATE_MS = EXCUSED_MS + 50
LATE_TOKENS = 50
# A deadline that ends in the stop.
LATE_DEADLINE_MS = 4_000
SILENT_MS = 1_000


@pytest.fixture
async def stopping(tmp_path: Path) -> AsyncIterator[StoppingWorld]:
    async with StoppingWorld(folder=tmp_path, stop_ms=STOP_MS, pause_s=PAUSE_S) as world:
        yield world


# Guards against a request that runs and gets no answer, sent behind one whose answer began before
# the signal and ended after the idle connections were closed.
async def test_request_behind_an_answer_that_outlasts_the_idle_connections_is_lost(
    stopping: StoppingWorld,
) -> None:
    process = stopping.processes[0]

    async def async_ask_twice(number: int) -> tuple[Answer, Answer]:
        caller = await stopping.caller(process).async_open()
        try:
            first = await caller.async_ask(f"first{number}", tokens=OUTLASTING_TOKENS)
            return first, await caller.async_ask(f"second{number}", tokens=1)
        finally:
            caller.close()

    asking = [asyncio.create_task(async_ask_twice(number)) for number in range(CALLERS)]
    await stopping.async_wait_running(CALLERS)
    await CLOCK.async_sleep(BEGUN_MS)
    code, seconds = await stopping.async_stop(process, [(0, signal.SIGTERM)])
    pairs = await asyncio.gather(*asking)
    assert seconds * MS_PER_S > DRAIN_GRACE_MS
    assert {first.end for first, _ in pairs} == {End.WHOLE}
    lost = [second.request_id for _, second in pairs if second.end is not End.WHOLE]
    assert [request_id for request_id in lost if stopping.ran(request_id)] == []
    assert (code, stopping.killed) == (0, [])


# Guards against a stream that its deadline bounds and that two silences of its upstream cut.
async def test_late_stream_is_cut_as_its_upstream_is_silent_twice(stopping: StoppingWorld) -> None:
    process = stopping.processes[0]
    lasting = asyncio.create_task(stopping.async_ask_once(process, "long", tokens=1_000))
    await stopping.async_wait_ran("long")
    stop = asyncio.create_task(stopping.async_stop(process, [(0, signal.SIGTERM)]))
    await CLOCK.async_sleep(LATE_MS)
    asked = [
        asyncio.create_task(
            stopping.async_ask_once(
                process, f"late{number}", tokens=LATE_TOKENS, deadline_ms=LATE_DEADLINE_MS
            )
        )
        for number in range(CALLERS)
    ]
    for _ in range(2):
        await CLOCK.async_sleep(BEGUN_MS)
        for runner in stopping.runners:
            runner.awake.clear()
        await CLOCK.async_sleep(SILENT_MS)
        for runner in stopping.runners:
            runner.awake.set()
    answers = await asyncio.gather(*asked)
    await asyncio.gather(stop, lasting)
    assert {(answer.status, answer.end) for answer in answers} == {(200, End.WHOLE)}
    cut = {
        line["request_id"]
        for line in await stopping.async_read_journal()
        if line.get("event") == "request_cut"
    }
    assert cut <= {"long"}


# Guards against a request that is read behind a stream whose head says that the connection ends.
async def test_request_that_was_sent_with_a_stream_in_a_drain_gets_no_answer(
    stopping: StoppingWorld,
) -> None:
    process = stopping.processes[0]
    lasting = asyncio.create_task(stopping.async_ask_once(process, "long", tokens=1_000))
    await stopping.async_wait_ran("long")
    stop = asyncio.create_task(stopping.async_stop(process, [(0, signal.SIGTERM)]))
    await CLOCK.async_sleep(BEGUN_MS)
    address = process.addresses["callers"]
    reader, writer = await asyncio.open_connection(address.host, address.port)
    for request_id in ("first", "second"):
        writer.write(make_head(request_id, "/draft/a", LATE_TOKENS, deadline_ms=LATE_DEADLINE_MS))
    received = await reader.read()
    writer.close()
    assert received.count(b"HTTP/1.1 200 OK") == 2
    await asyncio.gather(stop, lasting)
