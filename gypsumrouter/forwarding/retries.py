"""Retries of one request: what the route, the time, the budget and the listed upstreams allow."""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.context import ForwardingContext
from gypsumrouter.forwarding.ends.relay import Relay
from gypsumrouter.forwarding.models import (
    CompleteResponse,
    Rejected,
    ResponseLost,
    Unreachable,
)
from gypsumrouter.forwarding.next_step import (
    STATUS_SERVER_ERROR,
    Continuation,
    Decision,
    NextStep,
    RetryLimits,
    allows_retry,
    decide_after_failed_run,
    decide_continuation,
    decide_next_step,
)
from gypsumrouter.forwarding.progress import Progress, TimeLimits
from gypsumrouter.forwarding.replacement import RECHECK_MS, Replacements
from gypsumrouter.forwarding.request_journal import RequestJournal
from gypsumrouter.forwarding.silence import Obstacle, SilentRequest, find_obstacle
from gypsumrouter.forwarding.stream_pin import StreamPin
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.routing import Route

# A sound upstream may be silent for about a second.
MAX_SILENCE_MS: Final = 2_000

UnstreamedOutcome = Unreachable | Rejected | ResponseLost | CompleteResponse


class Retries:
    """Decides on the next step of one request after an attempt, and waits for upstreams."""

    __slots__ = (
        "_context",
        "_journal",
        "_limits",
        "_progress",
        "_relay",
        "_replacements",
        "_route",
        "_service",
        "_stream",
    )

    def __init__(
        self,
        *,
        context: ForwardingContext,
        route: Route,
        service: str,
        progress: Progress,
        limits: TimeLimits,
        relay: Relay,
        stream: StreamPin,
        replacements: Replacements,
        journal: RequestJournal,
    ) -> None:
        self._context = context
        self._route = route
        self._service = service
        self._progress = progress
        self._limits = limits
        self._relay = relay
        self._stream = stream
        self._replacements = replacements
        self._journal = journal

    @property
    def step(self) -> NextStep:
        """Return how another upstream goes on: anew, or after the last event that was sent."""
        return NextStep.RETRY if self._relay.sent is None else NextStep.RESUME

    async def async_decide(self, outcome: UnstreamedOutcome) -> Decision:
        """Return the next step after an attempt without a stream; may wait for upstreams."""
        serves = isinstance(outcome, CompleteResponse) and outcome.status < STATUS_SERVER_ERROR
        if self._replacements.standby.has_sent and not serves:
            return Decision(step=self.step)
        decision = decide_next_step(outcome, self._progress, self._make_limits())
        if decision.step is NextStep.FAIL:
            self._note_obstacle()
        if decision.step is not NextStep.REFUSE or not self.may_wait:
            return decision
        await self.async_wait()
        while isinstance(outcome, Rejected) and not self._may_send():
            await self._context.app.clock.async_sleep(RECHECK_MS)
        return Decision(step=NextStep.WAIT)

    def _may_send(self) -> bool:
        """Return whether another run was sent meanwhile, or a retry could be taken."""
        return self._replacements.standby.has_sent or self._context.budget.try_acquire(
            self._service
        )

    async def async_decide_after_stream(self, *, message: str) -> Decision:
        """Return the next step after a stream was broken off; `message` says how."""
        if self._replacements.standby.has_sent:
            return Decision(step=self.step)
        await self._stream.async_settle()
        if self._replacements.standby.has_sent:
            return Decision(step=self.step)
        limits = self._make_limits()
        decision = decide_after_failed_run(
            self._progress, limits, retry_step=self.step, message=message
        )
        if decision.step is NextStep.FAIL:
            self._note_obstacle()
            if allows_retry(self._progress, limits):
                return await self._async_wait_for_budget(decision)
        return decision

    def _note_obstacle(self) -> None:
        """Record what rules out that another upstream goes on with the request."""
        request = SilentRequest(
            route=self._route,
            sent=self._relay.sent,
            runs=len(self._progress.possibly_ran_on),
            remaining_ms=self._limits.remaining_ms,
            version_proven=self._stream.is_proven,
        )
        self._journal.obstacle = (find_obstacle(request) or Obstacle.BUDGET).value

    async def _async_wait_for_budget(self, failure: Decision) -> Decision:
        """Return the next step once the budget has a retry; the failure after half of the time."""
        ends_ms = self._context.app.clock.now_ms() + self._limits.remaining_ms // 2
        while self._context.app.clock.now_ms() + RECHECK_MS < ends_ms:
            await self._context.app.clock.async_sleep(RECHECK_MS)
            if self._may_send():
                return Decision(step=self.step)
        return failure

    @property
    def may_wait(self) -> bool:
        """Return whether the request waits for an upstream instead of being refused.

        One that has run can't be refused any more, and one that met a silent upstream waits a while
        for that. Both do only while an upstream is listed that has not run it, and no upstream's
        error response is there to be returned.
        """
        if self._progress.fallback_response is not None:
            return False
        ran_on = self._progress.possibly_ran_on
        waited_ms = self._context.app.clock.now_ms() - self._progress.arrived_ms
        awaits_silent = self._progress.met_silence and waited_ms < MAX_SILENCE_MS
        if not (ran_on or awaits_silent) or self._limits.remaining_ms <= RECHECK_MS:
            return False
        version = self._stream.version
        return any(
            entry.incarnation not in ran_on and version in (None, entry.version)
            for entry in self._context.placer.list_ready(self._service)
        )

    async def async_wait(self) -> None:
        """Wait before the upstreams that could not take the request are tried again."""
        self._progress.forgive_upstreams()
        await self._context.app.clock.async_sleep(RECHECK_MS)

    def _make_limits(self) -> RetryLimits:
        continuation = decide_continuation(
            self._route, self._relay.sent, version_proven=self._stream.is_proven
        )
        if Mechanism.RETRIES in self._context.without:
            continuation = Continuation.NEVER
        return RetryLimits(
            repeatable=continuation is not Continuation.NEVER,
            max_attempts=self._route.max_attempts,
            remaining_ms=self._limits.remaining_ms,
            acquire_retry=self._acquire,
        )

    def _acquire(self) -> bool:
        """Take a retry from the budget; return whether there was one."""
        budget = self._context.budget
        usage = budget.get_usage(self._service)
        granted = budget.try_acquire(self._service)
        self._journal.record_retry_decided(usage, granted=granted)
        return granted
