"""Calls that must not be repeated, from the link to the upstream and back."""

from __future__ import annotations

import asyncio

import pytest
from exchange_fakes import LEASE_MS, FakeAnswer, FakeRun, Side, async_settle
from msgspec.structs import replace

from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Reason, Refused

LARGE = 300 * 1024


async def async_begin(side: Side, call: Open) -> tuple[FakeAnswer, asyncio.Task[None], FakeRun]:
    """Begin a call and hand it over."""
    answer, task = side.handle(call)
    run = await side.upstream.async_next()
    run.hand_over()
    return answer, task, run


async def test_repeat_is_answered_from_memory(service_side: Side) -> None:
    call = service_side.make_keyed()
    first, task, run = await async_begin(service_side, call)
    await run.async_answer(b"reserved", status=201)
    run.finish()
    await task

    again = await service_side.async_handle(call)

    assert (first.body, again.body) == (b"reserved", b"reserved")
    assert [head.status for head in again.heads] == [201]
    assert [first.heads[0].replayed, again.heads[0].replayed] == [False, True]
    assert service_side.upstream.started == 1


async def test_repeat_while_it_runs_joins_the_run(service_side: Side) -> None:
    call = service_side.make_keyed()
    first, first_task, run = await async_begin(service_side, call)
    second, second_task = service_side.handle(call)
    await async_settle()
    await run.async_answer(b"reserved")
    run.finish()
    await asyncio.gather(first_task, second_task)

    assert (first.body, second.body) == (b"reserved", b"reserved")
    assert service_side.upstream.started == 1


async def test_call_that_was_handed_over_goes_on_without_its_caller(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task, run = await async_begin(service_side, call)
    answer.cancelled.set()
    await task

    assert isinstance(answer.failure, Failed)
    assert service_side.upstream.cancelled == []
    await run.async_answer(b"reserved")
    run.finish()
    await async_settle()
    again = await service_side.async_handle(call)
    assert again.body == b"reserved"
    assert service_side.upstream.started == 1


async def test_call_that_was_handed_over_goes_on_when_its_task_is_cancelled(
    service_side: Side,
) -> None:
    call = service_side.make_keyed()
    _, task, run = await async_begin(service_side, call)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await run.async_answer(b"reserved")
    run.finish()
    await async_settle()

    again = await service_side.async_handle(call)

    assert again.body == b"reserved"
    assert service_side.upstream.started == 1


async def test_deadline_after_the_hand_over_is_unknown_and_the_call_goes_on(
    service_side: Side,
) -> None:
    call = service_side.make_keyed()
    answer, task, run = await async_begin(service_side, call)
    service_side.clock.advance(call.deadline_ms)
    await task

    assert isinstance(answer.failure, Failed)
    assert answer.failure.reason is Reason.DEADLINE
    await run.async_answer(b"reserved")
    run.finish()
    await async_settle()
    assert (await service_side.async_handle(call)).body == b"reserved"


async def test_call_that_never_ends_gives_its_slot_back(service_side: Side) -> None:
    call = service_side.make_keyed()
    _, task, _ = await async_begin(service_side, call)
    for _ in range(10):
        service_side.clock.advance(call.deadline_ms)
        await async_settle()
    await task

    assert service_side.upstream.cancelled == [call.request_id]
    assert service_side.admission.load == 0
    again = await service_side.async_handle(call)
    assert isinstance(again.failure, Failed)


async def test_lease_that_ran_out_before_the_hand_over_sends_nothing(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task = service_side.handle(call)
    run = await service_side.upstream.async_next()
    service_side.clock.advance(LEASE_MS + 5_000)
    run.hand_over()
    await task

    assert not run.handed
    assert isinstance(answer.failure, Refused | Failed)
    assert answer.failure.reason is Reason.KEY_OWNER_UNCONFIRMED


async def test_caller_that_goes_before_the_hand_over_sends_nothing(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task = service_side.handle(call)
    run = await service_side.upstream.async_next()
    answer.cancelled.set()
    run.hand_over()
    await task

    assert not run.handed
    assert isinstance(answer.failure, Refused)
    assert answer.failure.reason is Reason.CANCELLED


async def test_joined_call_whose_own_caller_went_before_the_hand_over_still_runs(
    service_side: Side,
) -> None:
    call = service_side.make_keyed()
    first, first_task = service_side.handle(call)
    await service_side.upstream.async_next()
    second, second_task = service_side.handle(call)
    await async_settle()
    first.cancelled.set()
    run = await service_side.upstream.async_next()
    run.hand_over()
    await run.async_answer(b"reserved")
    run.finish()
    await asyncio.gather(first_task, second_task)

    assert isinstance(first.failure, Refused)
    assert second.body == b"reserved"
    assert second.ended


async def test_lost_answer_is_unknown_for_every_repeat(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task, run = await async_begin(service_side, call)
    run.finish(Failed(reason=Reason.UPSTREAM_LOST))
    await task

    again = await service_side.async_handle(call)

    assert isinstance(answer.failure, Failed)
    assert isinstance(again.failure, Failed)
    assert again.failure.reason is Reason.EARLIER_RUN_UNKNOWN
    assert service_side.upstream.started == 1


async def test_refused_call_was_not_run_and_may_run_later(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task = service_side.handle(call)
    run = await service_side.upstream.async_next()
    run.finish(Refused(reason=Reason.UNREACHABLE, elsewhere=True))
    await task

    assert isinstance(answer.failure, Refused)
    assert not answer.failure.elsewhere
    again, again_task, run = await async_begin(service_side, call)
    await run.async_answer(b"reserved")
    run.finish()
    await again_task
    assert again.body == b"reserved"
    assert not again.heads[0].replayed


@pytest.mark.parametrize("caller_stays", [True, False])
async def test_answer_too_large_to_be_remembered_is_passed_on_once(
    service_side: Side, caller_stays: bool
) -> None:
    call = service_side.make_keyed()
    answer, task, run = await async_begin(service_side, call)
    await run.async_answer(b"x" * LARGE)
    if not caller_stays:
        answer.cancelled.set()
        await task
    await run.answer.async_write(b"end")
    run.finish()
    await async_settle()
    again = await service_side.async_handle(call)

    if caller_stays:
        assert answer.body == b"x" * LARGE + b"end"
        assert answer.ended
    assert isinstance(again.failure, Failed)
    assert service_side.upstream.started == 1


async def test_remembered_answer_is_told_while_leaving(service_side: Side) -> None:
    call = service_side.make_keyed()
    _, task, run = await async_begin(service_side, call)
    await run.async_answer(b"reserved")
    run.finish()
    await task
    service_side.runner.begin_leaving()

    again = await service_side.async_handle(call)
    new = await service_side.async_handle(service_side.make_keyed())

    assert again.body == b"reserved"
    assert isinstance(new.failure, Refused)
    assert new.failure.reason is Reason.LEAVING


async def test_planned_stop_waits_for_a_call_whose_caller_went(service_side: Side) -> None:
    answer, task, run = await async_begin(service_side, service_side.make_keyed())
    answer.cancelled.set()
    await task
    drain = service_side.drain()
    await async_settle()

    assert not drain.done()
    await run.async_answer(b"reserved")
    run.finish()
    await drain


async def test_other_request_with_the_same_key_is_refused(service_side: Side) -> None:
    call = service_side.make_keyed()
    _, task, run = await async_begin(service_side, call)
    await run.async_answer(b"reserved")
    run.finish()
    await task

    other = await service_side.async_handle(replace(call, body=b"other", digest=99))

    assert isinstance(other.failure, Refused)
    assert other.failure.reason is Reason.KEY_REUSED
