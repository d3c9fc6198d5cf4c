"""Batch work beside interactive work: which slots it may acquire, and what it counts for."""

from __future__ import annotations

import asyncio

from admission_fakes import INSPECTORS, REPORTS, Side, async_settle, make_open, make_pool, make_side

from gypsumrouter.link.models import PoolLoad
from gypsumrouter.outcomes import Refused
from gypsumrouter.util.clock import ManualClock


def make_wide_side(*, floor: int = 64, slots: int = 16) -> Side:
    clock = ManualClock(now_ms=10_000)
    return make_side(clock=clock, pool=make_pool(slots=slots, queue=64, floor=floor))


async def test_batch_work_leaves_slots_for_the_interactive_work_that_is_likely_to_come() -> None:
    side = make_wide_side()
    for _ in range(9):
        await side.async_call(INSPECTORS)
    reports = [await side.async_call(REPORTS) for _ in range(7)]
    running = [call for call in reports if call.runs]
    assert 0 < len(running) < 7
    assert (await side.async_call(INSPECTORS)).runs


async def test_batch_work_starts_by_itself_as_interactive_work_gets_less() -> None:
    side = make_wide_side()
    inspectors = [await side.async_call(INSPECTORS) for _ in range(14)]
    await side.async_advance(10_000)
    reports = [await side.async_call(REPORTS) for _ in range(6)]
    for call in inspectors:
        await side.async_finish(call)
    assert any(call.waits for call in reports)
    for _ in range(10_000 // 20):
        await side.async_advance(20)
    assert all(call.runs for call in reports)


async def test_batch_work_that_waits_is_no_load() -> None:
    side = make_wide_side(slots=2)
    for _ in range(2):
        await side.async_call(INSPECTORS)
    assert (await side.async_call(REPORTS)).waits
    assert (side.admission.load, side.admission.batch_waiting) == (2, 1)
    assert (await side.async_call(INSPECTORS)).waits
    assert side.admission.load == 3


async def test_batch_work_fills_up_to_the_mean_and_leaves_the_rest_of_the_cap_to_others() -> None:
    side = make_wide_side(floor=4, slots=64)
    side.admission.record_pool_load(PoolLoad(mean=10.0, known=9, members=9, age_ms=0))
    reports = [await side.async_call(REPORTS) for _ in range(20)]
    started = sum(call.runs for call in reports)
    assert 10 <= started <= 12
    inspector = await side.async_call(INSPECTORS)
    assert inspector.runs


async def test_an_interactive_request_over_the_cap_is_not_let_in_for_batch_work_that_waits() -> (
    None
):
    side = make_wide_side(floor=4)
    side.admission.record_pool_load(PoolLoad(mean=0.0, known=9, members=9, age_ms=0))
    for _ in range(4):
        await side.async_call(INSPECTORS)
    report = await side.async_call(REPORTS, "school")
    assert report.waits
    refused = await side.admission.async_admit(make_open(99), asyncio.Event())
    assert isinstance(refused, Refused)
    await async_settle()
    assert report.waits
    assert side.admission.load == 4


async def test_a_refusal_over_the_cap_asks_to_wait_for_the_pool_not_for_this_side() -> None:
    waits: list[int] = []
    for members in (2, 90):
        side = make_wide_side(floor=1)
        side.admission.record_pool_load(PoolLoad(mean=0.0, known=2, members=members, age_ms=0))
        await side.async_call(INSPECTORS)
        refused = await side.admission.async_admit(make_open(99), asyncio.Event())
        assert isinstance(refused, Refused)
        waits.append(refused.retry_after_ms or 0)
    assert waits[0] > 5 * waits[1] > 0
