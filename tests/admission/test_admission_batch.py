"""Batch requests beside interactive ones: when they start and how they count as load."""

from __future__ import annotations

import asyncio

from admission_fakes import (
    INSPECTORS,
    REPORTS,
    AdmissionHarness,
    async_settle,
    make_harness,
    make_open,
    make_pool,
)

from gypsumrouter.link.models import PoolLoad
from gypsumrouter.outcomes import Refused
from gypsumrouter.util.clock import ManualClock


def make_wide_harness(*, floor: int = 64, slots: int = 16) -> AdmissionHarness:
    clock = ManualClock(now_ms=10_000)
    return make_harness(clock=clock, pool=make_pool(slots=slots, queue=64, floor=floor))


async def test_batch_keeps_slots_free_for_expected_interactive_demand() -> None:
    harness = make_wide_harness()
    for _ in range(9):
        await harness.async_call(INSPECTORS)
    batch_calls = [await harness.async_call(REPORTS) for _ in range(7)]
    running = [call for call in batch_calls if call.runs]
    assert 0 < len(running) < 7
    assert (await harness.async_call(INSPECTORS)).runs


async def test_waiting_batch_starts_as_interactive_demand_decays() -> None:
    harness = make_wide_harness()
    interactive_calls = [await harness.async_call(INSPECTORS) for _ in range(14)]
    await harness.async_advance(10_000)
    batch_calls = [await harness.async_call(REPORTS) for _ in range(6)]
    for call in interactive_calls:
        await harness.async_finish(call)
    assert any(call.waits for call in batch_calls)
    for _ in range(10_000 // 20):
        await harness.async_advance(20)
    assert all(call.runs for call in batch_calls)


async def test_waiting_batch_is_not_counted_as_load() -> None:
    harness = make_wide_harness(slots=2)
    for _ in range(2):
        await harness.async_call(INSPECTORS)
    assert (await harness.async_call(REPORTS)).waits
    assert (harness.admission.load, harness.admission.batch_waiting) == (2, 1)
    assert (await harness.async_call(INSPECTORS)).waits
    assert harness.admission.load == 3


async def test_batch_starts_up_to_the_pool_mean_and_interactive_up_to_the_cap() -> None:
    harness = make_wide_harness(floor=4, slots=64)
    harness.admission.record_pool_load(PoolLoad(mean=10.0, known=9, members=9, age_ms=0))
    batch_calls = [await harness.async_call(REPORTS) for _ in range(20)]
    started = sum(call.runs for call in batch_calls)
    assert 10 <= started <= 12
    interactive = await harness.async_call(INSPECTORS)
    assert interactive.runs


async def test_interactive_over_the_cap_does_not_evict_waiting_batch() -> None:
    harness = make_wide_harness(floor=4)
    harness.admission.record_pool_load(PoolLoad(mean=0.0, known=9, members=9, age_ms=0))
    for _ in range(4):
        await harness.async_call(INSPECTORS)
    batch_call = await harness.async_call(REPORTS, "school")
    assert batch_call.waits
    refused = await harness.admission.async_admit(make_open(99), asyncio.Event())
    assert isinstance(refused, Refused)
    await async_settle()
    assert batch_call.waits
    assert harness.admission.load == 4


async def test_retry_after_of_a_cap_refusal_shrinks_with_the_pool_size() -> None:
    retry_after_ms: list[int] = []
    for members in (2, 90):
        harness = make_wide_harness(floor=1)
        harness.admission.record_pool_load(PoolLoad(mean=0.0, known=2, members=members, age_ms=0))
        await harness.async_call(INSPECTORS)
        refused = await harness.admission.async_admit(make_open(99), asyncio.Event())
        assert isinstance(refused, Refused)
        retry_after_ms.append(refused.retry_after_ms or 0)
    assert retry_after_ms[0] > 5 * retry_after_ms[1] > 0
