"""Order of the wait queue, yields of batch work, evictions and refusals."""

from __future__ import annotations

import asyncio

from admission_fakes import (
    INSPECTORS,
    OFFICE,
    REPORTS,
    AdmissionHarness,
    Call,
    async_settle,
    make_pool,
)

from gypsumrouter.outcomes import Reason

# Most grants to other requests before a late or a batch request is served.
MAX_GRANTS_BEFORE_LATE = 32
MAX_GRANTS_BEFORE_BATCH = 257


async def async_fill(
    harness: AdmissionHarness, caller_class: str = OFFICE, workspace: str = "utility"
) -> list[Call]:
    return [await harness.async_call(caller_class, workspace) for _ in range(2)]


async def test_free_slots_are_granted_at_once_and_release_is_idempotent(
    harness: AdmissionHarness,
) -> None:
    first, second = await async_fill(harness)
    assert first.runs
    assert second.runs
    first.slot.release()
    first.slot.release()
    assert (harness.admission.load, harness.admission.running) == (1, 1)


async def test_higher_penalty_runs_before_an_earlier_arrival(harness: AdmissionHarness) -> None:
    running = await async_fill(harness)
    office = await harness.async_call(OFFICE)
    inspector = await harness.async_call(INSPECTORS)
    await harness.async_finish(running[0])
    assert inspector.runs
    assert office.waits


async def test_low_penalty_without_slack_runs_before_high_penalty_with_slack(
    harness: AdmissionHarness,
) -> None:
    for _ in range(100):
        short_call = await harness.async_call(OFFICE)
        harness.admission.record_first_token(short_call.slot)
        await harness.async_finish(short_call)
    running = await async_fill(harness)
    inspector = await harness.async_call(INSPECTORS)
    office = await harness.async_call(OFFICE, waited_ms=1_980)
    await harness.async_finish(running[0])
    assert office.runs
    assert inspector.waits


async def test_a_late_request_runs_after_all_that_can_meet_their_target(
    harness: AdmissionHarness,
) -> None:
    running = await async_fill(harness)
    late = await harness.async_call(INSPECTORS, waited_ms=1_000)
    in_time = [await harness.async_call(OFFICE) for _ in range(3)]
    for call in in_time:
        await harness.async_finish(running.pop())
        assert call.runs
        running.append(call)
    assert late.waits
    await harness.async_finish(running.pop())
    assert late.runs


async def test_a_late_request_is_not_starved_by_new_arrivals(
    harness: AdmissionHarness,
) -> None:
    running = await async_fill(harness)
    late = await harness.async_call(INSPECTORS, waited_ms=1_000)
    grants = 0
    waiting = [await harness.async_call(OFFICE) for _ in range(2)]
    while late.waits:
        await harness.async_finish(running.pop(0))
        running += [call for call in waiting if call.runs]
        waiting = [call for call in waiting if call.waits]
        waiting.append(await harness.async_call(OFFICE))
        grants += 1
        assert grants <= MAX_GRANTS_BEFORE_LATE
    assert grants == MAX_GRANTS_BEFORE_LATE


async def test_a_request_that_cannot_meet_its_deadline_is_refused(
    harness: AdmissionHarness,
) -> None:
    running = await async_fill(harness)
    waiting = await harness.async_call(INSPECTORS, deadline_ms=200)
    await harness.async_advance(160)
    assert waiting.refused.reason is Reason.TARGET_UNATTAINABLE
    assert (await harness.async_call(INSPECTORS, deadline_ms=5)).refused.reason is (
        Reason.TARGET_UNATTAINABLE
    )
    await harness.async_finish(running[0])
    assert harness.admission.running == 1


async def test_a_request_cancelled_by_its_caller_is_removed_from_the_queue(
    harness: AdmissionHarness,
) -> None:
    await async_fill(harness)
    waiting = await harness.async_call()
    waiting.cancelled.set()
    await async_settle()
    assert waiting.refused.reason is Reason.CANCELLED
    assert harness.admission.load == 2


async def test_a_task_cancelled_while_its_slot_is_granted_releases_the_slot(
    harness: AdmissionHarness,
) -> None:
    running = await async_fill(harness)
    waiting = await harness.async_call()
    running[0].slot.release()
    waiting.task.cancel()
    await async_settle()
    assert waiting.task.cancelled()
    assert (harness.admission.load, harness.admission.running) == (1, 1)


async def test_a_cancelled_waiting_task_is_removed_from_the_queue(
    harness: AdmissionHarness,
) -> None:
    await async_fill(harness)
    waiting = await harness.async_call()
    waiting.task.cancel()
    await async_settle()
    assert harness.admission.load == 2


async def test_stop_refuses_waiting_and_new_requests_but_not_running_ones(
    harness: AdmissionHarness,
) -> None:
    running = await async_fill(harness)
    waiting = [await harness.async_call(name) for name in (INSPECTORS, OFFICE, REPORTS)]
    harness.admission.stop()
    await async_settle()
    waiting.append(await harness.async_call())
    assert {call.refused.reason for call in waiting} == {Reason.LEAVING}
    assert all(call.refused.elsewhere for call in waiting)
    assert all(call.runs for call in running)


async def test_batch_does_not_use_reserved_slots(
    harness: AdmissionHarness,
) -> None:
    report = await harness.async_call(REPORTS)
    second = await harness.async_call(REPORTS)
    assert report.runs
    assert second.waits
    inspector = await harness.async_call(INSPECTORS)
    assert inspector.runs
    await harness.async_finish(report)
    assert second.waits
    await harness.async_finish(inspector)
    assert second.runs


