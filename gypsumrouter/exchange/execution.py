"""Runs an admitted request at the upstream, bounded by its deadline and by cancellation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from gypsumrouter.admission import Slot
from gypsumrouter.core import Application
from gypsumrouter.exchange.deadline import Deadline
from gypsumrouter.exchange.sinks import Recorder, Relay, StopReason
from gypsumrouter.exchange.supervision import supervise_run
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.suspicion import SuspectTracker
from gypsumrouter.upstream import HandOverDenied, UpstreamClient

_INTERRUPTED_REASONS = frozenset({Reason.CANCELLED, Reason.SUSPECT_ISOLATED})


class Attempt(Struct, frozen=True, kw_only=True):
    """One attempt to run a request: the request, the sink of its response and its limits.

    `authorize` is called right before the first byte is sent; if it returns a failure, nothing is
    sent. `disconnected` is set when the caller cancels. `may_yield` allows admission to preempt the
    attempt, and `max_run_ms` bounds a run that its caller cannot stop.
    """

    request: Open
    sink: Relay | Recorder
    slot: Slot
    deadline: Deadline
    disconnected: asyncio.Event
    authorize: Callable[[], Failure | None]
    may_yield: bool = False
    max_run_ms: int | None = None


class Execution:
    """Runs admitted requests at the upstream."""

    __slots__ = ("_app", "_client", "_suspicion")

    def __init__(
        self, *, app: Application, client: UpstreamClient, suspicion: SuspectTracker
    ) -> None:
        self._app = app
        self._client = client
        self._suspicion = suspicion

    async def async_attempt(self, attempt: Attempt) -> Failure | None:
        """Run a request until it ends or is stopped; return None after a complete response."""
        async with supervise_run(
            app=self._app,
            sink=attempt.sink,
            disconnected=attempt.disconnected,
            remaining_ms=attempt.deadline.remaining_ms(),
            yield_requested=attempt.slot.yield_requested if attempt.may_yield else None,
            max_run_ms=attempt.max_run_ms,
        ):
            failure = await self._async_enter_and_run(attempt)
        return _apply_stop_reason(attempt.sink.stop_reason, failure)

    async def _async_enter_and_run(self, attempt: Attempt) -> Failure | None:
        """Run the request once the isolation gate admits it; suspects run alone."""
        permit = await self._suspicion.async_enter(attempt.request.digest, attempt.sink.cancelled)
        if isinstance(permit, Refused):
            return permit
        run = self._suspicion.start_run(attempt.request)
        attempt.sink.on_write = lambda: self._suspicion.guard.note_received(run)
        complete = False
        try:
            failure = await self._async_run(attempt)
            complete = failure is None
        finally:
            permit.end(complete=complete)
            if complete:
                self._suspicion.guard.note_completed(run)
            self._suspicion.guard.note_ended(run)
        return failure

    async def _async_run(self, attempt: Attempt) -> Failure | None:
        def before_send() -> None:
            denied = attempt.authorize()
            if denied is not None:
                raise HandOverDenied(denied)

        return await self._client.async_run(
            request=attempt.request,
            answer=attempt.sink,
            priority=attempt.slot.priority,
            handed_over=before_send,
        )


def _apply_stop_reason(stop_reason: StopReason | None, failure: Failure | None) -> Failure | None:
    """Replace the reason of an interrupted run by why it was stopped."""
    if failure is None or stop_reason is None or failure.reason not in _INTERRUPTED_REASONS:
        return failure
    reason, message = _describe_stop(stop_reason)
    match failure:
        case Refused():
            return Refused(reason=reason, message=message)
        case Failed():
            return Failed(reason=reason, message=message)


def _describe_stop(stop_reason: StopReason) -> tuple[Reason, str]:
    match stop_reason:
        case StopReason.CALLER_GONE:
            return Reason.CANCELLED, "the caller is gone"
        case StopReason.DEADLINE | StopReason.LIMIT:
            return Reason.DEADLINE, "the time for the request is over"
        case StopReason.YIELD:
            return Reason.CANCELLED, "the work gave way"
