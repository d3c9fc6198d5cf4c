"""Answers that are whole in the process, and that their callers have not read when it ends."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from stopping_world import StoppingWorld

from bench.raw_caller import CLOCK, End
from gypsumrouter.const import MS_PER_S

STOP_MS = 4_000
# More than the usual send buffer and the buffer of the process, less than a grown send buffer.
BODY_BYTES = 500_000
SMALL_BUFFER_BYTES = 2_048
# Past the end of the stop.
READS_NOTHING_MS = 5_500


@pytest.fixture
async def stopping(tmp_path: Path) -> AsyncIterator[StoppingWorld]:
    async with StoppingWorld(folder=tmp_path, stop_ms=STOP_MS) as world:
        yield world


# Guards against a reset of an answer that is whole in the process, and does not fit the usual send
# buffer, as its caller rests past the end of a stop; and against such an answer without a line.
@pytest.mark.parametrize("sent_in_stop", [False, True])
async def test_answer_that_is_read_after_the_end_of_its_process_is_reset(
    stopping: StoppingWorld, sent_in_stop: bool
) -> None:
    process = stopping.processes[0]
    for runner in stopping.runners:
        runner.body_bytes = BODY_BYTES
    caller = await stopping.caller(process, buffer_bytes=SMALL_BUFFER_BYTES).async_open()
    asking = caller.async_ask("r0", tokens=None, rest_s=READS_NOTHING_MS / MS_PER_S)
    stop_s = 0.0 if sent_in_stop else 0.3
    stop = asyncio.create_task(stopping.async_stop(process, [(stop_s, signal.SIGTERM)]))
    await CLOCK.async_sleep(300 if sent_in_stop else 0)
    answer = await asking
    code, took_s = await stop
    caller.close()
    assert (code, took_s < READS_NOTHING_MS / MS_PER_S) == (0, True)
    lines = await stopping.async_read_journal()
    events = {"request_cut", "response_untaken"}
    named = [line for line in lines if line.get("event") in events]
    assert (answer.status, answer.end) == (200, End.WHOLE), named
    assert [(line["event"], line["request_id"]) for line in named] == [("response_untaken", "r0")]
    assert named[0]["untaken_bytes"] > 0
    assert named[0]["upstream"] in {runner.name for runner in stopping.runners}
