"""Planned stops of forwarder processes: how the answers that are under way end."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from stopping_world import Answer, End, StoppingWorld

STOP_MS = 4_000
CALLERS = 20
PAUSE_S = 0.02
# Longer than a stop.
MANY_TOKENS = 1_000
# So many requests exceed the bound on lines.
FILLING = 200


@pytest.fixture
async def stopping(tmp_path: Path) -> AsyncIterator[StoppingWorld]:
    """Start three engines and one forwarder process, which has `STOP_MS` for a stop."""
    world = StoppingWorld(folder=tmp_path, stop_ms=STOP_MS, grace_s=STOP_MS / 1_000)
    await world.async_start()
    yield world
    await world.async_close()


def begin_streams(world: StoppingWorld, *, tokens: int) -> list[asyncio.Task[Answer]]:
    for runner in world.runners:
        runner.pause_s = PAUSE_S
    process = world.processes[0]
    return [
        asyncio.create_task(world.async_ask_once(process, f"s{n}", tokens=tokens))
        for n in range(CALLERS)
    ]


# Guards against streams that are cut by a stop without a line that names them.
async def test_every_stream_that_a_stop_cuts_has_a_line(stopping: StoppingWorld) -> None:
    process = stopping.processes[0]
    streams = begin_streams(stopping, tokens=MANY_TOKENS)
    await stopping.async_wait_running(CALLERS)
    for number in range(FILLING):
        await stopping.async_ask_once(process, f"f{number}", tokens=0)
    await stopping.async_stop(process, [(0, signal.SIGTERM)])
    answers = await asyncio.gather(*streams)
    assert {(answer.end, answer.status) for answer in answers} == {(End.RESET, 200)}
    lines = await stopping.async_read_journal()
    assert any(line.get("event") == "lines_dropped" for line in lines)
    cut = {line["request_id"]: line for line in lines if line.get("event") == "request_cut"}
    assert cut.keys() == {answer.request_id for answer in answers}
    assert {(line["reason"], line["status"]) for line in cut.values()} == {("out_of_time", 200)}
    assert all(cut[a.request_id]["bytes_out"] > 0 for a in answers)
    ends = [line for line in lines if line.get("event") == "drain_ended"]
    assert [(end["reason"], end["cut"]) for end in ends] == [("out_of_time", CALLERS)]
