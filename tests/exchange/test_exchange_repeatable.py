"""Tests of repeatable requests in the exchange runner."""

from __future__ import annotations

import asyncio

import pytest
from exchange_fakes import MODEL, REQUEST, Side, async_settle
from msgspec.structs import replace

from gypsumrouter.const import UpstreamKind
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Reason, Refused

CHAT = replace(REQUEST, kind=UpstreamKind.ENGINE, model=MODEL, stream=True)
REPORT = replace(CHAT, request_id="report-1", caller_class="reports", digest=12)


async def test_complete_response_is_relayed(engine_side: Side) -> None:
    answer, task = engine_side.handle(CHAT)
    run = await engine_side.upstream.async_next()
    run.send()
    await run.async_answer(b"one ")
    await run.answer.async_write(b"two")
    run.finish()
    await task

    assert answer.body == b"one two"
    assert answer.ended
    assert [head.status for head in answer.heads] == [200]
    assert engine_side.admission.load == 0


async def test_head_of_response_without_body_is_relayed(service_side: Side) -> None:
    answer, task = service_side.handle(REQUEST)
    run = await service_side.upstream.async_next()
    run.send()
    await run.async_answer(b"", status=204)
    run.finish()
    await task

    assert answer.ended
    assert answer.heads[0].status == 204


@pytest.mark.parametrize(
    ("request_", "reason"),
    [
        (replace(CHAT, pool="other"), Reason.WRONG_UPSTREAM),
        (replace(CHAT, kind=UpstreamKind.SERVICE), Reason.WRONG_UPSTREAM),
        (replace(CHAT, model="chat-small"), Reason.MODEL_NOT_LOADED),
    ],
)
async def test_request_for_another_upstream_is_refused(
    engine_side: Side, request_: Open, reason: Reason
) -> None:
    answer = await engine_side.async_handle(request_)

    assert isinstance(answer.failure, Refused)
    assert answer.failure.reason is reason
    assert answer.failure.elsewhere
    assert engine_side.upstream.started == 0


async def test_request_is_refused_while_upstream_is_down(engine_side: Side) -> None:
    engine_side.upstream.up = False

    answer = await engine_side.async_handle(CHAT)

    assert isinstance(answer.failure, Refused)
    assert answer.failure.reason is Reason.NOT_READY
    assert not engine_side.runner.make_status().ready


async def test_at_most_once_call_without_key_is_refused(service_side: Side) -> None:
    answer = await service_side.async_handle(replace(REQUEST, path="/sign-offs/7"))

    assert isinstance(answer.failure, Refused)
    assert answer.failure.reason is Reason.KEY_REQUIRED
    assert service_side.upstream.started == 0


async def test_draining_side_refuses_new_and_queued_requests_and_completes_running_ones(
    engine_side: Side,
) -> None:
    running = [engine_side.handle(replace(CHAT, request_id=name)) for name in ("a", "b")]
    runs = [await engine_side.upstream.async_next() for _ in running]
    for run in runs:
        run.send()
    waiting, waiting_task = engine_side.handle(replace(CHAT, request_id="c"))
    await async_settle()
    drain = engine_side.drain()
    await waiting_task
    new = await engine_side.async_handle(replace(CHAT, request_id="d"))

    for answer in (waiting, new):
        assert isinstance(answer.failure, Refused)
        assert answer.failure.reason is Reason.LEAVING
        assert answer.failure.elsewhere
    assert engine_side.runner.make_status().leaving
    assert not drain.done()
    for run in runs:
        await run.async_answer(b"whole")
        run.finish()
    await drain
    assert [answer.ended for answer, _ in running] == [True, True]


async def test_caller_disconnect_cancels_run_at_upstream(engine_side: Side) -> None:
    answer, task = engine_side.handle(CHAT)
    run = await engine_side.upstream.async_next()
    run.send()
    await run.async_answer(b"one")
    answer.cancelled.set()
    await task

    assert isinstance(answer.failure, Failed)
    assert answer.failure.reason is Reason.CANCELLED
    assert engine_side.upstream.cancelled == ["request-1"]
    assert engine_side.admission.load == 0


