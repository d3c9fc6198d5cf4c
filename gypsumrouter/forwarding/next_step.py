"""What follows after an upstream did with a request what it did: another one, or an answer.

Answers this load: upstreams that vanish, turn requests away, or fail in the middle of them, while
callers repeat. What may have run goes to another upstream only if its route allows that, and within
the retry budget that all routers share.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Final

from msgspec import Struct

from gypsumrouter.forwarding.const import MAX_NOT_REACHED, MAX_TURNED_AWAY
from gypsumrouter.forwarding.models import Lost, NotReached, TurnedAway, Whole
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.outcomes import Reason

STATUS_SERVER_ERROR: Final = 500


class NextStep(StrEnum):
    """What a request does next, by the word that the journal shows."""

    ELSEWHERE = "elsewhere"
    RUN_AGAIN = "run_again"
    RESUME = "resume"
    ANSWER = "answer"
    REFUSE = "refuse"
    FAIL = "fail"


class Decision(Struct, frozen=True, kw_only=True):
    """The next step; a refusal has its reason, a refusal or a failure its message."""

    step: NextStep
    reason: Reason = Reason.NO_INSTANCE
    message: str = ""


class Allowance(Struct, frozen=True, kw_only=True):
    """What the route, the clock and the retry budget allow a request.

    `take_retry` takes one retry out of the budget and returns whether there was one.
    """

    repeatable: bool
    max_attempts: int
    left_ms: int
    take_retry: Callable[[], bool]


def decide(
    outcome: NotReached | TurnedAway | Lost | Whole, progress: Progress, allowance: Allowance
) -> Decision:
    """Return what follows an attempt; `progress` counts it already."""
    match outcome:
        case NotReached():
            return _decide_not_reached(progress)
        case TurnedAway():
            return _decide_turned_away(progress, allowance)
        case Lost(reason=reason):
            return decide_after_run(progress, allowance, again=NextStep.RUN_AGAIN, message=reason)
        case Whole(status=status) if status < STATUS_SERVER_ERROR:
            return Decision(step=NextStep.ANSWER)
        case Whole():
            if may_run_again(progress, allowance):
                return Decision(step=NextStep.RUN_AGAIN)
            return Decision(step=NextStep.ANSWER)


def decide_after_run(
    progress: Progress, allowance: Allowance, *, again: NextStep, message: str
) -> Decision:
    """Return what follows a run that brought no whole answer."""
    if may_run_again(progress, allowance):
        return Decision(step=again)
    return Decision(step=NextStep.FAIL, message=message)


def may_run_again(progress: Progress, allowance: Allowance) -> bool:
    """Return whether a request that may have run may go to another upstream."""
    if not allowance.repeatable or len(progress.ran_on) >= allowance.max_attempts:
        return False
    return allowance.left_ms > 0 and allowance.take_retry()


def _decide_not_reached(progress: Progress) -> Decision:
    if progress.not_reached > MAX_NOT_REACHED:
        message = "No upstream could be reached"
        return Decision(step=NextStep.REFUSE, reason=Reason.UNREACHABLE, message=message)
    return Decision(step=NextStep.ELSEWHERE)


def _decide_turned_away(progress: Progress, allowance: Allowance) -> Decision:
    if progress.turned_away > MAX_TURNED_AWAY:
        message = "The upstreams are full"
        return Decision(step=NextStep.REFUSE, reason=Reason.QUEUE_FULL, message=message)
    if not allowance.take_retry():
        message = "The retry budget is spent"
        return Decision(step=NextStep.REFUSE, reason=Reason.RETRY_BUDGET, message=message)
    return Decision(step=NextStep.ELSEWHERE)
