"""Tries of one request: at which instances, in which order, and when there is no further one."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from gypsumrouter.core import Application
from gypsumrouter.gateway.attempts import Attempts
from gypsumrouter.gateway.budget import RetryBudget
from gypsumrouter.gateway.candidates import Candidate, CandidateFinder
from gypsumrouter.gateway.const import MAX_REDIRECTS, MAX_UPSTREAMS_LOST
from gypsumrouter.gateway.metrics import GatewayMetrics
from gypsumrouter.gateway.models import Call
from gypsumrouter.gateway.reply import Reply
from gypsumrouter.link.models import Data, End, Head, Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.placement import Placement
from gypsumrouter.suspicion import Suspect, Suspicion

if TYPE_CHECKING:
    from gypsumrouter.link import Exchange, LinkPool

_LOGGER = logging.getLogger(__name__)

# Another try cannot help: the time is over, or the caller is gone.
FINAL_REASONS: Final = frozenset({Reason.DEADLINE, Reason.CANCELLED})


class Dispatcher:
    """Gives requests to sides until one answers or no further try is allowed."""

    __slots__ = (
        "_app",
        "_budget",
        "_finder",
        "_links",
        "_max_attempts",
        "_metrics",
        "_placement",
        "_suspicion",
    )

    def __init__(
        self,
        *,
        app: Application,
        links: LinkPool,
        placement: Placement,
        suspicion: Suspicion,
        finder: CandidateFinder,
        metrics: GatewayMetrics,
        budget: RetryBudget,
        max_attempts: int,
    ) -> None:
        self._app = app
        self._links = links
        self._placement = placement
        self._suspicion = suspicion
        self._finder = finder
        self._metrics = metrics
        self._budget = budget
        self._max_attempts = max_attempts

    async def async_run(self, *, call: Call, reply: Reply, attempts: Attempts) -> Failure | None:
        """Try instance after instance; returns None after a whole answer."""
        self._budget.note_request()
        candidates = self._finder.find(call)
        while True:
            if self._app.clock.now_ms() >= call.deadline_at_ms:
                return attempts.conclude_at_deadline()
            verdict = self._suspicion.check(call.digest)
            if isinstance(verdict, Refused):
                return attempts.failed or verdict
            suspect = isinstance(verdict, Suspect)
            candidate = candidates.take(suspect=suspect)
            if candidate is None or not self._may_start(attempts):
                return attempts.conclude()
            failure = await self._async_try(call, reply, attempts, candidate, suspect)
            if failure is None:
                self._placement.record_served(candidate.query, candidate.instance)
                return None
            attempts.note_failure(failure)
            if not self._may_go_on(call, reply, attempts, failure):
                return attempts.conclude()
            reply.discard()

    def _may_start(self, attempts: Attempts) -> bool:
        """Return whether the try is paid for: only one after a failure costs anything."""
        if not isinstance(attempts.last, Failed):
            return True
        if not self._budget.take():
            return False
        self._metrics.note_retry(attempts.last.reason)
        return True

    async def _async_try(
        self, call: Call, reply: Reply, attempts: Attempts, candidate: Candidate, suspect: bool
    ) -> Failure | None:
        instance = candidate.instance
        attempts.note_try(instance.name)
        if suspect:
            await self._async_warn(call, candidate)
        request = self._make_open(call, attempts, candidate)
        opened = await self._links.async_open(instance=instance, request=request)
        if isinstance(opened, Refused):
            return opened
        try:
            failure = await self._async_relay(call, reply, candidate, opened)
        except BaseException:
            # The caller is gone or its time is over: the work must not go on for nobody.
            opened.cancel()
            raise
        if failure is not None:
            _LOGGER.debug(
                "Request %s failed at %s: %s", call.request_id, instance.name, failure.reason
            )
        return failure

    async def _async_warn(self, call: Call, candidate: Candidate) -> None:
        """Tell a side what is known of a suspect before the request itself reaches it."""
        for news in self._suspicion.list_news(call.digest):
            await self._links.async_send(instance=candidate.instance, notice=news)

    async def _async_relay(
        self, call: Call, reply: Reply, candidate: Candidate, exchange: Exchange
    ) -> Failure | None:
        begun = False
        while True:
            match await exchange.async_next():
                case Data(offset=offset, body=body):
                    await reply.async_take(body)
                    exchange.confirm(offset + len(body))
                case Head() as head:
                    hint = self._placement.make_hint(candidate.instance)
                    if not reply.begin(head=head, hint=hint, cuts_events=call.stream):
                        exchange.cancel()
                        return Failed(reason=Reason.UPSTREAM_PROTOCOL)
                    begun = True
                    exchange.set_consumer(reply.take_now)
                case End():
                    if not begun:
                        return Failed(reason=Reason.CORRUPTED)
                    await reply.async_finish()
                    return None
                case Refused(reason=reason) if begun:
                    # An answer had begun, so the request ran whatever the side says now.
                    return Failed(reason=reason)
                case Refused() | Failed() as failure:
                    return failure

    def _may_go_on(self, call: Call, reply: Reply, attempts: Attempts, failure: Failure) -> bool:
        match failure:
            case Refused(elsewhere=elsewhere, reason=reason):
                self._metrics.note_redirect(reason)
                return elsewhere and len(attempts.refusals) <= MAX_REDIRECTS
            case Failed(reason=reason):
                if reply.sent or not call.repeatable or reason in FINAL_REASONS:
                    return False
                return (
                    attempts.given < self._max_attempts
                    and attempts.upstreams_lost < MAX_UPSTREAMS_LOST
                )

    def _make_open(self, call: Call, attempts: Attempts, candidate: Candidate) -> Open:
        now_ms = self._app.clock.now_ms()
        return Open(
            sequence=0,
            request_id=call.request_id,
            kind=call.target.kind,
            pool=candidate.pool.name,
            workspace=call.workspace.name,
            caller_class=call.caller_class.name,
            method=call.target.method,
            path=call.target.path,
            headers=call.headers,
            body=call.body,
            stream=call.stream,
            deadline_ms=max(1, call.deadline_at_ms - now_ms),
            waited_ms=now_ms - call.arrived_ms,
            digest=call.digest,
            model=call.target.model,
            chat=call.chat,
            returning=call.returning,
            idempotency_key=call.idempotency_key,
            attempt=len(attempts.tried),
            prompt_bytes=len(call.body),
            max_output_tokens=call.max_output_tokens,
            configuration_version=call.configuration_version,
            pool_load=self._placement.pool_load(candidate.pool),
            holders=candidate.holders,
        )
