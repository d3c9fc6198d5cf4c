"""Final responses of one request: an upstream's response, a refusal or a failure."""

from __future__ import annotations

from aiohttp import web

from gypsumrouter.callers import abort_connection
from gypsumrouter.core import Application
from gypsumrouter.crashes import CrashGuard, Verdict
from gypsumrouter.crashes.verdicts import get_trial_ms
from gypsumrouter.forwarding.const import RETRY_AT_ONCE_MS
from gypsumrouter.forwarding.ends.relay import Relay
from gypsumrouter.forwarding.models import CallerRequest, CompleteResponse, Dialect
from gypsumrouter.forwarding.progress import (
    OUTCOME_ANSWERED,
    OUTCOME_STOPPED,
    Progress,
    TimeLimits,
)
from gypsumrouter.forwarding.request_contention import RequestContention
from gypsumrouter.forwarding.request_journal import RequestJournal
from gypsumrouter.forwarding.responses import make_failure, make_refusal, make_upstream_response
from gypsumrouter.outcomes import Reason


class RequestEndings:
    """Ends one request, and records how."""

    __slots__ = (
        "_app",
        "_contention",
        "_dialect",
        "_limits",
        "_progress",
        "_relay",
        "_request",
        "_request_journal",
        "_suspects",
        "_web_request",
    )

    def __init__(
        self,
        *,
        app: Application,
        dialect: Dialect,
        suspects: CrashGuard,
        request: CallerRequest,
        web_request: web.BaseRequest,
        progress: Progress,
        limits: TimeLimits,
        contention: RequestContention,
        relay: Relay,
        request_journal: RequestJournal,
    ) -> None:
        self._app = app
        self._dialect = dialect
        self._suspects = suspects
        self._request = request
        self._web_request = web_request
        self._progress = progress
        self._limits = limits
        self._contention = contention
        self._relay = relay
        self._request_journal = request_journal

    def refuse_suspect(self, verdict: Verdict) -> web.StreamResponse:
        """Refuse a request that crashes upstreams, until the next trial."""
        prompt = self._request.prompt
        parts = () if prompt is None else prompt.shared
        self._suspects.record_refused(
            self._request.request_id, (part.part for part in parts), verdict
        )
        message = "Upstreams have crashed on the same content or the same part of a prompt"
        trial_in_ms = max(0, get_trial_ms(verdict) - self._now_ms())
        return self.refuse(Reason.CRASHES_UPSTREAMS, message, trial_in_ms)

    def refuse(
        self, reason: Reason, message: str, not_before_ms: int = 0, excess: float = 0.0
    ) -> web.StreamResponse:
        """End a request without another attempt: refused, or failed if it may have run."""
        progress = self._progress
        if progress.possibly_ran_on or self._relay.response is not None:
            self._request_journal.obstacle = reason.value
            return self.fail(message)
        reservation = None
        reserved_ms: int | None = RETRY_AT_ONCE_MS
        if reason is Reason.CRASHES_UPSTREAMS:
            # Before that it would be refused again, however little is left of its deadline.
            reserved_ms = not_before_ms
        elif reason is not Reason.STREAM_VERSION_GONE:
            reservation = self._contention.reserve_return(
                room_in_ms=not_before_ms, remaining_ms=self._limits.remaining_ms
            )
            reserved_ms = None if reservation is None else reservation.retry_after_ms
        response, retry_after_ms = make_refusal(
            reason=reason,
            message=message,
            request_id=self._request.request_id,
            remaining_ms=self._limits.remaining_ms,
            not_before_ms=not_before_ms,
            reserved_ms=reserved_ms,
            dialect=self._dialect,
        )
        progress.outcome = reason.value
        self._request_journal.record_refused(
            reason=reason.value,
            status=response.status,
            retry_after_ms=retry_after_ms,
            waited_ms=self._now_ms() - progress.arrived_ms,
            return_position=-1 if reservation is None else reservation.position,
            room_in_ms=not_before_ms,
            excess=excess,
        )
        return response

    def respond(self, outcome: CompleteResponse) -> web.StreamResponse:
        """End a request with an upstream's complete response."""
        self._progress.outcome = OUTCOME_ANSWERED
        self._progress.bytes_out = len(outcome.body)
        self._progress.first_byte_ms = self._now_ms() - self._progress.arrived_ms
        return make_upstream_response(outcome=outcome, dialect=self._dialect)

    def fail(
        self, message: str, *, reason: Reason = Reason.UPSTREAM_LOST, outcome: str = ""
    ) -> web.StreamResponse:
        """End a request that may have run, if possible with an upstream's error response."""
        self._progress.outcome = outcome or f"failed: {message}"
        if self._relay.response is not None:
            abort_connection(self._web_request.transport)
            return self._relay.response
        if self._progress.fallback_response is not None:
            return self.respond(self._progress.fallback_response)
        return make_failure(reason=reason, message=message, request_id=self._request.request_id)

    def end_at_limit(self, *, is_stopped: bool) -> web.StreamResponse:
        """End a request that has reached its deadline, or the end of a stop."""
        may_have_run = self._progress.in_flight or self._progress.possibly_ran_on
        if is_stopped and may_have_run:
            message = "This router stopped before an upstream answered"
            return self.fail(message, reason=Reason.STOPPED, outcome=OUTCOME_STOPPED)
        if is_stopped:
            return self.refuse(Reason.LEAVING, "This router is stopping")
        if not may_have_run:
            return self.refuse(Reason.DEADLINE, "No upstream had time for the request")
        message = "The deadline has passed"
        return self.fail(message, reason=Reason.DEADLINE, outcome="deadline")

    def _now_ms(self) -> int:
        return self._app.clock.now_ms()
