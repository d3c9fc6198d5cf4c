"""Metrics of the admission queues."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from gypsumrouter.contention.const import WAIT_BUCKETS
from gypsumrouter.helpers.metrics import Labels, MetricRegistry

KIND_ENGINE = "engine"
KIND_PLAIN = "plain"


class ContentionMetrics:
    """Counts decisions and observes waits, by kind of service."""

    __slots__ = ("_decisions", "_waits")

    def __init__(
        self, *, registry: MetricRegistry, read_waiting: Callable[[], Mapping[Labels, float]]
    ) -> None:
        self._decisions = registry.counter(
            "gypsumrouter_contention_decisions_total",
            "Admission decisions by kind of service and decision",
        )
        self._waits = registry.histogram(
            "gypsumrouter_contention_wait_ms", "Time that released requests waited", WAIT_BUCKETS
        )
        registry.gauge(
            "gypsumrouter_contention_waiting", "Waiting requests by kind of service", read_waiting
        )

    def count_decision(self, decision: str, *, plain: bool) -> None:
        """Count a decision: `send`, `release`, `gone` or the reason of a refusal."""
        self._decisions.inc(labels=(("kind", get_kind(plain=plain)), ("decision", decision)))

    def observe_wait(self, waited_ms: int, *, plain: bool) -> None:
        """Record how long a released request waited."""
        self._waits.observe(waited_ms, (("kind", get_kind(plain=plain)),))


def get_kind(*, plain: bool) -> str:
    """Return the label of a kind of service."""
    return KIND_PLAIN if plain else KIND_ENGINE