async def test_the_most_recent_batch_slot_is_asked_to_yield_first(
    harness: AdmissionHarness,
) -> None:
    harness.configure(make_pool(slots=4))
    old = await harness.async_call(REPORTS)
    await harness.async_advance(10)
    young = await harness.async_call(REPORTS)
    running = [await harness.async_call(INSPECTORS) for _ in range(2)]
    assert not young.slot.yield_requested.is_set()

    inspector = await harness.async_call(INSPECTORS)
    assert young.slot.yield_requested.is_set()
    assert not old.slot.yield_requested.is_set()

    await harness.async_finish(young)
    assert inspector.runs
    assert all(call.runs for call in running)


async def test_batch_is_not_asked_to_yield_while_waiting_requests_have_slack(
    harness: AdmissionHarness,
) -> None:
    report = await harness.async_call(REPORTS)
    await harness.async_call(INSPECTORS)
    office = await harness.async_call(OFFICE)
    assert not report.slot.yield_requested.is_set()
    await harness.async_advance(1_500)
    assert office.waits
    assert report.slot.yield_requested.is_set()


async def test_another_batch_slot_is_asked_after_the_yield_timeout(
    harness: AdmissionHarness,
) -> None:
    harness.configure(make_pool(slots=3))
    stuck = await harness.async_call(REPORTS)
    await harness.async_advance(10)
    other = await harness.async_call(REPORTS)
    await harness.async_call(INSPECTORS)
    await harness.async_call(INSPECTORS)
    assert other.slot.yield_requested.is_set()
    assert not stuck.slot.yield_requested.is_set()
    await harness.async_advance(300)
    await harness.async_advance(20)
    assert stuck.slot.yield_requested.is_set()


async def test_batch_is_not_starved_by_interactive_arrivals(harness: AdmissionHarness) -> None:
    running = await async_fill(harness)
    report = await harness.async_call(REPORTS)
    grants = 0
    waiting = [await harness.async_call(OFFICE)]
    while report.waits:
        await harness.async_finish(running.pop(0))
        running += [call for call in waiting if call.runs]
        waiting = [call for call in waiting if call.waits]
        waiting.append(await harness.async_call(OFFICE))
        grants += 1
        assert grants <= MAX_GRANTS_BEFORE_BATCH
    assert not report.slot.yield_requested.is_set()


async def test_a_workspace_below_its_guarantee_runs_first_in_a_surge_of_another(
    harness: AdmissionHarness,
) -> None:
    running = await async_fill(harness, INSPECTORS, "school")
    surge = [await harness.async_call(INSPECTORS, "school") for _ in range(4)]
    await harness.async_advance(5)
    plant = await harness.async_call(OFFICE, "plant", waited_ms=1_500)
    await harness.async_finish(running[0])
    assert plant.runs
    assert all(call.waits for call in surge)


async def test_a_full_queue_evicts_from_the_workspace_most_above_its_share(
    harness: AdmissionHarness,
) -> None:
    await async_fill(harness, INSPECTORS, "school")
    surge = [await harness.async_call(INSPECTORS, "school") for _ in range(8)]
    over = await harness.async_call(INSPECTORS, "school")
    assert over.refused.reason is Reason.QUEUE_FULL
    assert over.refused.retry_after_ms

    plant = await harness.async_call(OFFICE, "plant")

    assert plant.waits
    assert surge[-1].refused.reason is Reason.QUEUE_FULL
    assert all(call.waits for call in surge[:-1])
    assert harness.admission.load == 10


async def test_a_full_queue_evicts_batch_for_interactive_of_the_same_workspace(
    harness: AdmissionHarness,
) -> None:
    await async_fill(harness, INSPECTORS)
    reports = [await harness.async_call(REPORTS) for _ in range(8)]
    inspector = await harness.async_call(INSPECTORS)
    assert inspector.waits
    assert reports[-1].refused.reason is Reason.QUEUE_FULL


async def test_a_new_configuration_applies_to_waiting_requests(harness: AdmissionHarness) -> None:
    await async_fill(harness)
    waiting = [await harness.async_call() for _ in range(4)]
    harness.configure(make_pool(slots=3, queue=2))
    await async_settle()
    assert sum(call.runs for call in waiting) == 1
    assert sum(call.waits for call in waiting) == 2
    assert harness.admission.running == 3


async def test_engine_priority_follows_the_penalty(harness: AdmissionHarness) -> None:
    harness.configure(make_pool(slots=8))
    calls = [await harness.async_call(name) for name in (REPORTS, OFFICE, INSPECTORS)]
    priorities = [call.slot.priority for call in calls]
    assert priorities == sorted(priorities)
    assert len(set(priorities)) == 3


async def test_listeners_are_called_on_each_change_until_removed(harness: AdmissionHarness) -> None:
    loads: list[int] = []
    remove = harness.admission.on_change(lambda: loads.append(harness.admission.load))
    call = await harness.async_call()
    await harness.async_finish(call)
    remove()
    await harness.async_call()
    assert loads == [1, 0]


async def test_dump_and_metrics_show_running_and_waiting_requests(
    harness: AdmissionHarness,
) -> None:
    await async_fill(harness)
    await harness.async_call(OFFICE, "plant")
    section = harness.app.dump()["admission"]
    assert isinstance(section, dict)
    assert (section["running"], section["waiting"]) == (2, 1)
    assert b"gypsumrouter_admission_granted_total" in harness.app.metrics.render()


async def test_stopping_the_application_refuses_waiting_requests(harness: AdmissionHarness) -> None:
    await async_fill(harness)
    waiting = await harness.async_call()
    await harness.app.async_stop()
    async with asyncio.timeout(5):
        await waiting.task
    assert waiting.refused.reason is Reason.LEAVING
