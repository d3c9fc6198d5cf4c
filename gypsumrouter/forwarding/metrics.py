"""Request counters and latency histograms of the forwarder."""

from __future__ import annotations

from typing import Final

from gypsumrouter.core import Application

# Upper bounds in milliseconds, finest around the usual latency targets of 100 to 800 ms.
LATENCY_BUCKETS: Final[list[float]] = [
    5,
    10,
    25,
    50,
    100,
    200,
    300,
    400,
    800,
    1_600,
    3_200,
    6_400,
    15_000,
]


class ForwardingMetrics:
    """Counts requests and their latencies; the outcome label is the reason of a refusal."""

    __slots__ = ("_ended", "_first_byte", "_total")

    def __init__(self, *, app: Application) -> None:
        self._ended = app.metrics.counter(
            "gypsumrouter_requests_total", "Requests by kind of route, outcome and status"
        )
        self._first_byte = app.metrics.histogram(
            "gypsumrouter_first_byte_ms", "Time to the first byte of an answer", LATENCY_BUCKETS
        )
        self._total = app.metrics.histogram(
            "gypsumrouter_request_ms", "Time to the end of an answer", LATENCY_BUCKETS
        )

    def count_request(self, *, route: str, outcome: str, status: int) -> None:
        """Count a request that has ended; details after a colon in `outcome` are dropped."""
        reason = outcome.partition(":")[0]
        labels = (("kind", route), ("outcome", reason), ("status", str(status)))
        self._ended.inc(labels=labels)

    def observe_latency(self, *, kind: str, first_byte_ms: int, total_ms: int) -> None:
        """Record the latencies of a request; a negative `first_byte_ms` is ignored."""
        labels = (("kind", kind),)
        if first_byte_ms >= 0:
            self._first_byte.observe(first_byte_ms, labels)
        self._total.observe(total_ms, labels)
