"""Dispatch of one request: attempts at one instance after another, within the retry limits."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from gypsumrouter.core import Application
from gypsumrouter.gateway.attempts import Attempts
from gypsumrouter.gateway.budget import RetryBudget
from gypsumrouter.gateway.candidates import Candidate, CandidateFinder
from gypsumrouter.gateway.const import MAX_LOST_UPSTREAMS, MAX_REDIRECTS
from gypsumrouter.gateway.metrics import GatewayMetrics
from gypsumrouter.gateway.models import Call
from gypsumrouter.gateway.reply import Reply
from gypsumrouter.link.models import Data, End, Head, Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.placement import Placement
from gypsumrouter.suspicion import Suspect, SuspectTracker

if TYPE_CHECKING:
    from gypsumrouter.link import Exchange, LinkPool

_LOGGER = logging.getLogger(__name__)

# The deadline has passed or the caller has disconnected.
NON_RETRYABLE_REASONS: Final = frozenset({Reason.DEADLINE, Reason.CANCELLED})


class Dispatcher:
    """Sends requests to instances until one answers or no further attempt is allowed."""

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
        suspicion: SuspectTracker,
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
        """Try one instance after another; return None after a complete answer."""
        self._budget.record_request()
        candidates = self._finder.find(call)
        while True:
            if self._app.clock.now_ms() >= call.deadline_at_ms:
                return attempts.get_deadline_failure()
            verdict = self._suspicion.check(call.digest)
            if isinstance(verdict, Refused):
                return attempts.failed or verdict
            refused = self._suspicion.check_parts(
                request_id=call.request_id,
                workspace=call.workspace.name,
                digest=call.digest,
                parts=call.parts,
            )
            if refused is not None:
                return attempts.failed or refused
            suspect = isinstance(verdict, Suspect)
            candidate = candidates.pop(suspect=suspect)
            if candidate is None or not self._may_attempt(attempts):
                return attempts.get_final_failure()
            failure = await self._async_attempt(call, reply, attempts, candidate, suspect)
            if failure is None:
                self._placement.record_served(candidate.query, candidate.instance)
                return None
            attempts.record_failure(failure)
            if not self._may_retry(call, reply, attempts, failure):
                return attempts.get_final_failure()
            reply.discard()

    def _may_attempt(self, attempts: Attempts) -> bool:
        """Return whether an attempt may start; after a failure it takes a retry from the budget."""
        if not isinstance(attempts.last_failure, Failed):
            return True
        if not self._budget.try_acquire():
            return False
        self._metrics.record_retry(attempts.last_failure.reason)
        return True

    async def _async_attempt(
        self, call: Call, reply: Reply, attempts: Attempts, candidate: Candidate, suspect: bool
    ) -> Failure | None:
        instance = candidate.instance
        attempts.record_start(instance.name)
        if suspect:
            await self._async_send_implications(call, candidate)
        request = self._make_open(call, attempts, candidate)
        opened = await self._links.async_open(instance=instance, request=request)
        if isinstance(opened, Refused):
            return opened
        try:
            failure = await self._async_relay(call, reply, candidate, opened)
        except BaseException:
            # The caller disconnected or the deadline passed: stop the work at the instance.
            opened.cancel()
            raise
        if failure is not None:
            _LOGGER.debug(
                "Request %s failed at instance %s: %s",
                call.request_id,
                instance.name,
                failure.reason,
            )
        return failure

    async def _async_send_implications(self, call: Call, candidate: Candidate) -> None:
        """Send the recorded crashes (implications) of a suspect request ahead of it."""
        for implication in self._suspicion.list_implications(call.digest):
            await self._links.async_send(instance=candidate.instance, notice=implication)

    async def _async_relay(
        self, call: Call, reply: Reply, candidate: Candidate, exchange: Exchange
    ) -> Failure | None:
        head_received = False
        while True:
            match await exchange.async_next():
                case Data(offset=offset, body=body):
                    await reply.async_write(body)
                    exchange.confirm(offset + len(body))
                case Head() as head:
                    hint = self._placement.make_hint(candidate.instance)
                    if not reply.start(head=head, hint=hint, buffers_events=call.stream):
                        exchange.cancel()
                        return Failed(reason=Reason.UPSTREAM_PROTOCOL)
                    head_received = True
                    exchange.set_consumer(reply.write_nowait)
                case End():
                    if not head_received:
                        return Failed(reason=Reason.CORRUPTED)
                    if reply.inside_event:
                        return Failed(reason=Reason.UPSTREAM_PROTOCOL)
                    await reply.async_finish()
                    return None
                case Refused(reason=reason) if head_received:
                    # The answer had started, so the request did run.
                    return Failed(reason=reason)
                case Refused() | Failed() as failure:
                    return failure

    def _may_retry(self, call: Call, reply: Reply, attempts: Attempts, failure: Failure) -> bool:
        match failure:
            case Refused(elsewhere=elsewhere, reason=reason):
                self._metrics.record_redirect(reason)
                return elsewhere and len(attempts.refusals) <= MAX_REDIRECTS
            case Failed(reason=reason):
                if reply.sent or not call.repeatable or reason in NON_RETRYABLE_REASONS:
                    return False
                return (
                    attempts.failures < self._max_attempts
                    and attempts.lost_upstreams < MAX_LOST_UPSTREAMS
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
            parts=call.parts,
        )
