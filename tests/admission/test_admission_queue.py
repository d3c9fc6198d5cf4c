"""Who runs next, who waits and who is refused at one upstream."""

from __future__ import annotations

import asyncio

from admission_fakes import INSPECTORS, OFFICE, REPORTS, Call, Side, async_settle, make_pool

from gypsumrouter.outcomes import Reason

# The bounds that decision 0006 states, in grants to others.
LATE_BOUND = 32
BATCH_BOUND = 257


async def async_fill(
    side: Side, caller_class: str = OFFICE, workspace: str = "utility"
) -> list[Call]:
    return [await side.async_call(caller_class, workspace) for _ in range(2)]


async def test_free_slots_are_granted_at_once_and_release_is_idempotent(side: Side) -> None:
    first, second = await async_fill(side)
    assert first.runs
    assert second.runs
    first.slot.release()
    first.slot.release()
    assert (side.admission.load, side.admission.running) == (1, 1)


async def test_the_dearer_target_goes_first_although_it_came_later(side: Side) -> None:
    running = await async_fill(side)
    office = await side.async_call(OFFICE)
    inspector = await side.async_call(INSPECTORS)
    await side.async_finish(running[0])
    assert inspector.runs
    assert office.waits


async def test_a_cheap_request_about_to_miss_goes_before_a_dear_one_with_time_left(
    side: Side,
) -> None:
    for _ in range(100):
        quick = await side.async_call(OFFICE)
        side.admission.record_first_token(quick.slot)
        await side.async_finish(quick)
    running = await async_fill(side)
    inspector = await side.async_call(INSPECTORS)
    office = await side.async_call(OFFICE, waited_ms=1_980)
    await side.async_finish(running[0])
    assert office.runs
    assert inspector.waits


async def test_a_request_past_its_target_lets_all_others_go_first_but_is_served(
    side: Side,
) -> None:
    running = await async_fill(side)
    late = await side.async_call(INSPECTORS, waited_ms=1_000)
    in_time = [await side.async_call(OFFICE) for _ in range(3)]
    for call in in_time:
        await side.async_finish(running.pop())
        assert call.runs
        running.append(call)
    assert late.waits
    await side.async_finish(running.pop())
    assert late.runs


async def test_a_late_request_is_served_within_a_bound_while_others_keep_coming(
    side: Side,
) -> None:
    running = await async_fill(side)
    late = await side.async_call(INSPECTORS, waited_ms=1_000)
    grants = 0
    waiting = [await side.async_call(OFFICE) for _ in range(2)]
    while late.waits:
        await side.async_finish(running.pop(0))
        running += [call for call in waiting if call.runs]
        waiting = [call for call in waiting if call.waits]
        waiting.append(await side.async_call(OFFICE))
        grants += 1
        assert grants <= LATE_BOUND
    assert grants == LATE_BOUND


async def test_a_request_whose_deadline_cannot_be_met_is_refused_and_never_runs(
    side: Side,
) -> None:
    running = await async_fill(side)
    waiting = await side.async_call(INSPECTORS, deadline_ms=200)
    await side.async_advance(160)
    assert waiting.refused.reason is Reason.TARGET_HOPELESS
    assert (await side.async_call(INSPECTORS, deadline_ms=5)).refused.reason is (
        Reason.TARGET_HOPELESS
    )
    await side.async_finish(running[0])
    assert side.admission.running == 1


async def test_a_caller_that_goes_away_leaves_the_queue(side: Side) -> None:
    await async_fill(side)
    waiting = await side.async_call()
    waiting.cancelled.set()
    await async_settle()
    assert waiting.refused.reason is Reason.CANCELLED
    assert side.admission.load == 2


async def test_a_task_cancelled_as_its_slot_arrives_gives_the_slot_back(side: Side) -> None:
    running = await async_fill(side)
    waiting = await side.async_call()
    running[0].slot.release()
    waiting.task.cancel()
    await async_settle()
    assert waiting.task.cancelled()
    assert (side.admission.load, side.admission.running) == (1, 1)


async def test_a_waiting_task_that_is_cancelled_leaves_the_queue(side: Side) -> None:
    await async_fill(side)
    waiting = await side.async_call()
    waiting.task.cancel()
    await async_settle()
    assert side.admission.load == 2


async def test_leaving_refuses_all_that_waits_and_comes_and_lets_the_rest_run(side: Side) -> None:
    running = await async_fill(side)
    waiting = [await side.async_call(name) for name in (INSPECTORS, OFFICE, REPORTS)]
    side.admission.stop()
    await async_settle()
    waiting.append(await side.async_call())
    assert {call.refused.reason for call in waiting} == {Reason.LEAVING}
    assert all(call.refused.elsewhere for call in waiting)
    assert all(call.runs for call in running)


async def test_batch_work_leaves_the_reserve_free_and_waits_for_interactive_work(
    side: Side,
) -> None:
    report = await side.async_call(REPORTS)
    second = await side.async_call(REPORTS)
    assert report.runs
    assert second.waits
    inspector = await side.async_call(INSPECTORS)
    assert inspector.runs
    await side.async_finish(report)
    assert second.waits
    await side.async_finish(inspector)
    assert second.runs


