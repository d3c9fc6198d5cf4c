"""The way of one request: attempts at upstreams until one answers or none may be asked."""

from __future__ import annotations

import asyncio

from aiohttp import web
from msgspec import Struct

from gypsumrouter.callers import abort_connection
from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.forwarding.answers import make_answer, make_failure, make_refusal
from gypsumrouter.forwarding.attempt import Attempt
from gypsumrouter.forwarding.budget import RetryBudget
from gypsumrouter.forwarding.connections import UpstreamConnections
from gypsumrouter.forwarding.const import (
    ANSWER_MARGIN_MS,
    MIN_SILENCE_MS,
    RETURN_MS,
    SILENCE_FACTOR,
)
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.models import (
    Begun,
    CallerRequest,
    Dialect,
    Lost,
    NotReached,
    Outcome,
    Sending,
    TurnedAway,
    Whole,
)
from gypsumrouter.forwarding.next_step import (
    STATUS_SERVER_ERROR,
    Allowance,
    Decision,
    NextStep,
    decide,
    decide_after_run,
)
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.forwarding.relay import Relay, RelayEnd
from gypsumrouter.forwarding.story import RequestStory
from gypsumrouter.forwarding.suspects import SuspectTracker, make_digest
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import Routed


class RunParts(Struct, frozen=True, kw_only=True):
    """What all requests of a forwarder share."""

    app: Application
    journal: Journal
    dialect: Dialect
    placer: Placer
    connections: UpstreamConnections
    budget: RetryBudget
    suspects: SuspectTracker
    without: frozenset[Mechanism] = frozenset()


