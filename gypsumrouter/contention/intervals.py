"""Times between releases of waiting requests, by their class, for estimates of the wait."""

from __future__ import annotations

from gypsumrouter.contention.const import INITIAL_RELEASE_INTERVAL_MS, RELEASE_EWMA_WEIGHT


class ReleaseIntervals:
    """Moving averages of the time between two releases of a class, while requests of it wait.

    The less urgent classes are released more rarely than their places in the queue suggest, because
    more urgent requests that arrive later go before them.
    """

    __slots__ = ("_intervals_ms", "_last_ms")

    def __init__(self) -> None:
        self._intervals_ms: dict[str, float] = {}
        # Time of the last release, or since when requests of the class wait.
        self._last_ms: dict[str, int] = {}

    def note_waiting(self, name: str, *, now_ms: int) -> None:
        """Record that a request of a class begins to wait."""
        self._last_ms.setdefault(name, now_ms)

    def note_released(self, name: str, *, now_ms: int) -> None:
        """Record a release."""
        last_ms = self._last_ms.get(name)
        if last_ms is None:
            return
        mean_ms = self._intervals_ms.get(name, INITIAL_RELEASE_INTERVAL_MS)
        mean_ms += RELEASE_EWMA_WEIGHT * (now_ms - last_ms - mean_ms)
        self._intervals_ms[name] = mean_ms
        self._last_ms[name] = now_ms

    def stop(self, name: str) -> None:
        """Stop the measurement of a class that has no waiting request."""
        self._last_ms.pop(name, None)

    def get(self, name: str, *, now_ms: int) -> float:
        """Return the expected time between two releases of a class, in milliseconds.

        The time since the last release counts as an interval if it is longer than the average.
        """
        mean_ms = self._intervals_ms.get(name, INITIAL_RELEASE_INTERVAL_MS)
        since_ms = now_ms - self._last_ms.get(name, now_ms)
        return mean_ms + RELEASE_EWMA_WEIGHT * max(0.0, since_ms - mean_ms)

    def dump(self) -> dict[str, float]:
        """Return the intervals of all classes for the state dump."""
        return {name: round(value, 1) for name, value in sorted(self._intervals_ms.items())}
