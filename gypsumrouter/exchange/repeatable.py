"""Requests that may be run more than once: cancelled with their caller, and preemptible."""

from __future__ import annotations

from functools import partial

from gypsumrouter.admission import Admission, Slot
from gypsumrouter.core import Application
from gypsumrouter.exchange.deadline import Deadline
from gypsumrouter.exchange.execution import Attempt, Execution
from gypsumrouter.exchange.ports import PrefixTransfers
from gypsumrouter.exchange.sinks import Relay, StopReason
from gypsumrouter.link import Answer
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Failure, Refused


class RepeatableExchange:
    """Runs one repeatable request; a preempted one is queued again."""

    __slots__ = (
        "_admission",
        "_answer",
        "_deadline",
        "_execution",
        "_prefixes",
        "_request",
        "_sent",
    )

    def __init__(
        self,
        *,
        app: Application,
        admission: Admission,
        execution: Execution,
        prefixes: PrefixTransfers,
        request: Open,
        answer: Answer,
    ) -> None:
        self._admission = admission
        self._execution = execution
        self._prefixes = prefixes
        self._request = request
        self._answer = answer
        self._deadline = Deadline(clock=app.clock, request=request)
        self._sent = False

    async def async_run(self) -> Failure | None:
        """Run the request until it ends; return None after a complete response."""
        while True:
            request = self._deadline.update(self._request)
            slot = await self._admission.async_admit(request, self._answer.cancelled)
            if isinstance(slot, Refused):
                return self._make_failure(slot)
            relay = Relay(
                answer=self._answer,
                on_first_body=partial(self._admission.record_first_token, slot),
            )
            try:
                await self._prefixes.async_fetch(request)
                failure = await self._async_attempt(request, slot, relay)
                self._prefixes.record_served(request, complete=failure is None)
            finally:
                self._prefixes.record_run_ended(request)
                slot.release()
            if failure is None:
                relay.flush_head()
                return None
            if relay.stop_reason is not StopReason.YIELD or relay.has_body:
                return self._make_failure(failure)

    async def _async_attempt(self, request: Open, slot: Slot, relay: Relay) -> Failure | None:
        return await self._execution.async_attempt(
            Attempt(
                request=request,
                sink=relay,
                slot=slot,
                deadline=self._deadline,
                disconnected=self._answer.cancelled,
                authorize=self._authorize,
                may_yield=True,
            )
        )

    def _authorize(self) -> Failure | None:
        self._sent = True
        return None

    def _make_failure(self, failure: Failure) -> Failure:
        """Return the failure to report: once an attempt was sent, the request may have run."""
        if not self._sent:
            return failure
        return Failed(
            reason=failure.reason,
            message=failure.message,
            retry_after_ms=failure.retry_after_ms,
        )
