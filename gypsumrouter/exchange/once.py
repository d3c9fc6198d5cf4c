"""Calls that must not be repeated: run once to their end, whatever becomes of the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.admission import Admission, Slot
from gypsumrouter.core import Application
from gypsumrouter.exchange.deadline import Deadline
from gypsumrouter.exchange.execution import Execution, Try
from gypsumrouter.exchange.sinks import Recorder
from gypsumrouter.idempotency import Idempotency, Join, Replay, Run
from gypsumrouter.link import Answer
from gypsumrouter.link.models import Head, Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

_GIVEN_UP = frozenset({Reason.CANCELLED, Reason.DEADLINE, Reason.TARGET_UNATTAINABLE})


class OnceParts(Struct, frozen=True, kw_only=True):
    """What every such call needs; `limit_ms` bounds a run that its caller can't stop."""

    app: Application
    admission: Admission
    execution: Execution
    idempotency: Idempotency
    limit_ms: int
    vet: Callable[[Open], Refused | None]
    count_run: Callable[[int], None]


class OnceExchange:
    """Run one call that must not be repeated, or answer it from memory.

    After the hand-over the run belongs to the process: its caller may go, and its answer is
    remembered for whoever asks again.
    """

    __slots__ = (
        "_answer",
        "_deadline",
        "_denied",
        "_joined",
        "_parts",
        "_recorder",
        "_request",
        "_slot",
    )

    def __init__(self, *, parts: OnceParts, request: Open, answer: Answer) -> None:
        self._parts = parts
        self._request = request
        self._answer = answer
        self._denied: Failure | None = None
        self._joined = False
        self._deadline = Deadline(clock=parts.app.clock, request=request)
        self._recorder = Recorder(answer=answer, on_first_body=self._note_first_body)
        self._slot: Slot | None = None

    async def async_run(self) -> Failure | None:
        """Run or replay the call; None after a whole answer."""
        while True:
            failure = await self._async_begin()
            if not self._may_begin_again(failure):
                return failure

    async def _async_begin(self) -> Failure | None:
        self._joined = False
        match self._parts.idempotency.begin(self._request):
            case Run() as run:
                return await self._async_follow(run)
            case Replay() as replay:
                return await self._async_replay(replay)
            case Join() as join:
                self._joined = True
                return await self._async_join(join)
            case failure:
                return failure

    def _may_begin_again(self, failure: Failure | None) -> bool:
        """Return whether the call that was joined never ran, since its own caller gave it up."""
        if not self._joined or not isinstance(failure, Refused):
            return False
        if self._answer.cancelled.is_set() or self._deadline.left_ms() == 0:
            return False
        return failure.reason in _GIVEN_UP

    async def _async_follow(self, run: Run) -> Failure | None:
        """Wait for the run as long as the caller does."""
        task = self._parts.app.async_create_task(
            self._async_execute(run), f"once {self._request.request_id}"
        )
        try:
            await self._async_wait(task)
            if not task.done() and not self._recorder.handed:
                await asyncio.shield(task)
        finally:
            if not task.done():
                self._recorder.detach()
        if not task.done():
            return self._fail_unfinished()
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
            return self._fail_unfinished()
        match task.result():
            case Replay() as replay:
                return await self._async_replay(replay)
            case failure:
                return failure

    async def _async_wait(self, task: asyncio.Task[Any]) -> None:
        """Wait until the task is done, the caller is gone or its time is over."""
        gone = asyncio.ensure_future(self._answer.cancelled.wait())
        late = asyncio.ensure_future(self._parts.app.clock.async_sleep(self._deadline.left_ms()))
        try:
            await asyncio.wait({task, gone, late}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
            late.cancel()

    def _fail_unfinished(self) -> Failed:
        if self._answer.cancelled.is_set():
            return Failed(reason=Reason.CANCELLED, message="the caller is gone")
        return Failed(reason=Reason.DEADLINE, message="the call still runs")

    async def _async_execute(self, run: Run) -> Failure | None:
        """Run the call to its end and remember how it ended."""
        self._parts.count_run(1)
        try:
            with run:
                return self._settle(run, await self._async_vet(run))
        finally:
            self._parts.count_run(-1)

    async def _async_vet(self, run: Run) -> Failure | None:
        refused = self._parts.vet(self._request)
        if refused is not None:
            return refused
        return await self._async_admit(run)

    async def _async_admit(self, run: Run) -> Failure | None:
        request = self._deadline.update(self._request)
        slot = await self._parts.admission.async_admit(request, self._answer.cancelled)
        if isinstance(slot, Refused):
            return slot
        self._slot = slot
        try:
            return await self._parts.execution.async_try(
                Try(
                    request=request,
                    sink=self._recorder,
                    slot=slot,
                    deadline=self._deadline,
                    gone=self._answer.cancelled,
                    allow=lambda: self._allow(run),
                    limit_ms=self._deadline.left_ms() + self._parts.limit_ms,
                )
            )
        finally:
            slot.release()

    def _allow(self, run: Run) -> Failure | None:
        """Return why the call may not be handed over, None once it counts as run."""
        if self._answer.cancelled.is_set():
            return Refused(reason=Reason.CANCELLED, message="the caller is gone")
        if self._deadline.left_ms() == 0:
            return Refused(reason=Reason.DEADLINE, message="the time for the request is over")
        self._denied = run.started()
        if self._denied is None:
            self._recorder.handed = True
        return self._denied

    def _settle(self, run: Run, failure: Failure | None) -> Failure | None:
        """Remember the end of the run, and return what its caller may be told."""
        if self._denied is not None:
            return failure
        match failure:
            case None:
                self._remember(run)
            case Refused():
                # The home speaks for the whole call: nobody else may take it.
                return run.not_run(replace(failure, elsewhere=False))
            case Failed():
                run.lost(failure.reason)
        return failure

    def _remember(self, run: Run) -> None:
        head = self._recorder.recorded_head
        if head is None or self._recorder.too_large:
            run.lost(Reason.ANSWER_EVICTED)
            return
        run.finish(Head(status=head.status, headers=head.headers), self._recorder.body)

    def _note_first_body(self) -> None:
        if self._slot is not None:
            self._parts.admission.record_first_token(self._slot)