async def test_batch_work_is_asked_to_yield_the_youngest_first(side: Side) -> None:
    side.configure(make_pool(slots=4))
    old = await side.async_call(REPORTS)
    await side.async_advance(10)
    young = await side.async_call(REPORTS)
    running = [await side.async_call(INSPECTORS) for _ in range(2)]
    assert not young.slot.yield_requested.is_set()

    inspector = await side.async_call(INSPECTORS)
    assert young.slot.yield_requested.is_set()
    assert not old.slot.yield_requested.is_set()

    await side.async_finish(young)
    assert inspector.runs
    assert all(call.runs for call in running)


async def test_batch_work_is_left_alone_while_those_who_wait_have_time(side: Side) -> None:
    report = await side.async_call(REPORTS)
    await side.async_call(INSPECTORS)
    office = await side.async_call(OFFICE)
    assert not report.slot.yield_requested.is_set()
    await side.async_advance(1_500)
    assert office.waits
    assert report.slot.yield_requested.is_set()


async def test_batch_work_that_does_not_yield_makes_room_for_asking_another(side: Side) -> None:
    side.configure(make_pool(slots=3))
    stuck = await side.async_call(REPORTS)
    await side.async_advance(10)
    other = await side.async_call(REPORTS)
    await side.async_call(INSPECTORS)
    await side.async_call(INSPECTORS)
    assert other.slot.yield_requested.is_set()
    assert not stuck.slot.yield_requested.is_set()
    await side.async_advance(300)
    await side.async_advance(20)
    assert stuck.slot.yield_requested.is_set()


async def test_batch_work_is_not_starved_by_interactive_work_without_end(side: Side) -> None:
    running = await async_fill(side)
    report = await side.async_call(REPORTS)
    grants = 0
    waiting = [await side.async_call(OFFICE)]
    while report.waits:
        await side.async_finish(running.pop(0))
        running += [call for call in waiting if call.runs]
        waiting = [call for call in waiting if call.waits]
        waiting.append(await side.async_call(OFFICE))
        grants += 1
        assert grants <= BATCH_BOUND
    assert not report.slot.yield_requested.is_set()


async def test_a_small_workspace_goes_first_while_another_surges(side: Side) -> None:
    running = await async_fill(side, INSPECTORS, "school")
    surge = [await side.async_call(INSPECTORS, "school") for _ in range(4)]
    await side.async_advance(5)
    plant = await side.async_call(OFFICE, "plant", waited_ms=1_500)
    await side.async_finish(running[0])
    assert plant.runs
    assert all(call.waits for call in surge)


async def test_a_full_queue_falls_on_the_surging_workspace_not_on_a_newcomer(side: Side) -> None:
    await async_fill(side, INSPECTORS, "school")
    surge = [await side.async_call(INSPECTORS, "school") for _ in range(8)]
    over = await side.async_call(INSPECTORS, "school")
    assert over.refused.reason is Reason.QUEUE_FULL
    assert over.refused.retry_after_ms

    plant = await side.async_call(OFFICE, "plant")

    assert plant.waits
    assert surge[-1].refused.reason is Reason.QUEUE_FULL
    assert all(call.waits for call in surge[:-1])
    assert side.admission.load == 10


async def test_a_full_queue_gives_up_batch_work_for_a_dearer_request_of_the_same_workspace(
    side: Side,
) -> None:
    await async_fill(side, INSPECTORS)
    reports = [await side.async_call(REPORTS) for _ in range(8)]
    inspector = await side.async_call(INSPECTORS)
    assert inspector.waits
    assert reports[-1].refused.reason is Reason.QUEUE_FULL


async def test_a_new_configuration_counts_for_what_already_waits(side: Side) -> None:
    await async_fill(side)
    waiting = [await side.async_call() for _ in range(4)]
    side.configure(make_pool(slots=3, queue=2))
    await async_settle()
    assert sum(call.runs for call in waiting) == 1
    assert sum(call.waits for call in waiting) == 2
    assert side.admission.running == 3


async def test_priority_for_the_engine_follows_the_penalty(side: Side) -> None:
    side.configure(make_pool(slots=8))
    calls = [await side.async_call(name) for name in (REPORTS, OFFICE, INSPECTORS)]
    priorities = [call.slot.priority for call in calls]
    assert priorities == sorted(priorities)
    assert len(set(priorities)) == 3


async def test_listeners_hear_of_each_change_until_they_are_removed(side: Side) -> None:
    loads: list[int] = []
    remove = side.admission.on_change(lambda: loads.append(side.admission.load))
    call = await side.async_call()
    await side.async_finish(call)
    remove()
    await side.async_call()
    assert loads == [1, 0]


async def test_the_dump_is_plain_data_and_the_metrics_render(side: Side) -> None:
    await async_fill(side)
    await side.async_call(OFFICE, "plant")
    section = side.app.dump()["admission"]
    assert isinstance(section, dict)
    assert (section["running"], section["waiting"]) == (2, 1)
    assert b"gypsumrouter_admission_granted_total" in side.app.metrics.render()


async def test_stopping_the_application_ends_every_wait(side: Side) -> None:
    await async_fill(side)
    waiting = await side.async_call()
    await side.app.async_stop()
    async with asyncio.timeout(5):
        await waiting.task
    assert waiting.refused.reason is Reason.LEAVING
