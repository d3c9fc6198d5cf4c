"""Metrics of a process; counters are plain numbers that are copied to aioprometheus on a scrape."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import aioprometheus
from aioprometheus.formats import text

from gypsumrouter.exceptions import InvariantBroken

Labels = tuple[tuple[str, str], ...]
ReadGauge = Callable[[], Mapping[Labels, float]]

NO_LABELS: Labels = ()


class Counter:
    """Counter with one value for each set of labels."""

    __slots__ = ("values",)

    def __init__(self) -> None:
        self.values: dict[Labels, float] = {}

    def inc(self, amount: float = 1, labels: Labels = NO_LABELS) -> None:
        """Add `amount`."""
        self.values[labels] = self.values.get(labels, 0) + amount

    def total(self) -> float:
        """Return the sum over all labels."""
        return sum(self.values.values())


class Histogram:
    """Histogram with one set of buckets for each set of labels."""

    __slots__ = ("_metric",)

    def __init__(self, metric: aioprometheus.Histogram) -> None:
        self._metric = metric

    def observe(self, value: float, labels: Labels = NO_LABELS) -> None:
        """Record a value."""
        self._metric.observe(dict(labels), value)


class MetricRegistry:
    """Registry of all metrics of a process."""

    __slots__ = ("_counters", "_gauges", "_names", "_registry")

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._names: set[str] = set()
        self._counters: list[tuple[aioprometheus.Counter, Counter]] = []
        self._gauges: list[tuple[aioprometheus.Gauge, ReadGauge]] = []

    def counter(self, name: str, documentation: str) -> Counter:
        """Register a counter; names end in `_total`."""
        metric = aioprometheus.Counter(
            self._reserve_name(name), documentation, registry=self._registry
        )
        counter = Counter()
        self._counters.append((metric, counter))
        return counter

    def gauge(self, name: str, documentation: str, read: ReadGauge) -> None:
        """Register a gauge; `read` returns its values when the metrics are scraped."""
        metric = aioprometheus.Gauge(
            self._reserve_name(name), documentation, registry=self._registry
        )
        self._gauges.append((metric, read))

    def histogram(self, name: str, documentation: str, buckets: list[float]) -> Histogram:
        """Register a histogram with the upper bounds of its buckets."""
        metric = aioprometheus.Histogram(
            self._reserve_name(name), documentation, buckets=buckets, registry=self._registry
        )
        return Histogram(metric)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for metric, counter in self._counters:
            for labels, value in counter.values.items():
                metric.set(dict(labels), value)
        for gauge, read in self._gauges:
            for labels, value in read().items():
                gauge.set(dict(labels), value)
        return bytes(text.TextFormatter().marshall(self._registry))

    def _reserve_name(self, name: str) -> str:
        if name in self._names:
            raise InvariantBroken(f"metric {name} registered twice")
        self._names.add(name)
        return name
