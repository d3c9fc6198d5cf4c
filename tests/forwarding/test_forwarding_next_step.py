"""What follows an attempt, for each outcome, kind of route and state of the retry budget."""

from __future__ import annotations

from typing import cast

import pytest

from gypsumrouter.forwarding.const import MAX_NOT_REACHED, MAX_TURNED_AWAY
from gypsumrouter.forwarding.models import Lost, NotReached, TurnedAway, Whole
from gypsumrouter.forwarding.next_step import (
    Allowance,
    Decision,
    NextStep,
    decide,
    decide_after_run,
)
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.helpers.http_connection import HttpResponse
from gypsumrouter.outcomes import Reason

LOST = Lost(reason="silent")
REFUSED_CONNECTION = NotReached(reason="refused")
SHED = TurnedAway(status=503, stranger=False)


def make_whole(status: int) -> Whole:
    return Whole(answer=cast(HttpResponse, None), status=status, signed=True, body=b"")


def make_progress(*, ran: int = 0, not_reached: int = 0, turned_away: int = 0) -> Progress:
    return Progress(
        arrived_ms=0,
        deadline_at_ms=1_000,
        not_reached=not_reached,
        turned_away=turned_away,
        ran_on=[f"i-{number}" for number in range(ran)],
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
    budget: Budget, *, repeatable: bool = True, max_attempts: int = 2, left_ms: int = 500
) -> Allowance:
    return Allowance(
        repeatable=repeatable,
        max_attempts=max_attempts,
        left_ms=left_ms,
        take_retry=budget.take,
    )


def test_what_never_arrived_goes_elsewhere_whatever_its_kind_and_costs_no_retry() -> None:
    budget = Budget(left=0)
    allowance = allow(budget, repeatable=False, max_attempts=1)
    decision = decide(REFUSED_CONNECTION, make_progress(not_reached=1), allowance)
    assert decision.step is NextStep.ELSEWHERE


def test_a_request_that_no_upstream_takes_is_refused_as_not_run() -> None:
    budget = Budget()
    unreachable = make_progress(not_reached=MAX_NOT_REACHED + 1)
    full = make_progress(turned_away=MAX_TURNED_AWAY + 1)
    assert decide(REFUSED_CONNECTION, unreachable, allow(budget)).reason is Reason.UNREACHABLE
    assert decide(SHED, full, allow(budget)).reason is Reason.QUEUE_FULL
    assert budget.taken == 0


def test_what_was_turned_away_goes_elsewhere_within_the_retry_budget() -> None:
    budget = Budget(left=1)
    progress = make_progress(turned_away=1)
    allowance = allow(budget, repeatable=False)
    assert decide(SHED, progress, allowance).step is NextStep.ELSEWHERE
    spent = decide(SHED, progress, allowance)
    assert (spent.step, spent.reason) == (NextStep.REFUSE, Reason.RETRY_BUDGET)


@pytest.mark.parametrize(
    ("ran", "repeatable", "left_ms", "retries", "step"),
    [
        (1, True, 500, 1, NextStep.RUN_AGAIN),
        (1, False, 500, 1, NextStep.FAIL),
        (2, True, 500, 1, NextStep.FAIL),
        (1, True, 0, 1, NextStep.FAIL),
        (1, True, 500, 0, NextStep.FAIL),
    ],
)
def test_a_lost_run_is_repeated_only_where_all_allow_it(
    ran: int, repeatable: bool, left_ms: int, retries: int, step: NextStep
) -> None:
    allowance = allow(Budget(left=retries), repeatable=repeatable, left_ms=left_ms)
    decision = decide(LOST, make_progress(ran=ran), allowance)
    assert decision.step is step
    assert decision.message == ("silent" if step is NextStep.FAIL else "")


def test_a_run_that_must_not_be_repeated_takes_nothing_of_the_budget() -> None:
    budget = Budget()
    decide(LOST, make_progress(ran=1), allow(budget, repeatable=False))
    assert budget.taken == 0


@pytest.mark.parametrize("status", [200, 404, 499])
def test_an_answer_that_is_no_failure_is_passed_on(status: int) -> None:
    decision = decide(make_whole(status), make_progress(), allow(Budget()))
    assert decision == Decision(step=NextStep.ANSWER)


def test_a_failure_is_tried_again_once_and_then_passed_on() -> None:
    failure, budget = make_whole(500), Budget()
    assert decide(failure, make_progress(ran=1), allow(budget)).step is NextStep.RUN_AGAIN
    assert decide(failure, make_progress(ran=2), allow(budget)).step is NextStep.ANSWER


def test_a_stream_that_broke_off_goes_on_or_fails_with_its_reason() -> None:
    progress, budget = make_progress(ran=1), Budget(left=1)
    goes_on = decide_after_run(
        progress, allow(budget), again=NextStep.RESUME, message="stream broken"
    )
    assert goes_on == Decision(step=NextStep.RESUME)
    fails = decide_after_run(
        progress, allow(budget), again=NextStep.RESUME, message="stream broken"
    )
    assert fails == Decision(step=NextStep.FAIL, message="stream broken")
