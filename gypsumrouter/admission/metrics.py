"""Metrics of admission."""

from __future__ import annotations

from gypsumrouter.helpers.metrics import Labels, MetricRegistry
from gypsumrouter.outcomes import Refused

_KIND_LABELS: dict[bool, Labels] = {
    False: (("kind", "interactive"),),
    True: (("kind", "batch"),),
}


class AdmissionMetrics:
    """Counters of granted slots, refusals, waiting time and yield requests."""

    __slots__ = ("_granted", "_late", "_refused", "_wait_ms", "yields")

    def __init__(self, *, registry: MetricRegistry) -> None:
        self._granted = registry.counter(
            "gypsumrouter_admission_granted_total", "Slots granted, by kind of work"
        )
        self._late = registry.counter(
            "gypsumrouter_admission_late_total",
            "Slots granted after the first-token target was out of reach",
        )
        self._refused = registry.counter(
            "gypsumrouter_admission_refused_total", "Requests refused, by reason"
        )
        self._wait_ms = registry.counter(
            "gypsumrouter_admission_wait_ms_total", "Time waited for slots, by kind of work"
        )
        self.yields = registry.counter(
            "gypsumrouter_admission_yields_total", "Times that batch work was asked to give way"
        )

    def count_granted(self, *, batch: bool, waited_ms: int) -> None:
        """Count a granted slot and the time that its request waited."""
        labels = _KIND_LABELS[batch]
        self._granted.inc(labels=labels)
        if waited_ms:
            self._wait_ms.inc(waited_ms, labels)

    def count_late(self) -> None:
        """Count a slot granted after the request's latency target had passed."""
        self._late.inc()

    def count_refused(self, refused: Refused) -> None:
        """Count a refusal by its reason."""
        self._refused.inc(labels=(("reason", refused.reason.value),))
