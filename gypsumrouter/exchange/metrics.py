"""Metrics of the requests that a side handles."""

from __future__ import annotations

from typing import Final

from gypsumrouter.helpers.metrics import MetricRegistry
from gypsumrouter.outcomes import Failure, get_executed

_OUTCOME: Final = "outcome"
_EXECUTED: Final = "executed"
_COMPLETE_LABELS: Final = (_OUTCOME, "whole"), (_EXECUTED, "run")


class ExchangeMetrics:
    """Counts requests by outcome, and crashes of the upstream."""

    __slots__ = ("_outcomes", "crashes")

    def __init__(self, *, registry: MetricRegistry) -> None:
        self._outcomes = registry.counter("exchange_outcomes_total", "How requests ended")
        self.crashes = registry.counter(
            "exchange_upstream_deaths_total", "Deaths of the upstream with requests running"
        )

    def count(self, failure: Failure | None) -> None:
        """Count the end of one request."""
        if failure is None:
            self._outcomes.inc(labels=_COMPLETE_LABELS)
            return
        executed = get_executed(failure).value
        self._outcomes.inc(labels=((_OUTCOME, failure.reason.value), (_EXECUTED, executed)))

    def dump(self) -> dict[str, float]:
        """Return the counts by outcome."""
        return {
            "/".join(value for _, value in labels): count
            for labels, count in sorted(self._outcomes.values.items())
        }
