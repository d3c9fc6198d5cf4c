"""Planned stops of forwarder processes: how the answers that are under way end."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from stopping_world import StoppingWorld

from bench.raw_caller import CLOCK, Answer, End
from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.const import DRAIN_GRACE_MS, RETRY_AFTER_MAX_MS

STOP_MS = 4_000
CALLERS = 20
PAUSE_S = 0.02
# Longer than a stop.
MANY_TOKENS = 1_000
# So many requests exceed the bound on lines.
FILLING = 800
FILLING_CALLERS = 20


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
# Streams that are sent later than this after the signal are not cut.
LATE_MS = 3_050
LATE_EVERY_MS = 20
FEW_TOKENS = 5
# A deadline that ends in time for these, and one that load lets engines exceed.
SHORT_MS = 3_000
SLOWDOWN = 5
SLOWED_MS = LATE_MS + CALLERS * LATE_EVERY_MS + 100
# A stream that has begun, and ends inside the first seconds of a stop.
KEPT_TOKENS = 50
BEGUN_MS = 200
# By far longer than the pauses of the streams, and shorter than a stop.
SILENT_MS = 2_500
# An answer that the buffers between the process and a slow caller hold, and the beginning of the
# request that the caller sends while it still reads.
LARGE_TOKENS = 2_000
SMALL_BUFFER_BYTES = 2_048
SLOW_BYTES_PER_S = 40_000
SLOW_CALLERS = 4
MORE = b"GET /draft/b HTTP/1.1"
MORE_AFTER_MS = 1_000
# Their streams end in the middle of a stop.
TOKENS = 100
# Callers that open a connection for each of their short requests, and go on until the drain looks
# for idle connections, or until its limit.
ANEW_CALLERS = 60
SHORT_PAUSE_S = 0.002
SHORT_TOKENS = 2
LISTENER_CLOSES_MS = DRAIN_GRACE_MS + 100


@pytest.fixture
def stop_ms() -> int:
    return STOP_MS


@pytest.fixture
async def stopping(tmp_path: Path, stop_ms: int) -> AsyncIterator[StoppingWorld]:
    """Start three engines and one forwarder process, which has `stop_ms` for a stop."""
    async with StoppingWorld(folder=tmp_path, stop_ms=stop_ms) as world:
        yield world


def begin_streams(world: StoppingWorld, *, tokens: int) -> list[asyncio.Task[Answer]]:
    for runner in world.runners:
        runner.pause_s = PAUSE_S
    process = world.processes[0]
    return [
        asyncio.create_task(world.async_ask_once(process, f"s{n}", tokens=tokens))
        for n in range(CALLERS)
    ]


async def async_fill_journal(world: StoppingWorld) -> None:
    async def async_ask(first: int) -> None:
        for number in range(first, FILLING, FILLING_CALLERS):
            await world.async_ask_once(world.processes[0], f"f{number}", tokens=0)

    await asyncio.gather(*map(async_ask, range(FILLING_CALLERS)))


# Guards against streams that are cut by a stop without a line that names them.
async def test_every_stream_that_a_stop_cuts_has_a_line(stopping: StoppingWorld) -> None:
    process = stopping.processes[0]
    streams = begin_streams(stopping, tokens=MANY_TOKENS)
    await stopping.async_wait_running(CALLERS)
    await async_fill_journal(stopping)
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
    assert [line["cut"] for line in lines if line.get("event") == "process_stopped"] == [CALLERS]


# Guards against streams that end in the middle of a stop and are named by no line.
async def test_every_stream_that_fails_while_a_router_drains_has_a_line(
    stopping: StoppingWorld,
) -> None:
    process = stopping.processes[0]
    streams = begin_streams(stopping, tokens=MANY_TOKENS)
    await stopping.async_wait_running(CALLERS)
    await async_fill_journal(stopping)
    stop = asyncio.create_task(stopping.async_stop(process, [(0, TERM)]))
    await CLOCK.async_sleep(BEGUN_MS)
    for runner in stopping.runners:
        runner.crash()
    answers = await asyncio.gather(*streams)
    await stop
    assert {(answer.end, answer.status) for answer in answers} == {(End.RESET, 200)}
    lines = await stopping.async_read_journal()
    cut = [line for line in lines if line.get("event") == "request_cut"]
    assert sorted(line["request_id"] for line in cut) == sorted(a.request_id for a in answers)
    assert {(line["reason"], line["obstacle"], line["draining"]) for line in cut} == {
        ("failed: stream broken", "route", True)
    }


# Guards against a cut that does not say whether the upstream was at work.
async def test_cut_does_not_say_how_long_the_upstream_was_silent(stopping: StoppingWorld) -> None:
    streams = begin_streams(stopping, tokens=MANY_TOKENS)
    await stopping.async_wait_running(CALLERS)
    await CLOCK.async_sleep(BEGUN_MS)
    silent = stopping.runners[0]
    silent.awake.clear()
    await stopping.async_stop(stopping.processes[0], [(0, TERM)])
    silent.awake.set()
    await asyncio.gather(*streams)
    lines = await stopping.async_read_journal()
    cut = [line for line in lines if line.get("event") == "request_cut"]
    assert {line["upstream"] for line in cut} == {runner.name for runner in stopping.runners}
    for line in cut:
        assert (line["silent_ms"] > SILENT_MS) == (line["upstream"] == silent.name)


# Guards against a cut that hides a silence which ended before it.
async def test_cut_does_not_say_that_the_upstream_was_silent_before(
    stopping: StoppingWorld,
) -> None:
    streams = begin_streams(stopping, tokens=MANY_TOKENS)
    await stopping.async_wait_running(CALLERS)
    await CLOCK.async_sleep(BEGUN_MS)
    stop = asyncio.create_task(stopping.async_stop(stopping.processes[0], [(0, TERM)]))
    silent = stopping.runners[0]
    silent.awake.clear()
    await CLOCK.async_sleep(SILENT_MS + BEGUN_MS)
    silent.awake.set()
    await stop
    await asyncio.gather(*streams)
    cut = [
        line for line in await stopping.async_read_journal() if line.get("event") == "request_cut"
    ]
    assert {line["upstream"] for line in cut} == {runner.name for runner in stopping.runners}
    for line in cut:
        assert line["silent_ms"] < SILENT_MS
        assert (line["longest_pause_ms"] >= SILENT_MS) == (line["upstream"] == silent.name)


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


# Guards against streams that a drain takes and cuts.
@pytest.mark.parametrize("stop_ms", [2 * STOP_MS])
@pytest.mark.parametrize(("pause_s", "tokens"), [(0.012, 400), (0.03, 160)])
async def test_streams_that_a_drain_takes_are_reset_when_its_time_runs_out(
    stopping: StoppingWorld, pause_s: float, tokens: int
) -> None:
    process = stopping.processes[0]
    for runner in stopping.runners:
        runner.pause_s = pause_s
    seen = [asyncio.create_task(stopping.async_ask_once(process, f"b{n}")) for n in range(CALLERS)]
    await asyncio.gather(*seen)
    # Without a stream under way the process would end before the late requests are sent.
    lasting = asyncio.create_task(stopping.async_ask_once(process, "long", tokens=MANY_TOKENS))
    await stopping.async_wait_ran("long")
    stop = asyncio.create_task(stopping.async_stop(process, [(0, TERM)]))

    async def async_ask_late(number: int) -> list[Answer]:
        await CLOCK.async_sleep(LATE_MS + number * LATE_EVERY_MS)
        few = await stopping.async_ask_once(
            process, f"few{number}", tokens=FEW_TOKENS, deadline_ms=SHORT_MS
        )
        return [few, await stopping.async_ask_once(process, f"late{number}", tokens=tokens)]

    pairs = await asyncio.gather(*map(async_ask_late, range(CALLERS)))
    code, _ = await stop
    assert stopping.list_reset(late for _, late in pairs) == []
    # What ends in time at any pace is still taken.
    assert {few.request_id: few.status for few, _ in pairs if few.status != 200} == {}
    assert stopping.list_reset([await lasting]) != []
    assert code == 0


# Guards against streams that end in time by the pace that was seen, and are cut as load slows their
# engines; and against a refusal that does not send its caller to another router at once.
@pytest.mark.parametrize("stop_ms", [2 * STOP_MS])
async def test_late_streams_are_reset_when_load_slows_their_engines(
    stopping: StoppingWorld,
) -> None:
    process = stopping.processes[0]
    for runner in stopping.runners:
        runner.pause_s = PAUSE_S
    seen = [
        asyncio.create_task(stopping.async_ask_once(process, f"b{n}", tokens=KEPT_TOKENS))
        for n in range(2 * CALLERS)
    ]
    await asyncio.gather(*seen)
    lasting = asyncio.create_task(stopping.async_ask_once(process, "long", tokens=MANY_TOKENS))
    await stopping.async_wait_ran("long")
    stop = asyncio.create_task(stopping.async_stop(process, [(0, TERM)]))

    async def async_ask_late(number: int) -> Answer:
        await CLOCK.async_sleep(LATE_MS + number * LATE_EVERY_MS)
        return await stopping.async_ask_once(process, f"late{number}", tokens=KEPT_TOKENS)

    late = asyncio.gather(*map(async_ask_late, range(CALLERS)))
    await CLOCK.async_sleep(SLOWED_MS)
    for runner in stopping.runners:
        runner.pause_s = SLOWDOWN * PAUSE_S
    answers = await late
    code, _ = await stop
    await lasting
    assert stopping.list_reset(answers) == []
    assert {(a.status, a.end) for a in answers} == {(503, End.WHOLE)}
    assert not any(stopping.ran(answer.request_id) for answer in answers)
    waits_ms = [json.loads(a.content)["error"]["retry_after_ms"] for a in answers]
    assert max(waits_ms) <= RETRY_AFTER_MAX_MS
    assert code == 0


# Guards against a process that has to be killed, since nobody reads its lines.
async def test_stop_ends_in_time_while_nobody_reads_the_output(stopping: StoppingWorld) -> None:
    process = stopping.processes[0]
    stopping.stop_reading(process)
    await async_fill_journal(stopping)
    streams = begin_streams(stopping, tokens=MANY_TOKENS)
    await stopping.async_wait_running(FILLING + CALLERS)
    code, _ = await stopping.async_stop(process, [(0, TERM)])
    await asyncio.gather(*streams)
    assert (code, stopping.killed) == (0, [])


# Guards against a kept connection that is closed behind an answer that did not announce it.
async def test_kept_connection_is_closed_unannounced_behind_an_answer_that_began_before(
    stopping: StoppingWorld,
) -> None:
    process = stopping.processes[0]
    for runner in stopping.runners:
        runner.pause_s = PAUSE_S
    callers = [await stopping.caller(process).async_open() for _ in range(CALLERS)]
    asking = [
        asyncio.create_task(caller.async_ask_until_closed(f"k{number}", tokens=KEPT_TOKENS))
        for number, caller in enumerate(callers)
    ]
    await stopping.async_wait_running(CALLERS)
    await CLOCK.async_sleep(BEGUN_MS)
    code, _ = await stopping.async_stop(process, [(0, TERM)])
    kept = await asyncio.gather(*asking)
    assert {answer.end for answers in kept for answer in answers} == {End.WHOLE}
    assert all(answers[-1].announces_close for answers in kept)
    assert any(not answers[0].announces_close for answers in kept)
    assert code == 0


# Guards against a close with unread bytes, which resets what a slow caller has not read yet.
async def test_end_of_an_answer_is_lost_to_a_slow_caller_that_sends_more(
    stopping: StoppingWorld,
) -> None:
    process = stopping.processes[0]
    stop = asyncio.create_task(stopping.async_stop(process, [(0, TERM)]))

    async def async_ask_slowly(number: int) -> Answer:
        caller = stopping.caller(process, buffer_bytes=SMALL_BUFFER_BYTES)
        await caller.async_open()
        more = asyncio.create_task(caller.async_send_later(MORE, after_ms=MORE_AFTER_MS))
        answer = await caller.async_ask(
            f"s{number}", tokens=LARGE_TOKENS, bytes_per_s=SLOW_BYTES_PER_S
        )
        await more
        return answer

    answers = await asyncio.gather(*map(async_ask_slowly, range(SLOW_CALLERS)))
    code, _ = await stop
    assert [answer.end for answer in answers] == [End.WHOLE] * SLOW_CALLERS
    assert code == 0


# Guards against connections that wait in the backlog, or have just been accepted, and are reset
# unread when the drain closes idle connections and the listener.
@pytest.mark.parametrize("opened_anew_until_ms", [LISTENER_CLOSES_MS, 2 * STOP_MS])
async def test_connection_that_was_open_before_the_listener_closed_gets_an_answer(
    stopping: StoppingWorld, opened_anew_until_ms: int
) -> None:
    process = stopping.processes[0]
    for runner in stopping.runners:
        runner.pause_s = SHORT_PAUSE_S
    until_s = time.monotonic() + opened_anew_until_ms / MS_PER_S

    async def async_ask_anew(number: int) -> list[Answer]:
        answers: list[Answer] = []
        while time.monotonic() < until_s:
            caller = stopping.caller(process)
            try:
                await caller.async_open()
            except OSError:
                break
            request_id = f"n{number}-{len(answers)}"
            answers.append(await caller.async_ask(request_id, tokens=SHORT_TOKENS))
            caller.close()
        return answers

    asking = [asyncio.create_task(async_ask_anew(n)) for n in range(ANEW_CALLERS)]
    code, _ = await stopping.async_stop(process, [(0, TERM)])
    answers = [answer for asked in await asyncio.gather(*asking) for answer in asked]
    assert [answer for answer in answers if answer.end is not End.WHOLE] == []
    # The callers have asked until the listener was closed.
    assert any(answer.announces_close for answer in answers)
    assert code == 0
