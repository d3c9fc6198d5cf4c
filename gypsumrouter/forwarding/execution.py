"""Forwarding of one request: attempts at upstreams until one responds or no retry is allowed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web
from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.contention import Refused
from gypsumrouter.core import Application
from gypsumrouter.crashes.guard import CrashGuard
from gypsumrouter.forwarding.attempt import Attempt, make_attempt_options
from gypsumrouter.forwarding.budget import RetryBudget
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.endings import RequestEndings
from gypsumrouter.forwarding.models import (
    AttemptOptions,
    CallerRequest,
    CompleteResponse,
    Dialect,
    Outcome,
    Rejected,
    ResponseLost,
    StreamingResponse,
    Unreachable,
    Withheld,
    make_subjects,
)
from gypsumrouter.forwarding.next_step import (
    Continuation,
    Decision,
    NextStep,
    RetryLimits,
    check_fits,
    decide_after_failed_run,
    decide_continuation,
    decide_next_step,
)
from gypsumrouter.forwarding.outcome_recorder import OutcomeRecorder, RunObserver
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.progress import OUTCOME_ANSWERED, Progress, TimeLimits
from gypsumrouter.forwarding.relay import Relay, RelayResult
from gypsumrouter.forwarding.request_contention import ContentionContext, RequestContention
from gypsumrouter.forwarding.request_journal import RequestJournal
from gypsumrouter.forwarding.stream_pin import StreamPin
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import RouteMatch
from gypsumrouter.streams import StreamOrigin, StreamOrigins


class ForwardingContext(Struct, frozen=True, kw_only=True):
    """Components that all requests of a forwarder share; `without` are disabled mechanisms."""

    app: Application
    journal: Journal
    dialect: Dialect
    placer: Placer
    pool: ConnectionPool
    budget: RetryBudget
    suspects: CrashGuard
    streams: StreamOrigins
    contention: ContentionContext = ContentionContext()
    without: frozenset[Mechanism] = frozenset()


class RequestExecution:
    """Forwards one request, with retries on other upstreams."""

    __slots__ = (
        "_contention",
        "_context",
        "_endings",
        "_limits",
        "_may_start",
        "_recorder",
        "_relay",
        "_request",
        "_request_journal",
        "_routed",
        "_runs",
        "_sent_ms",
        "_service",
        "_stream",
        "progress",
    )

    def __init__(
        self,
        *,
        context: ForwardingContext,
        request: CallerRequest,
        routed: RouteMatch,
        service: str,
        web_request: web.BaseRequest,
        progress: Progress,
        close_connection: Callable[[], bool],
        may_start: Callable[[int, str], bool],
        request_journal: RequestJournal,
        origin: StreamOrigin | None = None,
    ) -> None:
        self._context = context
        self._request = request
        self._routed = routed
        self._service = service
        self._request_journal = request_journal
        self._may_start = may_start
        subjects = make_subjects(request, workspace=routed.workspace)
        self._runs = RunObserver(
            guard=context.suspects,
            placer=context.placer,
            request_id=request.request_id,
            subjects=subjects,
            enabled=Mechanism.SUSPECTS not in context.without,
        )
        self.progress = progress
        self._sent_ms = progress.arrived_ms
        self._limits = TimeLimits(clock=context.app.clock, route=routed.route, progress=progress)
        self._contention = RequestContention(
            context=context.contention,
            clock=context.app.clock,
            placer=context.placer,
            request=request,
            routed=routed,
            service=service,
            digest=subjects.digest,
            progress=progress,
        )
        self._recorder = OutcomeRecorder(
            clock=context.app.clock,
            placer=context.placer,
            pool=context.pool,
            suspects=context.suspects,
            progress=progress,
        )
        self._stream = StreamPin(
            streams=context.streams, request=request, route=routed.route, origin=origin
        )
        self._relay = Relay(
            web_request=web_request,
            request=request,
            route=routed.route,
            dialect=context.dialect,
            clock=context.app.clock,
            progress=progress,
            close_connection=close_connection,
            on_begun=self._stream.note_begun,
            on_received=self._note_received,
        )
        self._endings = RequestEndings(
            app=context.app,
            dialect=context.dialect,
            suspects=context.suspects,
            request=request,
            web_request=web_request,
            progress=progress,
            limits=self._limits,
            contention=self._contention,
            relay=self._relay,
            request_journal=request_journal,
        )

    async def async_run(self) -> web.StreamResponse:
        """Return the response; a streamed one has already been written."""
        self._context.budget.note_request(self._service)
        self._contention.note_arrival()
        try:
            async with asyncio.timeout(max(0, self._limits.remaining_ms) / MS_PER_S):
                response = await self._async_run_attempts()
        except TimeoutError:
            response = self._endings.end_at_deadline()
        self._contention.note_served()
        return response

    async def _async_run_attempts(self) -> web.StreamResponse:
        while True:
            verdict = self._runs.find_verdict()
            if verdict is not None:
                return self._endings.refuse_suspect(verdict)
            if self.progress.attempts == 0:
                refusal = await self._async_admit()
                if refusal is not None:
                    return refusal
            placement = self._context.placer.place(
                service=self._service,
                prompt=self._request.prompt,
                excluded=self.progress.excluded_upstreams,
                limit_ms=self._limits.target_ms,
                needed_permits=self._contention.get_needed_permits(),
                version=self._stream.version,
            )
            if isinstance(placement, PlacementRefusal):
                return self._endings.refuse(
                    placement.reason, placement.message, placement.not_before_ms
                )
            if not self._may_run_at(placement):
                return self._endings.refuse(Reason.LEAVING, "This router is stopping")
            response = await self._async_attempt(placement)
            if response is not None:
                return response

    def _may_run_at(self, placement: Placement) -> bool:
        """Return whether a request that has not run yet may begin at an upstream."""
        if self.progress.possibly_ran_on or self._relay.response is not None:
            return True
        return self._may_start(self._limits.remaining_ms, placement.entry.incarnation)

    async def _async_admit(self) -> web.StreamResponse | None:
        """Wait for capacity under contention; return the refusal, None if it may be sent."""
        outcome = await self._contention.async_admit(remaining_ms=self._limits.remaining_ms)
        if isinstance(outcome, Refused):
            return self._endings.refuse(
                outcome.reason, outcome.message, outcome.room_in_ms, outcome.excess
            )
        if self._limits.remaining_ms <= 0:
            # The process may have been suspended after the release.
            return self._endings.refuse(Reason.DEADLINE, "No upstream had time for the request")
        return None

    async def _async_attempt(self, placement: Placement) -> web.StreamResponse | None:
        """Make one attempt; return the response, or None if another attempt is to be made."""
        progress = self.progress
        progress.attempts += 1
        self._contention.note_attempt()
        progress.upstream = placement.entry.incarnation
        loads = self._context.placer.loads
        peers_age_ms = loads.get_oldest_peer_age_ms(now_ms=self._now_ms())
        self._request_journal.record_placed(
            placement, attempt=progress.attempts, peers_age_ms=peers_age_ms
        )
        attempt = Attempt(
            pool=self._context.pool,
            dialect=self._context.dialect,
            request=self._request,
            options=self._make_attempt_options(placement),
            entry=placement.entry,
            on_head=self._runs.handle_head,
        )
        self._stream.attempt = attempt
        started_ms = self._now_ms()
        outcome: Outcome | None = None
        step = "given up"
        sent = self._context.placer.note_sent(placement, self._request.prompt)
        self._contention.notify_load_changed()
        try:
            outcome = await self._async_send(attempt)
            self._context.placer.note_prefilled(sent)
            elapsed_ms = self._now_ms() - started_ms
            self._recorder.record_service_time(
                placement, outcome, prompt=self._request.prompt, elapsed_ms=elapsed_ms
            )
            if isinstance(outcome, StreamingResponse):
                self._context.placer.note_first_event(sent)
                self._contention.notify_load_changed()
            if isinstance(outcome, Withheld | Unreachable | Rejected):
                self._context.placer.note_not_run(sent)
                self._runs.end(ran=False)
            response, step = await self._async_decide(attempt, outcome)
        finally:
            attempt.close()
            self._runs.end(ran=True)
            self._contention.note_attempt_ended(outcome)
            self._context.placer.note_ended(sent, held_ms=self._now_ms() - started_ms)
            self._contention.notify_load_changed()
            self._request_journal.record_ended(
                attempt,
                outcome,
                number=progress.attempts,
                after_ms=self._now_ms() - started_ms,
                step=step,
            )
        progress.in_flight = False
        return response

    async def _async_send(self, attempt: Attempt) -> Outcome:
        failed = await attempt.async_connect(
            repeatable=self._routed.route.repeatable, start_check=self._stream.start_check
        )
        if failed is not None:
            return failed
        verdict = self._runs.find_verdict()
        if verdict is not None:
            return Withheld(verdict=verdict)
        self._runs.start(attempt.entry.incarnation)
        self._sent_ms = self._now_ms()
        self._request_journal.record_sent(
            attempt,
            number=self.progress.attempts,
            list_age_ms=self._context.streams.versions.list_age_ms,
        )
        self.progress.in_flight = True
        return await attempt.async_send(response_timeout_ms=self._get_response_timeout_ms())

    async def _async_decide(
        self, attempt: Attempt, outcome: Outcome
    ) -> tuple[web.StreamResponse | None, str]:
        """Return the response, or None for another attempt, and the next step."""
        if isinstance(outcome, Withheld):
            return self._endings.refuse_suspect(outcome.verdict), NextStep.REFUSE.value
        if isinstance(outcome, CompleteResponse):
            self._runs.note_received()
        outcome = check_fits(outcome, self._relay.sent)
        if isinstance(outcome, StreamingResponse):
            decision = await self._async_relay_stream(attempt, outcome)
        else:
            if isinstance(outcome, ResponseLost) and outcome.connection_broken:
                self._record_broken(attempt)
            self._recorder.record(attempt, outcome)
            decision = decide_next_step(outcome, self.progress, self._get_retry_limits())
        return self._apply(decision, outcome), decision.step.value

    async def _async_relay_stream(self, attempt: Attempt, outcome: StreamingResponse) -> Decision:
        """Relay a streamed response and return the next step."""
        upstream = attempt.entry.incarnation
        if self._relay.last_event_id is not None:
            self._request_journal.record_resumed(upstream, last_event_id=self._relay.last_event_id)
        try:
            end = await self._relay.async_relay(outcome)
        except BaseException:
            # The caller left, or the deadline has passed.
            self._stream.note_ended(complete=False)
            raise
        self._request_journal.record_stream_ended(
            upstream,
            end=end,
            streaming=outcome,
            progress=self.progress,
            last_event_id=self._relay.last_event_id,
        )
        self._stream.note_ended(complete=end.result is RelayResult.COMPLETE)
        if end.result is RelayResult.COMPLETE:
            self._recorder.record_success(upstream)
            self._runs.note_completed()
            # Engines send an event for each token.
            self._context.placer.uneven_load.note_output(
                self._request.prompt, tokens=self.progress.events
            )
            attempt.release()
            return Decision(step=NextStep.RESPOND)
        message = f"stream {end.result.value}"
        broken = end.result is RelayResult.BROKEN
        if broken:
            self._record_broken(attempt)
        self._recorder.record_lost(upstream, ResponseLost(reason=message, connection_broken=broken))
        attempt.close()
        await self._stream.async_settle()
        limits = self._get_retry_limits()
        retry_step = NextStep.RETRY if self._relay.sent is None else NextStep.RESUME
        return decide_after_failed_run(
            self.progress, limits, retry_step=retry_step, message=message
        )

    def _note_received(self) -> None:
        self._runs.note_received()
        self._stream.note_received(self._now_ms())

    def _record_broken(self, attempt: Attempt) -> None:
        self._request_journal.record_broken(
            attempt, events=self.progress.events, after_ms=self._now_ms() - self._sent_ms
        )

    def _apply(self, decision: Decision, outcome: Outcome) -> web.StreamResponse | None:
        match decision.step:
            case NextStep.SEND_ELSEWHERE | NextStep.RETRY | NextStep.RESUME:
                return None
            case NextStep.REFUSE:
                return self._endings.refuse(decision.reason, decision.message)
            case NextStep.FAIL:
                return self._endings.fail(decision.message)
            case NextStep.RESPOND if isinstance(outcome, CompleteResponse):
                return self._endings.respond(outcome)
            case NextStep.RESPOND:
                self.progress.outcome = OUTCOME_ANSWERED
                return self._relay.response

    def _get_retry_limits(self) -> RetryLimits:
        continuation = decide_continuation(
            self._routed.route, self._relay.sent, version_proven=self._stream.is_proven
        )
        if Mechanism.RETRIES in self._context.without:
            continuation = Continuation.NEVER
        return RetryLimits(
            repeatable=continuation is not Continuation.NEVER,
            max_attempts=self._routed.route.max_attempts,
            remaining_ms=self._limits.remaining_ms,
            acquire_retry=self._acquire_retry,
        )

    def _acquire_retry(self) -> bool:
        """Take a retry from the budget; return whether there was one."""
        budget = self._context.budget
        usage = budget.get_usage(self._service)
        granted = budget.try_acquire(self._service)
        self._request_journal.record_retry_decided(usage, granted=granted)
        return granted

    def _get_response_timeout_ms(self) -> int | None:
        if Mechanism.RESPONSE_TIMEOUT in self._context.without:
            return None
        return self._limits.response_timeout_ms

    def _make_attempt_options(self, placement: Placement) -> AttemptOptions:
        return make_attempt_options(
            placement,
            request=self._request,
            routed=self._routed,
            remaining_ms=self._limits.remaining_ms,
            last_event_id=self._relay.last_event_id,
            prioritized=Mechanism.PRIORITIES not in self._context.without,
        )

    def _now_ms(self) -> int:
        return self._context.app.clock.now_ms()
