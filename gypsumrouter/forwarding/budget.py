"""The retry budget of the whole fleet, of which each router spends only its own share."""

from __future__ import annotations

from collections import deque
from typing import Final

from gypsumrouter.util.clock import Clock

# Each router stays this far below its share, since views of the fleet's size differ for seconds.
SAFETY_FACTOR: Final = 0.85


class _SlidingWindow:
    """Times of the last `window_ms`."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        self._times.append(now_ms)

    def count(self, since_ms: int) -> int:
        while self._times and self._times[0] < since_ms:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Counts, for each service, the requests and what was sent beyond the first upstream.

    Over any window the fleet may send `ratio` of the requests again, and `slack` in all; a router
    takes its ratio of its own requests and an equal part of the slack.
    """

    __slots__ = ("_clock", "_ratio", "_repeats", "_requests", "_slack", "_window_ms", "routers")

    def __init__(self, *, clock: Clock, ratio: float, slack: float, window_ms: int) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: dict[str, _SlidingWindow] = {}
        self._repeats: dict[str, _SlidingWindow] = {}
        self.routers = 1

    def set_bounds(self, *, ratio: float, slack: float, window_ms: int) -> None:
        """Keep other bounds from now on; what was spent stays spent."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._requests.setdefault(service, _SlidingWindow()).add(self._clock.now_ms())

    def try_acquire(self, service: str) -> bool:
        """Take one repeat out of the budget; return whether there was one."""
        now_ms = self._clock.now_ms()
        since_ms = now_ms - self._window_ms
        requests = self._requests.setdefault(service, _SlidingWindow()).count(since_ms)
        repeats = self._repeats.setdefault(service, _SlidingWindow())
        allowed = SAFETY_FACTOR * (self._ratio * requests + self._slack / max(1, self.routers))
        if repeats.count(since_ms) + 1 > allowed:
            return False
        repeats.add(now_ms)
        return True
