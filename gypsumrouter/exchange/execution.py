"""One try of a request at the upstream, under supervision."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from gypsumrouter.admission import Slot
from gypsumrouter.core import Application
from gypsumrouter.exchange.deadline import Deadline
from gypsumrouter.exchange.sinks import Recorder, Relay, Stop
from gypsumrouter.exchange.supervision import supervise_run
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.suspicion import Suspicion
from gypsumrouter.upstream import HandOverDenied, UpstreamClient

_STOPPED = frozenset({Reason.CANCELLED, Reason.SUSPECT_ISOLATED})


class Try(Struct, frozen=True, kw_only=True):
    """What belongs to one try: the request, where its answer goes and what may stop it.

    `allow` is asked right before the first byte is sent; a failure that it returns forbids it.
    """

    request: Open
    sink: Relay | Recorder
    slot: Slot
    deadline: Deadline
    gone: asyncio.Event
    allow: Callable[[], Failure | None]
    may_yield: bool = False
    limit_ms: int | None = None


class Execution:
    """Run admitted requests at the upstream."""

    __slots__ = ("_app", "_client", "_suspicion")

    def __init__(self, *, app: Application, client: UpstreamClient, suspicion: Suspicion) -> None:
        self._app = app
        self._client = client
        self._suspicion = suspicion

    async def async_try(self, attempt: Try) -> Failure | None:
        """Run a request to its end or until it is stopped; None after a whole answer."""
        async with supervise_run(
            app=self._app,
            sink=attempt.sink,
            gone=attempt.gone,
            left_ms=attempt.deadline.left_ms(),
            yield_asked=attempt.slot.yield_requested if attempt.may_yield else None,
            limit_ms=attempt.limit_ms,
        ):
            failure = await self._async_isolate(attempt)
        return _explain(attempt.sink.stop, failure)

    async def _async_isolate(self, attempt: Try) -> Failure | None:
        """Run once the request may: a suspected one alone, all others together."""
        token = await self._suspicion.async_enter(attempt.request.digest, attempt.sink.cancelled)
        if isinstance(token, Refused):
            return token
        whole = False
        try:
            failure = await self._async_run(attempt)
            whole = failure is None
        finally:
            token.end(whole=whole)
        return failure

    async def _async_run(self, attempt: Try) -> Failure | None:
        def hand_over() -> None:
            denied = attempt.allow()
            if denied is not None:
                raise HandOverDenied(denied)

        return await self._client.async_run(
            request=attempt.request,
            answer=attempt.sink,
            priority=attempt.slot.priority,
            handed_over=hand_over,
        )


def _explain(stop: Stop | None, failure: Failure | None) -> Failure | None:
    """Return the failure with the reason for which the run was stopped."""
    if failure is None or stop is None or failure.reason not in _STOPPED:
        return failure
    reason, message = _name(stop)
    match failure:
        case Refused():
            return Refused(reason=reason, message=message)
        case Failed():
            return Failed(reason=reason, message=message)


def _name(stop: Stop) -> tuple[Reason, str]:
    match stop:
        case Stop.CALLER_GONE:
            return Reason.CANCELLED, "the caller is gone"
        case Stop.DEADLINE | Stop.LIMIT:
            return Reason.DEADLINE, "the time for the request is over"
        case Stop.YIELD:
            return Reason.CANCELLED, "the work gave way"
