"""Metrics of the gateway: outcomes, latencies, targets and penalties."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gypsumrouter.configuration.models import CallerClass
from gypsumrouter.const import MS_PER_S
from gypsumrouter.gateway.models import RequestResult
from gypsumrouter.helpers.metrics import NO_LABELS, Labels, MetricRegistry
from gypsumrouter.outcomes import Failure, Reason, Refused

FIRST_TOKEN_BUCKETS: Final = [0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.0, 5.0, 10.0]
ANSWER_BUCKETS: Final = [0.01, 0.05, 0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0]

OUTCOME_ANSWERED: Final = "answered"
OUTCOME_REPLAYED: Final = "replayed"
OUTCOME_NOT_RUN: Final = "not_run"
OUTCOME_UNKNOWN: Final = "unknown"
TARGET_FIRST_TOKEN: Final = "first_token"
TARGET_ANSWER: Final = "answer"
# Label for requests that end before their class is determined.
NO_CLASS: Final = ""

# Requests that fail for these reasons, caused by the caller, are not counted against targets.
REASONS_WITHOUT_TARGETS: Final = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.UNAUTHENTICATED,
        Reason.NOT_FOUND,
        Reason.TOO_LARGE,
        Reason.KEY_REQUIRED,
        Reason.KEY_INVALID,
        Reason.KEY_REUSED,
        Reason.REFUSED_BY_RULE,
        Reason.WORKSPACE_LIMIT,
        Reason.SUSPECT,
        Reason.CANCELLED,
    }
)


class GatewayMetrics:
    """Counts each request when it ends."""

    __slots__ = (
        "_answer",
        "_first_token",
        "_penalty",
        "_redirects",
        "_requests",
        "_retries",
        "_targets",
    )

    def __init__(self, *, registry: MetricRegistry, count_running: Callable[[], int]) -> None:
        self._requests = registry.counter(
            "gypsumrouter_requests_total", "Requests by class, outcome and reason"
        )
        self._retries = registry.counter(
            "gypsumrouter_retries_total", "Tries after one that failed, by its reason"
        )
        self._redirects = registry.counter(
            "gypsumrouter_redirects_total", "Refusals by sides, by reason"
        )
        self._targets = registry.counter(
            "gypsumrouter_targets_total", "Targets met and missed, by class"
        )
        self._penalty = registry.counter(
            "gypsumrouter_penalty_total", "Penalties for requests that missed a target, in money"
        )
        self._first_token = registry.histogram(
            "gypsumrouter_first_token_seconds",
            "Time from the request to the first bytes of a streamed answer",
            FIRST_TOKEN_BUCKETS,
        )
        self._answer = registry.histogram(
            "gypsumrouter_answer_seconds",
            "Time from the request to the end of its whole answer",
            ANSWER_BUCKETS,
        )
        registry.gauge(
            "gypsumrouter_requests_running",
            "Requests that run now",
            lambda: {NO_LABELS: count_running()},
        )

    def record_retry(self, reason: Reason) -> None:
        """Count a retry by the reason of the failure before it."""
        self._retries.inc(labels=(("reason", reason.value),))

    def record_redirect(self, reason: Reason) -> None:
        """Count a refusal by an instance."""
        self._redirects.inc(labels=(("reason", reason.value),))

    def record_result(self, *, caller_class: CallerClass | None, result: RequestResult) -> None:
        """Count one request and its targets."""
        name = NO_CLASS if caller_class is None else caller_class.name
        reason = "" if result.failure is None else result.failure.reason.value
        self._requests.inc(
            labels=(("class", name), ("outcome", get_outcome(result)), ("reason", reason))
        )
        if caller_class is None or _is_excluded_from_targets(result.failure):
            return
        labels = (("class", name),)
        if result.failure is None:
            self._answer.observe(result.answer_ms / MS_PER_S, labels)
        if result.first_token_ms is not None:
            self._first_token.observe(result.first_token_ms / MS_PER_S, labels)
        self._record_targets(caller_class, result, labels)

    def _record_targets(
        self, caller_class: CallerClass, result: RequestResult, labels: Labels
    ) -> None:
        answer_met = result.failure is None and result.answer_ms <= caller_class.answer_ms
        self._record_target(labels, TARGET_ANSWER, answer_met)
        first_met = True
        if result.streamed:
            first_token_ms = result.first_token_ms
            first_met = first_token_ms is not None and first_token_ms <= caller_class.first_token_ms
            self._record_target(labels, TARGET_FIRST_TOKEN, first_met)
        if not (answer_met and first_met):
            self._penalty.inc(caller_class.penalty, labels)

    def _record_target(self, labels: Labels, target: str, met: bool) -> None:
        self._targets.inc(labels=(*labels, ("target", target), ("met", str(met).lower())))


def get_outcome(result: RequestResult) -> str:
    """Return the value of the outcome label."""
    if result.failure is None:
        return OUTCOME_REPLAYED if result.replayed else OUTCOME_ANSWERED
    return OUTCOME_NOT_RUN if isinstance(result.failure, Refused) else OUTCOME_UNKNOWN


def _is_excluded_from_targets(failure: Failure | None) -> bool:
    return failure is not None and failure.reason in REASONS_WITHOUT_TARGETS
