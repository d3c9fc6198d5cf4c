"""Admission of requests while the router drains.

During a rolling restart some load balancers keep sending requests to a router that reports not
ready, because no other is available. Rejecting all of them while a long stream finishes would be an
outage of several seconds. Requests are therefore admitted if they end in time by what this router
has seen of their service.
"""

from __future__ import annotations

from gypsumrouter.forwarding.const import DRAIN_GRACE_MS
from gypsumrouter.forwarding.drain.const import MARGIN_MS, MEDIAN, QUANTILE, SLOWDOWN
from gypsumrouter.forwarding.drain.durations import SeenDurations
from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.util.clock import Clock


class DrainAdmission:
    """Decides whether a new request is admitted while the router drains.

    A request is admitted only if it is expected to end `limit_ms` after the beginning of the stop,
    when what is under way is cut. In the first `DRAIN_GRACE_MS`, until load balancers have seen the
    readiness change, those to services and upstreams of which nothing is known lately are admitted
    as well.
    """

    __slots__ = ("_clock", "_limit_ms", "_running", "_started_ms", "durations")

    def __init__(self, *, clock: Clock, limit_ms: int) -> None:
        self._clock = clock
        self._limit_ms = limit_ms
        self._started_ms: int | None = None
        self._running: dict[int, tuple[str, Progress]] = {}
        self.durations = SeenDurations(clock=clock)

    def set_limit(self, limit_ms: int) -> None:
        """Set the maximum duration of a drain."""
        self._limit_ms = limit_ms

    @property
    def limit_ms(self) -> int:
        """Return the maximum duration of a drain."""
        return self._limit_ms

    @property
    def limit_at_ms(self) -> int:
        """Return when a drain that began or begins now has to end (monotonic milliseconds)."""
        started_ms = self._clock.now_ms() if self._started_ms is None else self._started_ms
        return started_ms + self._limit_ms

    @property
    def grace_left_ms(self) -> int:
        """Return how long load balancers may still need to see that the router drains."""
        if self._started_ms is None:
            return DRAIN_GRACE_MS
        return max(0, self._started_ms + DRAIN_GRACE_MS - self._clock.now_ms())

    @property
    def draining(self) -> bool:
        """Return whether the drain has started."""
        return self._started_ms is not None

    def begin(self, started_ms: int | None = None) -> None:
        """Start the drain of a stop that was asked for at `started_ms`, by default now."""
        self._started_ms = self._clock.now_ms() if started_ms is None else started_ms

    def request_started(self, number: int, *, service: str, progress: Progress) -> None:
        """Track a running request to a service."""
        self._running[number] = (service, progress)

    def request_ended(self, number: int) -> None:
        """Stop tracking a request that has ended."""
        self._running.pop(number, None)

    def admits(
        self,
        service: str,
        prompt: Prompt | None,
        *,
        remaining_ms: int,
        upstream: str | None = None,
    ) -> bool:
        """Return whether to admit a request to a service, or to send it to an upstream.

        It ends after `remaining_ms` at the latest, which is its deadline.
        """
        if self._started_ms is None:
            return True
        if self.grace_left_ms and not self.durations.is_known(service, upstream):
            return True
        left_ms = self.limit_at_ms - self._clock.now_ms() - MARGIN_MS
        if remaining_ms <= left_ms:
            return True
        quantile, slowdown = self._choose_margin(service)
        estimate_ms = self.durations.estimate_ms(
            service, prompt, upstream=upstream, quantile=quantile
        )
        if prompt is not None and upstream is not None:
            under_way = (
                self.durations.estimate_running_ms(service, prompt, progress)
                for name, progress in self._running.values()
                if name == service and progress.upstream == upstream
            )
            estimate_ms = max(estimate_ms, max(under_way, default=0.0))
        return estimate_ms * slowdown <= left_ms

    def _choose_margin(self, service: str) -> tuple[float, float]:
        """Return the quantile of an estimate, and by how much an answer may take longer."""
        if self.grace_left_ms:
            return QUANTILE, 1.0
        worst = self.durations.slowdowns.find_worst(service)
        if worst is None:
            return QUANTILE, SLOWDOWN
        return MEDIAN, max(SLOWDOWN, worst)
