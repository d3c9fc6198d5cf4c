"""The refusals that admission returns."""

from __future__ import annotations

from gypsumrouter.admission.const import MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS
from gypsumrouter.outcomes import Reason, Refused


def refuse_leaving() -> Refused:
    """Return the refusal by an instance that is shutting down."""
    return Refused(reason=Reason.LEAVING, message="the upstream is leaving", elsewhere=True)


def refuse_unconfigured() -> Refused:
    """Return the refusal by an instance that has no configuration yet."""
    return Refused(reason=Reason.NOT_READY, message="no configuration yet", elsewhere=True)


def refuse_cancelled() -> Refused:
    """Return the refusal of a request that its caller cancelled while it waited."""
    return Refused(reason=Reason.CANCELLED, message="cancelled while waiting")


def refuse_deadline_unreachable() -> Refused:
    """Return the refusal of a request that can't be answered before its deadline."""
    return Refused(
        reason=Reason.TARGET_UNATTAINABLE, message="the deadline would pass before the answer"
    )


def refuse_over_cap(wait_ms: float) -> Refused:
    """Return the refusal by an upstream whose load is at the cap relative to its pool."""
    return Refused(
        reason=Reason.OVER_CAP,
        message="the upstream carries its multiple of the pool's mean load",
        retry_after_ms=_bound(wait_ms),
        elsewhere=True,
    )


def refuse_queue_full(wait_ms: float, *, elsewhere: bool) -> Refused:
    """Return the refusal by an upstream whose wait queue is full."""
    return Refused(
        reason=Reason.QUEUE_FULL,
        message="no more requests may wait at the upstream",
        retry_after_ms=_bound(wait_ms),
        elsewhere=elsewhere,
    )


def _bound(wait_ms: float) -> int:
    return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, int(wait_ms)))
