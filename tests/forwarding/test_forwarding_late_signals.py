"""Stops whose signal is handled late: what is read then may have been sent late."""

from __future__ import annotations

import asyncio
import re
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from stopping_world import StoppingWorld

from bench.raw_caller import CLOCK, End
from gypsumrouter.forwarding.drain import DrainAdmission
from gypsumrouter.forwarding.drain.const import CUT_MARGIN_MS, EXCUSED_MS
from gypsumrouter.forwarding.drain.lateness import KEPT_TICKS, TICK_MS, LoopTicks
from gypsumrouter.helpers.process_signals import HANDLED
from gypsumrouter.util.clock import ManualClock

STOP_MS = 8_000
SUSPENDED_S = 0.4
LONG_SUSPENDED_S = 0.7
SENT_MS = 3_100
# A deadline behind the platform's SIGKILL.
LATE_DEADLINE_MS = 5_300
PAUSE_S = 0.02
TOKENS = 50
STREAMS = 10


@pytest.fixture
async def stopping(tmp_path: Path) -> AsyncIterator[StoppingWorld]:
    async with StoppingWorld(folder=tmp_path, stop_ms=STOP_MS, pause_s=PAUSE_S) as world:
        yield world


def read_blocked_signals(pid: int) -> dict[int, int]:
    """Return the signals that each thread of a process leaves to others, as bits from signal 1."""
    statuses = {
        int(task.name): (task / "status").read_text()
        for task in Path(f"/proc/{pid}/task").iterdir()
    }
    return {
        thread: int(re.findall(r"SigBlk:\t(\w+)", status)[0], 16)
        for thread, status in statuses.items()
    }


# Guards against a stream that is sent later than a stop may cut it, and that a router which was
# suspended when its signal came takes for an earlier one.
async def test_stream_is_taken_for_an_earlier_one_as_the_signal_is_handled_late(
    stopping: StoppingWorld,
) -> None:
    process = stopping.processes[0]
    before = [stopping.async_ask_once(process, f"b{n}", tokens=TOKENS) for n in range(STREAMS)]
    await asyncio.gather(*before)
    lasting = asyncio.create_task(stopping.async_ask_once(process, "long", tokens=1_000))
    await stopping.async_wait_ran("long")
    signals = [(0, signal.SIGSTOP), (0, signal.SIGTERM), (SUSPENDED_S, signal.SIGCONT)]
    stop = asyncio.create_task(stopping.async_stop(process, signals))
    await CLOCK.async_sleep(SENT_MS)
    late = await stopping.async_ask_once(process, "late", tokens=TOKENS)
    await asyncio.gather(stop, lasting)
    assert (late.status, stopping.ran("late")) == (503, False)


# Guards against a stop that counts its end from when it handled its signal: the platform's SIGKILL
# comes before that, so that nothing gets a final response.
async def test_process_that_handled_its_signal_late_is_killed_before_its_end(
    stopping: StoppingWorld,
) -> None:
    process = stopping.processes[0]
    before = [stopping.async_ask_once(process, f"b{n}", tokens=TOKENS) for n in range(STREAMS)]
    await asyncio.gather(*before)
    lasting = asyncio.create_task(stopping.async_ask_once(process, "long", tokens=1_000))
    await stopping.async_wait_ran("long")
    signals = [(0, signal.SIGSTOP), (0, signal.SIGTERM), (LONG_SUSPENDED_S, signal.SIGCONT)]
    stop = asyncio.create_task(stopping.async_stop(process, signals))
    await CLOCK.async_sleep(SENT_MS)
    late = await stopping.async_ask_once(
        process, "late", tokens=1_000, deadline_ms=LATE_DEADLINE_MS
    )
    await asyncio.gather(stop, lasting)
    assert not stopping.killed
    assert not stopping.ran("late") or late.end is End.WHOLE


# Guards against a signal that another thread takes: it may note it behind a later tick of the loop,
# so that the stop counts its end from too late.
async def test_thread_beside_the_event_loop_takes_a_signal(stopping: StoppingWorld) -> None:
    process = stopping.processes[0]
    blocked = read_blocked_signals(process.pid)
    handled = sum(1 << number - 1 for number in HANDLED)
    assert blocked.pop(process.pid) & handled == 0
    assert blocked
    assert all(mask & handled == handled for mask in blocked.values())


def test_lateness_of_a_signal_is_bounded_by_the_last_tick_before_it() -> None:
    clock = ManualClock()
    ticks = LoopTicks(clock=clock)
    assert ticks.bound_lateness_ms(clock.now_ms()) == 0
    ticks.note()
    clock.advance(TICK_MS)
    ticks.note()
    clock.advance(500)
    handled_ms = clock.now_ms()
    # The loop goes on behind the handler, before the drain begins.
    for _ in range(KEPT_TICKS - 1):
        ticks.note()
        clock.advance(TICK_MS)
    assert ticks.bound_lateness_ms(handled_ms) == 500


def test_stream_needs_a_bound_from_when_a_stop_may_no_longer_cut_it() -> None:
    clock = ManualClock()
    drain = DrainAdmission(clock=clock, limit_ms=STOP_MS)
    assert not drain.is_late
    drain.begin(late_ms=500)
    clock.advance(EXCUSED_MS - 500 - 1)
    assert not drain.is_late
    clock.advance(1)
    assert drain.is_late


# Guards against an admission up to an end behind the platform's SIGKILL, which counts from the
# signal; and against an end that cuts what may run into the last sixth of a stop.
@pytest.mark.parametrize("stop_ms", [2_000, 4_000, 6_000, 8_000, 12_000])
def test_end_of_a_stop_counts_from_its_signal(stop_ms: int) -> None:
    limit_ms = stop_ms - CUT_MARGIN_MS
    for late_ms in (0, 100, 500, 5_000):
        clock = ManualClock()
        drain = DrainAdmission(clock=clock, limit_ms=limit_ms)
        drain.begin(late_ms=late_ms)
        assert drain.limit_at_ms == drain.bound_duration_ms(late_ms=late_ms)
        last_sixth_ms = min(limit_ms, stop_ms - stop_ms // 6)
        assert drain.limit_at_ms == max(limit_ms - late_ms, last_sixth_ms)
