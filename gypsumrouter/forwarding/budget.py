"""Retry budget of the whole fleet, of which each router spends its own share."""

from __future__ import annotations

from collections import deque
from typing import Final

from msgspec import Struct

from gypsumrouter.util.clock import Clock

# Factor on each router's share, because routers' views of the fleet size differ temporarily.
SAFETY_FACTOR: Final = 0.85


class _SlidingWindow:
    """Times of events, to count those within a sliding window."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        self._times.append(now_ms)

    def count(self, since_ms: int) -> int:
        while self._times and self._times[0] < since_ms:
            self._times.popleft()
        return len(self._times)


class RetryUsage(Struct, frozen=True, kw_only=True):
    """This router's requests and retries to a service within the window, and its bound on retries.

    `routers` is the number of routers that share the slack.
    """

    requests: int
    retries: int
    allowed: float
    routers: int


class RetryBudget:
    """Counts requests and retries per service within a sliding window.

    Within any window the fleet may send `ratio` retries per request, plus `slack` retries. Each
    router may send `ratio` of its own requests and an equal share of the slack.
    """

    __slots__ = ("_clock", "_ratio", "_requests", "_retries", "_slack", "_window_ms", "routers")

    def __init__(self, *, clock: Clock, ratio: float, slack: float, window_ms: int) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: dict[str, _SlidingWindow] = {}
        self._retries: dict[str, _SlidingWindow] = {}
        self.routers = 1

    def set_bounds(self, *, ratio: float, slack: float, window_ms: int) -> None:
        """Replace the bounds; retries already counted stay counted."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms

    def note_request(self, service: str) -> None:
        """Count a request of a caller to a service."""
        self._requests.setdefault(service, _SlidingWindow()).add(self._clock.now_ms())

    def try_acquire(self, service: str) -> bool:
        """Spend one retry of the budget; return whether there was one left."""
        usage = self.get_usage(service)
        if usage.retries + 1 > usage.allowed:
            return False
        self._retries[service].add(self._clock.now_ms())
        return True

    def get_usage(self, service: str) -> RetryUsage:
        """Return the use of the budget for a service."""
        since_ms = self._clock.now_ms() - self._window_ms
        requests = self._requests.setdefault(service, _SlidingWindow()).count(since_ms)
        retries = self._retries.setdefault(service, _SlidingWindow()).count(since_ms)
        routers = max(1, self.routers)
        allowed = SAFETY_FACTOR * (self._ratio * requests + self._slack / routers)
        return RetryUsage(requests=requests, retries=retries, allowed=allowed, routers=routers)
