"""Requests with an idempotency key, which are executed at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.admission import Admission, Slot
from gypsumrouter.core import Application
from gypsumrouter.exchange.deadline import Deadline
from gypsumrouter.exchange.execution import Attempt, Execution
from gypsumrouter.exchange.sinks import Recorder
from gypsumrouter.idempotency import Idempotency, Join, Replay, Run
from gypsumrouter.link import Answer
from gypsumrouter.link.models import Head, Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

_RETRY_REASONS = frozenset({Reason.CANCELLED, Reason.DEADLINE, Reason.TARGET_UNATTAINABLE})


class AtMostOnceContext(Struct, frozen=True, kw_only=True):
    """Dependencies shared by all at-most-once calls of a side.

    `max_detached_ms` is how long a run may continue after its caller's deadline.
    """

    app: Application
    admission: Admission
    execution: Execution
    idempotency: Idempotency
    max_detached_ms: int
    check: Callable[[Open], Refused | None]
    count_active: Callable[[int], None]


class AtMostOnceExchange:
    """Runs an at-most-once call, replays its stored response, or joins a run in progress.

    Once the call is sent to the upstream, neither its caller's cancellation nor its deadline stops
    the run. The response is stored and replayed to repeats of the call.
    """

    __slots__ = (
        "_answer",
        "_context",
        "_deadline",
        "_denied",
        "_joined",
        "_recorder",
        "_request",
        "_slot",
    )

    def __init__(self, *, context: AtMostOnceContext, request: Open, answer: Answer) -> None:
        self._context = context
        self._request = request
        self._answer = answer
        self._denied: Failure | None = None
        self._joined = False
        self._deadline = Deadline(clock=context.app.clock, request=request)
        self._recorder = Recorder(answer=answer, on_first_body=self._record_first_body)
        self._slot: Slot | None = None

    async def async_run(self) -> Failure | None:
        """Run, join or replay the call; return None after a complete response."""
        while True:
            failure = await self._async_begin()
            if not self._should_retry(failure):
                return failure

    async def _async_begin(self) -> Failure | None:
        self._joined = False
        match self._context.idempotency.begin(self._request):
            case Run() as run:
                return await self._async_run_detached(run)
            case Replay() as replay:
                return await self._async_replay(replay)
            case Join() as join:
                self._joined = True
                return await self._async_join(join)
            case failure:
                return failure

    def _should_retry(self, failure: Failure | None) -> bool:
        """Return whether to start over: the joined run was abandoned before it was sent."""
        if not self._joined or not isinstance(failure, Refused):
            return False
        if self._answer.cancelled.is_set() or self._deadline.remaining_ms() == 0:
            return False
        return failure.reason in _RETRY_REASONS

    async def _async_run_detached(self, run: Run) -> Failure | None:
        """Run the call in a task of its own, and wait until it ends or the caller stops waiting."""
        task = self._context.app.async_create_task(
            self._async_execute(run), f"once {self._request.request_id}"
        )
        try:
            await self._async_wait(task)
            if not task.done() and not self._recorder.sent:
                await asyncio.shield(task)
        finally:
            if not task.done():
                self._recorder.detach()
        if not task.done():
            return self._make_unfinished()
        failure = task.result()
        if failure is None:
            await self._recorder.async_deliver()
        return failure

    async def _async_replay(self, replay: Replay) -> Failure | None:
        self._answer.head(replace(replay.head, replayed=True))
        await self._answer.async_write(replay.body)
        return None

    async def _async_join(self, join: Join) -> Failure | None:
        task = asyncio.ensure_future(join.async_wait())
        try:
            await self._async_wait(task)
        finally:
            if not task.done():
                task.cancel()
        if not task.done():
            return self._make_unfinished()
        match task.result():
            case Replay() as replay:
                return await self._async_replay(replay)
            case failure:
                return failure

    async def _async_wait(self, task: asyncio.Task[Any]) -> None:
        """Wait until the task is done, the caller has cancelled or its deadline has passed."""
        disconnected = asyncio.ensure_future(self._answer.cancelled.wait())
        deadline = asyncio.ensure_future(
            self._context.app.clock.async_sleep(self._deadline.remaining_ms())
        )
        try:
            await asyncio.wait({task, disconnected, deadline}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            disconnected.cancel()
            deadline.cancel()

    def _make_unfinished(self) -> Failed:
        if self._answer.cancelled.is_set():
            return Failed(reason=Reason.CANCELLED, message="the caller is gone")
        return Failed(reason=Reason.DEADLINE, message="the call still runs")

    async def _async_execute(self, run: Run) -> Failure | None:
        """Run the call to its end and store its outcome."""
        self._context.count_active(1)
        try:
            with run:
                return self._store_outcome(run, await self._async_check_and_run(run))
        finally:
            self._context.count_active(-1)

    async def _async_check_and_run(self, run: Run) -> Failure | None:
        refused = self._context.check(self._request)
        if refused is not None:
            return refused
        return await self._async_admit_and_run(run)

    async def _async_admit_and_run(self, run: Run) -> Failure | None:
        request = self._deadline.update(self._request)
        slot = await self._context.admission.async_admit(request, self._answer.cancelled)
        if isinstance(slot, Refused):
            return slot
        self._slot = slot
        try:
            return await self._context.execution.async_attempt(
                Attempt(
                    request=request,
                    sink=self._recorder,
                    slot=slot,
                    deadline=self._deadline,
                    disconnected=self._answer.cancelled,
                    authorize=lambda: self._authorize(run),
                    max_run_ms=self._deadline.remaining_ms() + self._context.max_detached_ms,
                )
            )
        finally:
            slot.release()

    def _authorize(self, run: Run) -> Failure | None:
        """Return None if the call may be sent, which then counts as run; else why not."""
        if self._answer.cancelled.is_set():
            return Refused(reason=Reason.CANCELLED, message="the caller is gone")
        if self._deadline.remaining_ms() == 0:
            return Refused(reason=Reason.DEADLINE, message="the time for the request is over")
        self._denied = run.authorize()
        if self._denied is None:
            self._recorder.sent = True
        return self._denied

    def _store_outcome(self, run: Run, failure: Failure | None) -> Failure | None:
        """Store the outcome of the run and return the failure to report to the caller."""
        if self._denied is not None:
            return failure
        match failure:
            case None:
                self._record_answer(run)
            case Refused():
                # This refusal is about the call as a whole, so no other instance may be tried.
                return run.cancel(replace(failure, elsewhere=False))
            case Failed():
                run.fail(failure.reason)
        return failure

    def _record_answer(self, run: Run) -> None:
        head = self._recorder.recorded_head
        if head is None or self._recorder.too_large:
            run.fail(Reason.ANSWER_EVICTED)
            return
        run.finish(Head(status=head.status, headers=head.headers), self._recorder.body)

    def _record_first_body(self) -> None:
        if self._slot is not None:
            self._context.admission.record_first_token(self._slot)