class RequestRun:
    """One request of one caller."""

    __slots__ = (
        "_digest",
        "_parts",
        "_relay",
        "_request",
        "_routed",
        "_service",
        "_story",
        "_web_request",
        "progress",
    )

    def __init__(
        self,
        *,
        parts: RunParts,
        request: CallerRequest,
        routed: Routed,
        service: str,
        web_request: web.BaseRequest,
        progress: Progress,
        closes: bool,
        story: RequestStory,
    ) -> None:
        self._parts = parts
        self._request = request
        self._routed = routed
        self._service = service
        self._web_request = web_request
        self._story = story
        self._digest = make_digest(request)
        self.progress = progress
        self._relay = Relay(
            web_request=web_request,
            request=request,
            route=routed.route,
            dialect=parts.dialect,
            clock=parts.app.clock,
            progress=progress,
            closes=closes,
        )

    async def async_run(self) -> web.StreamResponse:
        """Return the answer, which a stream has already written."""
        self._parts.budget.note_request(self._service)
        try:
            async with asyncio.timeout(max(0, self._left_ms()) / MS_PER_S):
                return await self._async_try()
        except TimeoutError:
            return self._end_late()

    async def _async_try(self) -> web.StreamResponse:
        while True:
            if self._is_suspect():
                message = "Upstreams broke off while they ran the same request"
                return self._give_up(Reason.SUSPECT_ISOLATED, message)
            placed = self._parts.placer.place(
                service=self._service,
                prompt=self._request.prompt,
                excluded=self.progress.passed_over,
                limit_ms=self._get_limit_ms(),
            )
            if isinstance(placed, PlacementRefusal):
                return self._give_up(placed.reason, placed.message, placed.not_before_ms)
            response = await self._async_attempt(placed)
            if response is not None:
                return response

    async def _async_attempt(self, placed: Placement) -> web.StreamResponse | None:
        """Try one upstream; None asks for another one."""
        progress = self.progress
        progress.attempts += 1
        progress.upstream = placed.entry.incarnation
        loads = self._parts.placer.loads
        peers_age_ms = loads.get_oldest_peer_age_ms(now_ms=self._now_ms())
        self._story.note_placed(placed, attempt=progress.attempts, peers_age_ms=peers_age_ms)
        attempt = Attempt(
            connections=self._parts.connections,
            dialect=self._parts.dialect,
            request=self._request,
            sending=self._make_sending(placed),
            entry=placed.entry,
            take_words=self._parts.placer.apply_answer_facts,
        )
        started_ms = self._now_ms()
        outcome: Outcome | None = None
        step = "given up"
        sent = self._parts.placer.note_sent(placed, self._request.prompt)
        try:
            outcome = await self._async_send(attempt)
            self._parts.placer.note_prefilled(sent)
            self._note_time(placed, outcome, self._now_ms() - started_ms)
            if isinstance(outcome, Begun):
                self._parts.placer.note_first_event(sent)
            if isinstance(outcome, NotReached | TurnedAway):
                self._parts.placer.note_not_run(sent)
            response, step = await self._async_decide(attempt, outcome)
        finally:
            attempt.close()
            self._parts.placer.loads.end(placed.entry.incarnation)
            self._story.note_ended(
                attempt,
                outcome,
                number=progress.attempts,
                after_ms=self._now_ms() - started_ms,
                step=step,
            )
        progress.in_doubt = False
        return response

    def _note_time(self, placed: Placement, outcome: Outcome, elapsed_ms: int) -> None:
        """Learn how long a plain upstream takes."""
        if self._request.prompt is not None or not isinstance(outcome, Whole):
            return
        if outcome.status < STATUS_SERVER_ERROR:
            self._parts.placer.plain.note_answered(placed, elapsed_ms=elapsed_ms)

    async def _async_send(self, attempt: Attempt) -> Outcome:
        failed = await attempt.async_connect(repeatable=self._routed.route.repeatable)
        if failed is not None:
            return failed
        self._story.note_sent(attempt, number=self.progress.attempts)
        self.progress.in_doubt = True
        return await attempt.async_send(silence_ms=self._get_silence_ms())

    async def _async_decide(
        self, attempt: Attempt, outcome: Outcome
    ) -> tuple[web.StreamResponse | None, str]:
        """Return the answer, or None and why another upstream is asked."""
        if isinstance(outcome, Begun):
            decision = await self._async_relay(attempt, outcome)
        else:
            outcome = self._note(attempt, outcome)
            decision = decide(outcome, self.progress, self._get_allowance())
        return self._carry_out(decision, outcome), decision.step.value

    def _note(
        self, attempt: Attempt, outcome: NotReached | TurnedAway | Lost | Whole
    ) -> NotReached | TurnedAway | Lost | Whole:
        """Count an attempt and learn from it; return what it means for the request."""
        upstream = attempt.entry.incarnation
        match outcome:
            case NotReached(reason=reason, refused=refused):
                self._parts.placer.note_unreachable(attempt.entry, reason=reason, refused=refused)
                self._parts.connections.forget(upstream)
                self.progress.not_reached += 1
                self.progress.passed_over.add(upstream)
            case TurnedAway():
                self._note_turned_away(upstream, outcome)
            case Lost():
                self._note_lost(upstream, outcome)
            case Whole(status=status) if self._relay.response is not None:
                outcome = Lost(reason=f"status {status}")
                self._note_lost(upstream, outcome)
            case Whole(status=status) if status < STATUS_SERVER_ERROR:
                self._note_good(upstream)
            case Whole(status=status):
                self._parts.placer.health.note_failure(upstream, reason=f"status {status}")
                self.progress.kept_answer = outcome
                self._note_ran(upstream)
        return outcome

    def _note_turned_away(self, upstream: str, outcome: TurnedAway) -> None:
        if outcome.stranger:
            self._parts.placer.health.note_unreachable(upstream, reason="another upstream is there")
        else:
            self._parts.placer.health.note_failure(upstream, reason="turned away")
        self.progress.turned_away += 1
        self.progress.passed_over.add(upstream)

    def _note_lost(self, upstream: str, outcome: Lost) -> None:
        self._parts.placer.health.note_failure(upstream, reason=outcome.reason)
        if outcome.broken:
            self._parts.suspects.note_crash(self._digest, upstream)
        self._note_ran(upstream)

    def _note_good(self, upstream: str) -> None:
        self._parts.placer.health.note_success(upstream)
        self._parts.suspects.note_success(self._digest)

    def _note_ran(self, upstream: str) -> None:
        self.progress.ran_on.append(upstream)
        self.progress.passed_over.add(upstream)

    async def _async_relay(self, attempt: Attempt, outcome: Begun) -> Decision:
        """Pass a stream on, and return whether it may go on elsewhere where it broke off."""
        upstream = attempt.entry.incarnation
        if self._relay.last_id is not None:
            self._story.note_resumed(upstream, last_id=self._relay.last_id)
        end = await self._relay.async_pass_on(outcome)
        if end is RelayEnd.WHOLE:
            self._note_good(upstream)
            attempt.finish()
            return Decision(step=NextStep.ANSWER)
        message = f"stream {end.value}"
        self._note_lost(upstream, Lost(reason=message, broken=end is RelayEnd.BROKEN))
        attempt.close()
        allowance = self._get_allowance()
        return decide_after_run(self.progress, allowance, again=NextStep.RESUME, message=message)

    def _carry_out(self, decision: Decision, outcome: Outcome) -> web.StreamResponse | None:
        match decision.step:
            case NextStep.ELSEWHERE | NextStep.RUN_AGAIN | NextStep.RESUME:
                return None
            case NextStep.REFUSE:
                return self._give_up(decision.reason, decision.message)
            case NextStep.FAIL:
                return self._fail(decision.message)
            case NextStep.ANSWER if isinstance(outcome, Whole):
                return self._answer(outcome)
            case NextStep.ANSWER:
                self.progress.outcome = "answered"
                return self._relay.response

    def _get_limit_ms(self) -> int:
        """Return within what time an answer has its worth: the target, or the caller's time."""
        target_ms = self._routed.route.target_ms
        waited_ms = self._now_ms() - self.progress.arrived_ms
        left_ms = self._left_ms()
        return min(left_ms, target_ms - waited_ms) if waited_ms < target_ms else left_ms

    def _get_allowance(self) -> Allowance:
        route = self._routed.route
        return Allowance(
            repeatable=route.repeatable and Mechanism.RETRIES not in self._parts.without,
            max_attempts=route.max_attempts,
            left_ms=self._left_ms(),
            take_retry=lambda: self._parts.budget.try_acquire(self._service),
        )

    def _is_suspect(self) -> bool:
        if Mechanism.SUSPECTS in self._parts.without:
            return False
        return self._parts.suspects.is_suspect(self._digest)

    def _give_up(self, reason: Reason, message: str, not_before_ms: int = 0) -> web.StreamResponse:
        """End a request that no further upstream is asked for."""
        progress = self.progress
        if progress.ran_on or self._relay.response is not None:
            return self._fail(message)
        response, retry_after_ms = make_refusal(
            reason=reason,
            message=message,
            request_id=self._request.request_id,
            left_ms=self._left_ms(),
            not_before_ms=not_before_ms,
            dialect=self._parts.dialect,
        )
        progress.outcome = reason.value
        self._story.note_refused(
            reason=reason.value,
            status=response.status,
            retry_after_ms=retry_after_ms,
            waited_ms=self._now_ms() - progress.arrived_ms,
        )
        return response

    def _answer(self, outcome: Whole) -> web.StreamResponse:
        self.progress.outcome = "answered"
        self.progress.bytes_out = len(outcome.body)
        self.progress.first_byte_ms = self._now_ms() - self.progress.arrived_ms
        return make_answer(outcome=outcome, dialect=self._parts.dialect)

    def _fail(self, message: str) -> web.StreamResponse:
        """End a request that may have run."""
        self.progress.outcome = f"failed: {message}"
        if self._relay.response is not None:
            abort_connection(self._web_request.transport)
            return self._relay.response
        if self.progress.kept_answer is not None:
            return self._answer(self.progress.kept_answer)
        return make_failure(
            reason=Reason.UPSTREAM_LOST, message=message, request_id=self._request.request_id
        )

    def _end_late(self) -> web.StreamResponse:
        """End a request whose time is over."""
        if not self.progress.in_doubt and not self.progress.ran_on:
            return self._give_up(Reason.DEADLINE, "No upstream had time for the request")
        self.progress.outcome = "deadline"
        if self._relay.response is not None:
            abort_connection(self._web_request.transport)
            return self._relay.response
        if self.progress.kept_answer is not None:
            return self._answer(self.progress.kept_answer)
        return make_failure(
            reason=Reason.DEADLINE,
            message="The deadline has passed",
            request_id=self._request.request_id,
        )

    def _get_silence_ms(self) -> int | None:
        """Return how long an upstream may say nothing before another one is asked."""
        route = self._routed.route
        if not route.repeatable or len(self.progress.ran_on) + 1 >= route.max_attempts:
            return None
        if Mechanism.RESPONSE_TIMEOUT in self._parts.without:
            return None
        patience = max(MIN_SILENCE_MS, int(route.target_ms * SILENCE_FACTOR))
        return max(1, min(patience, self._left_ms() // 2))

    def _make_sending(self, placed: Placement) -> Sending:
        return Sending(
            upstream=placed.entry.upstream,
            workspace=self._routed.workspace,
            deadline_ms=max(1, self._left_ms() - RETURN_MS),
            priority=self._get_priority(),
            last_event=self._relay.last_id or self._request.last_event,
            fetch_from=None if placed.fetch_from is None else placed.fetch_from.address,
        )

    def _get_priority(self) -> int | None:
        if self._request.prompt is None or Mechanism.PRIORITIES in self._parts.without:
            return None
        return self._routed.priority

    def _left_ms(self) -> int:
        return self.progress.deadline_at_ms - self._now_ms() - ANSWER_MARGIN_MS

    def _now_ms(self) -> int:
        return self._parts.app.clock.now_ms()
