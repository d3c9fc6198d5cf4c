"""Retry policy: the next step for a request after an attempt at an upstream.

A request that was not run can be sent to another upstream. One that may have run is retried only if
its route allows that. Retries are limited by the retry budget that all routers share, so that they
don't overload the upstreams when many of them fail.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, StrEnum, auto
from typing import Final

from msgspec import Struct

from gypsumrouter.forwarding.const import MAX_REJECTIONS, MAX_UNREACHABLE
from gypsumrouter.forwarding.models import (
    CompleteResponse,
    Rejected,
    ResponseLost,
    SentOutcome,
    StreamingResponse,
    Unreachable,
)
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import Route

STATUS_SERVER_ERROR: Final = 500


class NextStep(StrEnum):
    """The next step of a request; the values are written to the journal."""

    SEND_ELSEWHERE = "elsewhere"
    RETRY = "run_again"
    RESUME = "resume"
    WAIT = "wait"
    RESPOND = "answer"
    REFUSE = "refuse"
    FAIL = "fail"


class Decision(Struct, frozen=True, kw_only=True):
    """The next step; `reason` applies to refusals, `message` to refusals and failures."""

    step: NextStep
    reason: Reason = Reason.NO_INSTANCE
    message: str = ""


class SentPart(Struct, frozen=True, kw_only=True):
    """The part of a response that was sent to the caller.

    `last_event_id` is the id of the last event that was sent, None if that event has none.
    """

    is_event_stream: bool
    last_event_id: str | None


class Continuation(Enum):
    """How another upstream may go on with a request that may have run."""

    AFRESH = auto()
    AFTER_LAST_EVENT = auto()
    NEVER = auto()


class RetryLimits(Struct, frozen=True, kw_only=True):
    """Limits on retries from the route, the deadline and the retry budget.

    `acquire_retry` consumes one retry of the budget and returns whether one was available.
    """

    repeatable: bool
    max_attempts: int
    remaining_ms: int
    acquire_retry: Callable[[], bool]


def decide_continuation(
    route: Route, sent: SentPart | None, *, version_proven: bool
) -> Continuation:
    """Return how another upstream may go on; `sent` is None if the caller has nothing yet.

    Two runs of a request need not give the same bytes. Only a stream whose route allows that, whose
    last event has an id, and of which it is known at which version it began, continues after what
    was sent.
    """
    if sent is None:
        return Continuation.AFRESH if route.repeatable else Continuation.NEVER
    if not route.resumable or not sent.is_event_stream or sent.last_event_id is None:
        return Continuation.NEVER
    return Continuation.AFTER_LAST_EVENT if version_proven else Continuation.NEVER


def check_fits(outcome: SentOutcome, sent: SentPart | None) -> SentOutcome:
    """Return an outcome, as lost if its response can't follow the part that was sent."""
    if sent is None:
        return outcome
    match outcome:
        case CompleteResponse(status=status):
            return ResponseLost(reason=f"status {status}")
        case StreamingResponse(is_event_stream=False, status=status):
            return ResponseLost(reason=f"status {status} without events")
        case _:
            return outcome


def decide_next_step(
    outcome: Unreachable | Rejected | ResponseLost | CompleteResponse,
    progress: Progress,
    limits: RetryLimits,
) -> Decision:
    """Return the next step after an attempt, which `progress` already includes."""
    match outcome:
        case Unreachable():
            return _decide_unreachable(progress)
        case Rejected():
            return _decide_rejected(progress, limits)
        case ResponseLost(reason=reason):
            return decide_after_failed_run(
                progress, limits, retry_step=NextStep.RETRY, message=reason
            )
        case CompleteResponse(status=status) if status < STATUS_SERVER_ERROR:
            return Decision(step=NextStep.RESPOND)
        case CompleteResponse():
            if may_retry(progress, limits):
                return Decision(step=NextStep.RETRY)
            return Decision(step=NextStep.RESPOND)


def decide_after_failed_run(
    progress: Progress, limits: RetryLimits, *, retry_step: NextStep, message: str
) -> Decision:
    """Return the next step after a request may have run without a complete response.

    `retry_step` is the step to take if a retry is allowed.
    """
    if may_retry(progress, limits):
        return Decision(step=retry_step)
    return Decision(step=NextStep.FAIL, message=message)


def may_retry(progress: Progress, limits: RetryLimits) -> bool:
    """Return whether a request that may have run can be retried; consumes a retry if so."""
    return allows_retry(progress, limits) and limits.acquire_retry()


def allows_retry(progress: Progress, limits: RetryLimits) -> bool:
    """Return whether a request that may have run can be retried as far as the budget allows."""
    if not limits.repeatable or len(progress.possibly_ran_on) >= limits.max_attempts:
        return False
    return limits.remaining_ms > 0


def _decide_unreachable(progress: Progress) -> Decision:
    if progress.unreachable > MAX_UNREACHABLE:
        message = "No upstream could be reached"
        return Decision(step=NextStep.REFUSE, reason=Reason.UNREACHABLE, message=message)
    return Decision(step=NextStep.SEND_ELSEWHERE)


def _decide_rejected(progress: Progress, limits: RetryLimits) -> Decision:
    if progress.rejections > MAX_REJECTIONS or limits.remaining_ms <= 0:
        message = "The upstreams are full"
        return Decision(step=NextStep.REFUSE, reason=Reason.QUEUE_FULL, message=message)
    if not limits.acquire_retry():
        message = "The retry budget is spent"
        return Decision(step=NextStep.REFUSE, reason=Reason.RETRY_BUDGET, message=message)
    return Decision(step=NextStep.SEND_ELSEWHERE)
