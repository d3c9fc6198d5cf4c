"""Requests that may be run again: cancelled with their caller, and able to give way."""

from __future__ import annotations

from functools import partial

from gypsumrouter.admission import Admission, Slot
from gypsumrouter.core import Application
from gypsumrouter.exchange.deadline import Deadline
from gypsumrouter.exchange.execution import Execution, Try
from gypsumrouter.exchange.ports import PrefixMoves
from gypsumrouter.exchange.sinks import Relay, Stop
from gypsumrouter.link import Answer
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Failure, Refused


class RepeatableExchange:
    """Run one request that may be repeated; work that gave way is admitted again."""

    __slots__ = (
        "_admission",
        "_answer",
        "_deadline",
        "_execution",
        "_handed",
        "_prefixes",
        "_request",
    )

    def __init__(
        self,
        *,
        app: Application,
        admission: Admission,
        execution: Execution,
        prefixes: PrefixMoves,
        request: Open,
        answer: Answer,
    ) -> None:
        self._admission = admission
        self._execution = execution
        self._prefixes = prefixes
        self._request = request
        self._answer = answer
        self._deadline = Deadline(clock=app.clock, request=request)
        self._handed = False

    async def async_run(self) -> Failure | None:
        """Run to the end; None after a whole answer."""
        while True:
            request = self._deadline.update(self._request)
            slot = await self._admission.async_admit(request, self._answer.cancelled)
            if isinstance(slot, Refused):
                return self._tell(slot)
            relay = Relay(
                answer=self._answer,
                on_first_body=partial(self._admission.record_first_token, slot),
            )
            try:
                await self._prefixes.async_fetch(request)
                failure = await self._async_try(request, slot, relay)
                self._prefixes.note_served(request, whole=failure is None)
            finally:
                self._prefixes.note_ended(request)
                slot.release()
            if failure is None:
                relay.flush()
                return None
            if relay.stop is not Stop.YIELD or relay.has_body:
                return self._tell(failure)

    async def _async_try(self, request: Open, slot: Slot, relay: Relay) -> Failure | None:
        return await self._execution.async_try(
            Try(
                request=request,
                sink=relay,
                slot=slot,
                deadline=self._deadline,
                gone=self._answer.cancelled,
                allow=self._allow,
                may_yield=True,
            )
        )

    def _allow(self) -> Failure | None:
        self._handed = True
        return None

    def _tell(self, failure: Failure) -> Failure:
        """Return the failure as it may be told: work that gave way has run in part."""
        if not self._handed:
            return failure
        return Failed(
            reason=failure.reason,
            message=failure.message,
            retry_after_ms=failure.retry_after_ms,
        )
