"""Admission of requests while the router drains.

During a rolling restart some load balancers keep sending requests to a router that reports not
ready, because no other is available. Rejecting all of them while a long stream finishes would be an
outage of several seconds. Requests are therefore admitted if they end in time by what this router
has seen of their service. A stream that the end of the stop must not cut is admitted only if its
deadline ends in time, since no record of the past bounds how far load slows an engine.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from gypsumrouter.forwarding.const import DRAIN_GRACE_MS
from gypsumrouter.forwarding.drain.const import (
    CUT_MARGIN_MS,
    EXCUSED_MS,
    LAST_PART,
    MARGIN_MS,
    MEDIAN,
    QUANTILE,
    SILENCE_MS,
    SLOWDOWN,
)
from gypsumrouter.forwarding.drain.durations import SeenDurations
from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.util.clock import Clock


class Margin(NamedTuple):
    """By how much an answer may take longer than its estimate, a quantile of those seen.

    A slowdown grows with the estimate, a silence is as long in a short answer as in a long one.
    """

    quantile: float
    slowdown: float
    silence_ms: int

    def extend_ms(self, estimate_ms: float) -> float:
        """Return how long an answer takes at most, in milliseconds."""
        return estimate_ms * self.slowdown + self.silence_ms


class DrainAdmission:
    """Decides whether a new request is admitted while the router drains.

    A request is admitted only if it is expected to end `limit_ms` after the beginning of the stop,
    when what is under way is cut, though its upstream stands still once. In the first
    `DRAIN_GRACE_MS`, until load balancers have seen the readiness change, silences don't count, and
    requests to services and upstreams of which nothing is known lately are admitted as well.
    """

    __slots__ = ("_clock", "_late_ms", "_limit_ms", "_running", "_started_ms", "durations")

    def __init__(self, *, clock: Clock, limit_ms: int) -> None:
        self._clock = clock
        self._limit_ms = limit_ms
        self._started_ms: int | None = None
        self._late_ms = 0
        self._running: dict[int, tuple[str, Progress]] = {}
        self.durations = SeenDurations(clock=clock)

    def set_limit(self, limit_ms: int) -> None:
        """Set the maximum duration of a drain."""
        self._limit_ms = limit_ms

    @property
    def limit_ms(self) -> int:
        """Return the maximum duration of a drain from its signal."""
        return self._limit_ms

    @property
    def limit_at_ms(self) -> int:
        """Return when a drain that began or begins now has to end (monotonic milliseconds)."""
        started_ms = self._clock.now_ms() if self._started_ms is None else self._started_ms
        return started_ms + self.bound_duration_ms(late_ms=self._late_ms)

    def bound_duration_ms(self, *, late_ms: int) -> int:
        """Return the maximum duration of a drain whose signal was handled `late_ms` late.

        If the process was late with something else, it still lasts into the last part of the stop.
        """
        last_ms = (self._limit_ms + CUT_MARGIN_MS) // LAST_PART
        return self._limit_ms - min(late_ms, max(0, last_ms - CUT_MARGIN_MS))

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

    def begin(self, started_ms: int | None = None, *, late_ms: int = 0) -> None:
        """Start the drain of a stop that was asked for at `started_ms`, by default now.

        Its signal was handled then, and may have come `late_ms` before.
        """
        self._late_ms = late_ms
        self._started_ms = self._clock.now_ms() if started_ms is None else started_ms

    def request_started(self, number: int, *, service: str, progress: Progress) -> None:
        """Track a running request to a service."""
        self._running[number] = (service, progress)

    def request_ended(self, number: int) -> None:
        """Stop tracking a request that has ended."""
        self._running.pop(number, None)

    @property
    def is_late(self) -> bool:
        """Return whether a request that has been read now must not be cut by the drain.

        A stream needs a bound on its end. A plain request gets a final response in place of a cut,
        unless its answer has begun.
        """
        if self._started_ms is None:
            return False
        return self._clock.now_ms() >= self._started_ms - self._late_ms + EXCUSED_MS

    def admits(
        self,
        service: str,
        prompt: Prompt | None,
        *,
        remaining_ms: int,
        upstream: str | None = None,
        needs_bound: bool = False,
    ) -> bool:
        """Return whether to admit a request to a service, or to send it to an upstream.

        It ends after `remaining_ms` at the latest, which is its deadline. `needs_bound` is from
        when it was read.
        """
        if self._started_ms is None:
            return True
        if needs_bound:
            return remaining_ms <= self._left_ms
        if self.grace_left_ms and not self.durations.is_known(service, upstream):
            return True
        return self._ends_in_time(service, prompt, remaining_ms=remaining_ms, upstream=upstream)

    def admits_replacement(
        self,
        service: str,
        prompt: Prompt | None,
        *,
        events: int,
        remaining_ms: int,
        upstream: str,
        needs_bound: bool = False,
    ) -> bool:
        """Return whether an upstream may go on with a request after `events` of a silent one.

        That one may be sound and go on in time, which is no longer sure for a replacement with a
        first event, and perhaps a silence, of its own. `needs_bound` is from when the request was
        read.
        """
        if self._started_ms is None:
            return True
        if needs_bound:
            return remaining_ms <= self._left_ms
        if prompt is not None and events:
            left = max(1, prompt.max_output_tokens - events)
            prompt = msgspec.structs.replace(prompt, max_output_tokens=left)
        return self._ends_in_time(service, prompt, remaining_ms=remaining_ms, upstream=upstream)

    @property
    def _left_ms(self) -> int:
        """Return how long an answer that begins now may take."""
        return self.limit_at_ms - self._clock.now_ms() - MARGIN_MS

    def _ends_in_time(
        self,
        service: str,
        prompt: Prompt | None,
        *,
        remaining_ms: int,
        upstream: str | None,
    ) -> bool:
        """Return whether an answer ends before the limit, by its deadline at the latest."""
        left_ms = self._left_ms
        if remaining_ms <= left_ms:
            return True
        margin = self._choose_margin(service)
        estimate_ms = self.durations.estimate_ms(
            service, prompt, upstream=upstream, quantile=margin.quantile
        )
        if prompt is not None and upstream is not None:
            under_way = (
                self.durations.estimate_running_ms(service, prompt, progress)
                for name, progress in self._running.values()
                if name == service and progress.upstream == upstream
            )
            estimate_ms = max(estimate_ms, max(under_way, default=0.0))
        return margin.extend_ms(estimate_ms) <= left_ms

    def _choose_margin(self, service: str) -> Margin:
        """Return by how much an answer of a service may take longer than its estimate.

        In the grace period requests are admitted without a margin, as no other router may be ready.
        """
        if self.grace_left_ms:
            return Margin(quantile=QUANTILE, slowdown=1.0, silence_ms=0)
        worst = self.durations.slowdowns.find_worst(service)
        if worst is None:
            return Margin(quantile=QUANTILE, slowdown=SLOWDOWN, silence_ms=SILENCE_MS)
        return Margin(quantile=MEDIAN, slowdown=max(1.0, worst), silence_ms=SILENCE_MS)