async def test_deadline_before_sending_is_a_refusal(engine_side: Side) -> None:
    answer, task = engine_side.handle(CHAT)
    await engine_side.upstream.async_next()
    engine_side.clock.advance(CHAT.deadline_ms)
    await task

    assert isinstance(answer.failure, Refused)
    assert answer.failure.reason is Reason.DEADLINE


async def test_deadline_after_sending_is_a_failure_and_cancels_run(engine_side: Side) -> None:
    answer, task = engine_side.handle(CHAT)
    run = await engine_side.upstream.async_next()
    run.send()
    engine_side.clock.advance(CHAT.deadline_ms)
    await task

    assert isinstance(answer.failure, Failed)
    assert answer.failure.reason is Reason.DEADLINE
    assert engine_side.upstream.cancelled == ["request-1"]


async def test_refusal_by_upstream_client_is_returned_unchanged(engine_side: Side) -> None:
    answer, task = engine_side.handle(CHAT)
    run = await engine_side.upstream.async_next()
    refusal = Refused(reason=Reason.UNREACHABLE, elsewhere=True)
    run.finish(refusal)
    await task

    assert answer.failure == refusal


async def test_batch_request_without_body_sent_is_preempted_and_runs_again(
    engine_side: Side,
) -> None:
    reports = [
        engine_side.handle(replace(REPORT, request_id=f"report-{number}", digest=20 + number))
        for number in range(2)
    ]
    runs = [await engine_side.upstream.async_next()]
    await async_settle()
    runs[0].send()
    chats = [
        engine_side.handle(replace(CHAT, request_id=f"chat-{number}", digest=30 + number))
        for number in range(2)
    ]
    chat_runs = [await engine_side.upstream.async_next() for _ in chats]
    for run in chat_runs:
        run.send()
        await run.async_answer(b"inspector")
        run.finish()
    for _, task in chats:
        await task
    for _ in reports:
        run = await engine_side.upstream.async_next()
        run.send()
        await run.async_answer(b"report")
        run.finish()
    for answer, task in reports:
        await task
        assert answer.ended
        assert answer.body == b"report"
    assert engine_side.upstream.cancelled == ["report-0"]


async def test_batch_request_with_body_sent_is_not_preempted(engine_side: Side) -> None:
    report, report_task = engine_side.handle(REPORT)
    run = await engine_side.upstream.async_next()
    run.send()
    await run.async_answer(b"first ")
    chats = [
        engine_side.handle(replace(CHAT, request_id=f"chat-{number}", digest=30 + number))
        for number in range(2)
    ]
    await async_settle()
    await run.answer.async_write(b"second")
    run.finish()
    await report_task

    assert report.body == b"first second"
    assert report.ended
    assert engine_side.upstream.cancelled == []
    for answer, _ in chats:
        answer.cancelled.set()


async def test_requests_running_at_upstream_crash_run_alone_afterwards(engine_side: Side) -> None:
    first, first_task = engine_side.handle(CHAT)
    second, second_task = engine_side.handle(replace(CHAT, request_id="b", digest=12))
    for _ in range(2):
        run = await engine_side.upstream.async_next()
        run.send()
        if run.request.request_id == "b":
            engine_side.upstream.crash()
        run.finish(Failed(reason=Reason.UPSTREAM_LOST))
    await asyncio.gather(first_task, second_task)
    assert isinstance(first.failure, Failed)
    assert isinstance(second.failure, Failed)

    again, again_task = engine_side.handle(replace(CHAT, request_id="b", digest=12))
    run = await engine_side.upstream.async_next()
    run.send()
    other, other_task = engine_side.handle(replace(CHAT, request_id="c", digest=13))
    await async_settle()
    assert engine_side.upstream.started == 3
    await run.async_answer(b"alone")
    run.finish()
    await again_task
    run = await engine_side.upstream.async_next()
    run.send()
    await run.async_answer(b"after")
    run.finish()
    await other_task
    assert again.ended
    assert other.ended
