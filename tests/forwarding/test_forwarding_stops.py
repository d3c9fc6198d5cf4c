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


# Signals after the first one, with seconds from it.
TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
SERIES = {
    "term_twice": [(0.4, TERM)],
    "term_twice_at_once": [(0.0, TERM)],
    "int": [(0.4, INT)],
    "reloads": [(0.1, HUP), (1.2, HUP)],
    "many": [(0.1, TERM), (0.2, INT), (0.3, HUP), (1.0, TERM), (2.7, TERM)],
    "others": [(0.3, signal.SIGQUIT), (0.4, signal.SIGUSR1), (0.5, signal.SIGALRM)],
}
# Their streams end in the middle of a stop.
TOKENS = 100


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


# Guards against streams that are reset, with status 200 and run, by a signal behind the first.
@pytest.mark.parametrize("later", SERIES.values(), ids=SERIES.keys())
async def test_streams_are_reset_by_a_signal_that_follows_a_stop_signal(
    stopping: StoppingWorld, later: list[tuple[float, signal.Signals]]
) -> None:
    streams = begin_streams(stopping, tokens=TOKENS)
    await stopping.async_wait_running(CALLERS)
    code, _ = await stopping.async_stop(stopping.processes[0], [(0, TERM), *later])
    answers = await asyncio.gather(*streams)
    assert stopping.list_reset(answers) == []
    assert {answer.end for answer in answers} == {End.WHOLE}
    assert code == 0
