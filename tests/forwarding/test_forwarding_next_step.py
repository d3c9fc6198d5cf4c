"""What follows an attempt, for each outcome, kind of route and state of the retry budget."""

from __future__ import annotations

from typing import cast

import pytest

from gypsumrouter.forwarding.const import MAX_REJECTIONS, MAX_UNREACHABLE
from gypsumrouter.forwarding.models import CompleteResponse, Rejected, ResponseLost, Unreachable
from gypsumrouter.forwarding.next_step import (
    Decision,
    NextStep,
    RetryLimits,
    decide_after_failed_run,
    decide_next_step,
)
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.helpers.http_connection import Answer
from gypsumrouter.outcomes import Reason

LOST = ResponseLost(reason="silent")
REFUSED_CONNECTION = Unreachable(reason="refused")
SHED = Rejected(status=503, wrong_upstream=False)


def make_whole(status: int) -> CompleteResponse:
    return CompleteResponse(answer=cast(Answer, None), status=status, signed=True, body=b"")


def make_progress(*, ran: int = 0, unreachable: int = 0, rejections: int = 0) -> Progress:
    return Progress(
        arrived_ms=0,
        deadline_at_ms=1_000,
        unreachable=unreachable,
        rejections=rejections,
        possibly_ran_on=[f"i-{number}" for number in range(ran)],
    )


class Budget:
    """Counts what is taken of a retry budget."""

    def __init__(self, left: int = 9) -> None:
        self.left = left
        self.taken = 0

    def take(self) -> bool:
        """Take one if there is one."""
        if self.taken >= self.left:
            return False
        self.taken += 1
        return True


def allow(
    budget: Budget, *, repeatable: bool = True, max_attempts: int = 2, remaining_ms: int = 500
) -> RetryLimits:
    return RetryLimits(
        repeatable=repeatable,
        max_attempts=max_attempts,
        remaining_ms=remaining_ms,
        take_retry=budget.take,
    )


def test_what_never_arrived_goes_elsewhere_whatever_its_kind_and_costs_no_retry() -> None:
    budget = Budget(left=0)
    limits = allow(budget, repeatable=False, max_attempts=1)
    decision = decide_next_step(REFUSED_CONNECTION, make_progress(unreachable=1), limits)
    assert decision.step is NextStep.SEND_ELSEWHERE


def test_a_request_that_no_upstream_takes_is_refused_as_not_run() -> None:
    budget = Budget()
    unreachable = make_progress(unreachable=MAX_UNREACHABLE + 1)
    full = make_progress(rejections=MAX_REJECTIONS + 1)
    assert (
        decide_next_step(REFUSED_CONNECTION, unreachable, allow(budget)).reason
        is Reason.UNREACHABLE
    )
    assert decide_next_step(SHED, full, allow(budget)).reason is Reason.QUEUE_FULL
    assert budget.taken == 0


def test_what_was_turned_away_goes_elsewhere_within_the_retry_budget() -> None:
    budget = Budget(left=1)
    progress = make_progress(rejections=1)
    limits = allow(budget, repeatable=False)
    assert decide_next_step(SHED, progress, limits).step is NextStep.SEND_ELSEWHERE
    spent = decide_next_step(SHED, progress, limits)
    assert (spent.step, spent.reason) == (NextStep.REFUSE, Reason.RETRY_BUDGET)


@pytest.mark.parametrize(
    ("ran", "repeatable", "remaining_ms", "retries", "step"),
    [
        (1, True, 500, 1, NextStep.RETRY),
        (1, False, 500, 1, NextStep.FAIL),
        (2, True, 500, 1, NextStep.FAIL),
        (1, True, 0, 1, NextStep.FAIL),
        (1, True, 500, 0, NextStep.FAIL),
    ],
)
def test_a_lost_run_is_repeated_only_where_all_allow_it(
    ran: int, repeatable: bool, remaining_ms: int, retries: int, step: NextStep
) -> None:
    limits = allow(Budget(left=retries), repeatable=repeatable, remaining_ms=remaining_ms)
    decision = decide_next_step(LOST, make_progress(ran=ran), limits)
    assert decision.step is step
    assert decision.message == ("silent" if step is NextStep.FAIL else "")


def test_a_run_that_must_not_be_repeated_takes_nothing_of_the_budget() -> None:
    budget = Budget()
    decide_next_step(LOST, make_progress(ran=1), allow(budget, repeatable=False))
    assert budget.taken == 0


@pytest.mark.parametrize("status", [200, 404, 499])
def test_an_answer_that_is_no_failure_is_passed_on(status: int) -> None:
    decision = decide_next_step(make_whole(status), make_progress(), allow(Budget()))
    assert decision == Decision(step=NextStep.RESPOND)


def test_a_failure_is_tried_again_once_and_then_passed_on() -> None:
    failure, budget = make_whole(500), Budget()
    assert decide_next_step(failure, make_progress(ran=1), allow(budget)).step is NextStep.RETRY
    assert decide_next_step(failure, make_progress(ran=2), allow(budget)).step is NextStep.RESPOND


def test_a_stream_that_broke_off_goes_on_or_fails_with_its_reason() -> None:
    progress, budget = make_progress(ran=1), Budget(left=1)
    goes_on = decide_after_failed_run(
        progress, allow(budget), retry_step=NextStep.RESUME, message="stream broken"
    )
    assert goes_on == Decision(step=NextStep.RESUME)
    fails = decide_after_failed_run(
        progress, allow(budget), retry_step=NextStep.RESUME, message="stream broken"
    )
    assert fails == Decision(step=NextStep.FAIL, message="stream broken")
