"""Tests of at-most-once calls in the exchange runner."""

from __future__ import annotations

import asyncio

import pytest
from exchange_fakes import LEASE_MS, FakeAnswer, FakeRun, Side, async_settle
from msgspec.structs import replace

from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Reason, Refused

TOO_LARGE = 300 * 1024


async def async_begin_and_send(
    side: Side, call: Open
) -> tuple[FakeAnswer, asyncio.Task[None], FakeRun]:
    """Begin a call and send it to the upstream."""
    answer, task = side.handle(call)
    run = await side.upstream.async_next()
    run.send()
    return answer, task, run


async def test_repeat_gets_stored_response(service_side: Side) -> None:
    call = service_side.make_keyed()
    first, task, run = await async_begin_and_send(service_side, call)
    await run.async_answer(b"reserved", status=201)
    run.finish()
    await task

    again = await service_side.async_handle(call)

    assert (first.body, again.body) == (b"reserved", b"reserved")
    assert [head.status for head in again.heads] == [201]
    assert [first.heads[0].replayed, again.heads[0].replayed] == [False, True]
    assert service_side.upstream.started == 1


async def test_repeat_of_running_call_joins_it(service_side: Side) -> None:
    call = service_side.make_keyed()
    first, first_task, run = await async_begin_and_send(service_side, call)
    second, second_task = service_side.handle(call)
    await async_settle()
    await run.async_answer(b"reserved")
    run.finish()
    await asyncio.gather(first_task, second_task)

    assert (first.body, second.body) == (b"reserved", b"reserved")
    assert service_side.upstream.started == 1


async def test_sent_call_continues_after_caller_disconnects(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task, run = await async_begin_and_send(service_side, call)
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


async def test_sent_call_continues_after_its_task_is_cancelled(
    service_side: Side,
) -> None:
    call = service_side.make_keyed()
    _, task, run = await async_begin_and_send(service_side, call)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await run.async_answer(b"reserved")
    run.finish()
    await async_settle()

    again = await service_side.async_handle(call)

    assert again.body == b"reserved"
    assert service_side.upstream.started == 1


async def test_sent_call_continues_after_deadline_and_is_reported_as_unknown(
    service_side: Side,
) -> None:
    call = service_side.make_keyed()
    answer, task, run = await async_begin_and_send(service_side, call)
    service_side.clock.advance(call.deadline_ms)
    await task

    assert isinstance(answer.failure, Failed)
    assert answer.failure.reason is Reason.DEADLINE
    await run.async_answer(b"reserved")
    run.finish()
    await async_settle()
    assert (await service_side.async_handle(call)).body == b"reserved"


async def test_call_that_never_ends_is_cancelled_and_releases_its_slot(service_side: Side) -> None:
    call = service_side.make_keyed()
    _, task, _ = await async_begin_and_send(service_side, call)
    for _ in range(10):
        service_side.clock.advance(call.deadline_ms)
        await async_settle()
    await task

    assert service_side.upstream.cancelled == [call.request_id]
    assert service_side.admission.load == 0
    again = await service_side.async_handle(call)
    assert isinstance(again.failure, Failed)


async def test_call_is_not_sent_after_lease_expires(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task = service_side.handle(call)
    run = await service_side.upstream.async_next()
    service_side.clock.advance(LEASE_MS + 5_000)
    run.send()
    await task

    assert not run.sent
    assert isinstance(answer.failure, Refused | Failed)
    assert answer.failure.reason is Reason.KEY_OWNER_UNCONFIRMED


async def test_call_is_not_sent_after_caller_disconnects(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task = service_side.handle(call)
    run = await service_side.upstream.async_next()
    answer.cancelled.set()
    run.send()
    await task

    assert not run.sent
    assert isinstance(answer.failure, Refused)
    assert answer.failure.reason is Reason.CANCELLED


async def test_joined_call_runs_again_if_first_caller_disconnects_before_sending(
    service_side: Side,
) -> None:
    call = service_side.make_keyed()
    first, first_task = service_side.handle(call)
    await service_side.upstream.async_next()
    second, second_task = service_side.handle(call)
    await async_settle()
    first.cancelled.set()
    run = await service_side.upstream.async_next()
    run.send()
    await run.async_answer(b"reserved")
    run.finish()
    await asyncio.gather(first_task, second_task)

    assert isinstance(first.failure, Refused)
    assert second.body == b"reserved"
    assert second.ended


async def test_call_with_lost_response_stays_unknown_for_repeats(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task, run = await async_begin_and_send(service_side, call)
    run.finish(Failed(reason=Reason.UPSTREAM_LOST))
    await task

    again = await service_side.async_handle(call)

    assert isinstance(answer.failure, Failed)
    assert isinstance(again.failure, Failed)
    assert again.failure.reason is Reason.EARLIER_RUN_UNKNOWN
    assert service_side.upstream.started == 1


async def test_refused_call_may_run_later(service_side: Side) -> None:
    call = service_side.make_keyed()
    answer, task = service_side.handle(call)
    run = await service_side.upstream.async_next()
    run.finish(Refused(reason=Reason.UNREACHABLE, elsewhere=True))
    await task

    assert isinstance(answer.failure, Refused)
    assert not answer.failure.elsewhere
    again, again_task, run = await async_begin_and_send(service_side, call)
    await run.async_answer(b"reserved")
    run.finish()
    await again_task
    assert again.body == b"reserved"
    assert not again.heads[0].replayed


@pytest.mark.parametrize("caller_stays", [True, False])
async def test_too_large_response_is_streamed_and_not_replayed(
    service_side: Side, caller_stays: bool
) -> None:
    call = service_side.make_keyed()
    answer, task, run = await async_begin_and_send(service_side, call)
    await run.async_answer(b"x" * TOO_LARGE)
    if not caller_stays:
        answer.cancelled.set()
        await task
    await run.answer.async_write(b"end")
    run.finish()
    await async_settle()
    again = await service_side.async_handle(call)

    if caller_stays:
        assert answer.body == b"x" * TOO_LARGE + b"end"
        assert answer.ended
    assert isinstance(again.failure, Failed)
    assert service_side.upstream.started == 1


async def test_stored_response_is_replayed_while_draining(service_side: Side) -> None:
    call = service_side.make_keyed()
    _, task, run = await async_begin_and_send(service_side, call)
    await run.async_answer(b"reserved")
    run.finish()
    await task
    service_side.runner.begin_drain()

    again = await service_side.async_handle(call)
    new = await service_side.async_handle(service_side.make_keyed())

    assert again.body == b"reserved"
    assert isinstance(new.failure, Refused)
    assert new.failure.reason is Reason.LEAVING


async def test_drain_waits_for_call_whose_caller_disconnected(service_side: Side) -> None:
    answer, task, run = await async_begin_and_send(service_side, service_side.make_keyed())
    answer.cancelled.set()
    await task
    drain = service_side.drain()
    await async_settle()

    assert not drain.done()
    await run.async_answer(b"reserved")
    run.finish()
    await drain


async def test_different_request_with_same_key_is_refused(service_side: Side) -> None:
    call = service_side.make_keyed()
    _, task, run = await async_begin_and_send(service_side, call)
    await run.async_answer(b"reserved")
    run.finish()
    await task

    other = await service_side.async_handle(replace(call, body=b"other", digest=99))

    assert isinstance(other.failure, Refused)
    assert other.failure.reason is Reason.KEY_REUSED
