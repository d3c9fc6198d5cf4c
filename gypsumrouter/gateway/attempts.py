"""The attempts of one request, and the failure that is reported if none succeeds."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from gypsumrouter.callers import DEFAULT_RETRY_AFTER_MS
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

# When several instances refused a request, the refusal with the highest value is reported; 0 is the
# default. A refusal with `elsewhere` unset ends the attempts and is reported itself.
REFUSAL_PRECEDENCE: Final[Mapping[Reason, int]] = {
    Reason.UNREACHABLE: 1,
    Reason.NOT_READY: 2,
    Reason.LEAVING: 2,
    Reason.WRONG_UPSTREAM: 3,
    Reason.MODEL_NOT_LOADED: 4,
    Reason.NOT_KEY_OWNER: 4,
    Reason.KEY_OWNER_UNCONFIRMED: 5,
    Reason.KEY_OWNER_TOO_RECENT: 5,
    Reason.CALL_RECORDS_FULL: 5,
    Reason.SUSPECT_ISOLATED: 5,
    Reason.TARGET_UNATTAINABLE: 6,
    Reason.QUEUE_FULL: 7,
    Reason.OVER_CAP: 8,
}


class Attempts:
    """The attempts of one request.

    `in_flight` is true while an instance may have the request. `failed` is the latest failure after
    which the request may have run, and `failures` counts these; `last_failure` includes refusals.
    """

    __slots__ = (
        "failed",
        "failures",
        "in_flight",
        "instance",
        "last_failure",
        "lost_upstreams",
        "refusals",
        "tried",
    )

    def __init__(self) -> None:
        self.failed: Failed | None = None
        self.failures = 0
        self.instance = ""
        self.last_failure: Failure | None = None
        self.in_flight = False
        self.refusals: list[Refused] = []
        self.tried: list[str] = []
        self.lost_upstreams = 0

    def record_start(self, name: str) -> None:
        """Record the start of an attempt at an instance."""
        self.instance = name
        self.tried.append(name)
        self.in_flight = True

    def record_failure(self, failure: Failure) -> None:
        """Record how the current attempt ended."""
        self.in_flight = False
        self.last_failure = failure
        match failure:
            case Refused():
                self.refusals.append(failure)
            case Failed(reason=reason):
                self.failed = failure
                self.failures += 1
                if reason is Reason.UPSTREAM_LOST:
                    self.lost_upstreams += 1

    def get_final_failure(self) -> Failure:
        """Return the failure to report when there is no further attempt.

        A refusal is only returned if no attempt may have run.
        """
        if self.failed is not None:
            return self.failed
        if not self.refusals:
            return Refused(reason=Reason.NO_INSTANCE, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
        if not self.refusals[-1].elsewhere:
            return self.refusals[-1]
        return self._select_refusal()

    def get_deadline_failure(self) -> Failure:
        """Return the failure to report when the deadline has passed."""
        if self.in_flight or self.failed is not None:
            return Failed(reason=Reason.DEADLINE)
        return Refused(reason=Reason.DEADLINE)

    def get_cancelled_failure(self) -> Failure:
        """Return the failure to record when the caller has disconnected."""
        if self.in_flight or self.failed is not None:
            return Failed(reason=Reason.CANCELLED)
        return Refused(reason=Reason.CANCELLED)

    def _select_refusal(self) -> Refused:
        selected = max(self.refusals, key=lambda refused: REFUSAL_PRECEDENCE.get(refused.reason, 0))
        delays = [
            refused.retry_after_ms
            for refused in self.refusals
            if refused.retry_after_ms is not None
        ]
        return Refused(
            reason=selected.reason,
            message=selected.message,
            retry_after_ms=min(delays, default=DEFAULT_RETRY_AFTER_MS),
        )
