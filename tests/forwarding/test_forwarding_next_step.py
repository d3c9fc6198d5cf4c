"""Next step after an attempt, by outcome, kind of route and state of the retry budget."""

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
from gypsumrouter.helpers.http_response import (
    HttpResponse,
)
from gypsumrouter.outcomes import Reason

LOST = ResponseLost(reason="silent")
REFUSED_CONNECTION = Unreachable(reason="refused")
REJECTED = Rejected(status=503, wrong_upstream=False)


def make_response(status: int) -> CompleteResponse:
    return CompleteResponse(answer=cast(HttpResponse, None), status=status, signed=True, body=b"")


def make_progress(*, ran: int = 0, unreachable: int = 0, rejections: int = 0) -> Progress:
    return Progress(
        arrived_ms=0,
        deadline_at_ms=1_000,
        unreachable=unreachable,
        rejections=rejections,
        possibly_ran_on=[f"i-{number}" for number in range(ran)],
    )


class Budget:
    """A retry budget that counts the retries taken from it."""

    def __init__(self, left: int = 9) -> None:
        self.left = left
        self.taken = 0

    def take(self) -> bool:
        """Take a retry if one is left; return whether it was."""
        if self.taken >= self.left:
            return False
        self.taken += 1
        return True


def make_limits(
    budget: Budget, *, repeatable: bool = True, max_attempts: int = 2, remaining_ms: int = 500
) -> RetryLimits:
    return RetryLimits(
        repeatable=repeatable,
        max_attempts=max_attempts,
        remaining_ms=remaining_ms,
        acquire_retry=budget.take,
    )


def test_unsent_request_goes_to_another_upstream_without_using_the_retry_budget() -> None:
    budget = Budget(left=0)
    limits = make_limits(budget, repeatable=False, max_attempts=1)
    decision = decide_next_step(REFUSED_CONNECTION, make_progress(unreachable=1), limits)
    assert decision.step is NextStep.SEND_ELSEWHERE


def test_request_is_refused_after_too_many_connect_failures_or_rejections() -> None:
    budget = Budget()
    unreachable = make_progress(unreachable=MAX_UNREACHABLE + 1)
    full = make_progress(rejections=MAX_REJECTIONS + 1)
    assert (
        decide_next_step(REFUSED_CONNECTION, unreachable, make_limits(budget)).reason
        is Reason.UNREACHABLE
    )
    assert decide_next_step(REJECTED, full, make_limits(budget)).reason is Reason.QUEUE_FULL
    assert budget.taken == 0


def test_rejected_request_is_sent_elsewhere_within_the_retry_budget() -> None:
    budget = Budget(left=1)
    progress = make_progress(rejections=1)
    limits = make_limits(budget, repeatable=False)
    assert decide_next_step(REJECTED, progress, limits).step is NextStep.SEND_ELSEWHERE
    refused = decide_next_step(REJECTED, progress, limits)
    assert (refused.step, refused.reason) == (NextStep.REFUSE, Reason.RETRY_BUDGET)


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
def test_lost_request_is_retried_only_if_route_deadline_and_budget_allow_it(
    ran: int, repeatable: bool, remaining_ms: int, retries: int, step: NextStep
) -> None:
    limits = make_limits(Budget(left=retries), repeatable=repeatable, remaining_ms=remaining_ms)
    decision = decide_next_step(LOST, make_progress(ran=ran), limits)
    assert decision.step is step
    assert decision.message == ("silent" if step is NextStep.FAIL else "")


def test_non_repeatable_request_does_not_use_the_retry_budget() -> None:
    budget = Budget()
    decide_next_step(LOST, make_progress(ran=1), make_limits(budget, repeatable=False))
    assert budget.taken == 0


@pytest.mark.parametrize("status", [200, 404, 499])
def test_response_below_status_500_is_returned(status: int) -> None:
    decision = decide_next_step(make_response(status), make_progress(), make_limits(Budget()))
    assert decision == Decision(step=NextStep.RESPOND)


def test_server_error_is_retried_up_to_the_attempt_limit_and_then_returned() -> None:
    failure, budget = make_response(500), Budget()
    assert (
        decide_next_step(failure, make_progress(ran=1), make_limits(budget)).step is NextStep.RETRY
    )
    assert (
        decide_next_step(failure, make_progress(ran=2), make_limits(budget)).step
        is NextStep.RESPOND
    )


def test_broken_stream_is_resumed_within_the_budget_and_fails_without() -> None:
    progress, budget = make_progress(ran=1), Budget(left=1)
    resumed = decide_after_failed_run(
        progress, make_limits(budget), retry_step=NextStep.RESUME, message="stream broken"
    )
    assert resumed == Decision(step=NextStep.RESUME)
    failed = decide_after_failed_run(
        progress, make_limits(budget), retry_step=NextStep.RESUME, message="stream broken"
    )
    assert failed == Decision(step=NextStep.FAIL, message="stream broken")
