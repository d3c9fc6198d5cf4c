"""The rate at which a router's requests to a service end and leave room for others.

Here and in `return_lane` and `returns`, a release is the end of an attempt at an upstream. In the
admission queue it is the end of a wait.
"""

from __future__ import annotations

import math
from typing import Final

# Time constant of the decaying count of releases. Shorter ones follow single long requests, longer
# ones miss the loss of half of the upstreams for seconds.
WINDOW_MS: Final = 2_000
# The rate of a first few releases is taken over at least this time.
MIN_AGE_MS: Final = 200


class ReleaseRate:
    """Exponentially decaying count of releases."""

    __slots__ = ("_count", "_first_ms", "_last_ms")

    def __init__(self) -> None:
        self._count = 0.0
        self._first_ms: int | None = None
        self._last_ms = 0

    def note(self, now_ms: int) -> None:
        """Count a release."""
        if self._first_ms is None:
            self._first_ms = self._last_ms = now_ms
        self._count = self._get_count(now_ms) + 1
        self._last_ms = max(self._last_ms, now_ms)

    def get_interval_ms(self, now_ms: int) -> float | None:
        """Return the mean time between two releases, None without recent ones."""
        count = self._get_count(now_ms)
        if self._first_ms is None or count < 1:
            return None
        age_ms = max(MIN_AGE_MS, now_ms - self._first_ms)
        # Before the count has settled, it covers only the time since the first release.
        return WINDOW_MS * -math.expm1(-age_ms / WINDOW_MS) / count

    def _get_count(self, now_ms: int) -> float:
        return self._count * math.exp(-max(0, now_ms - self._last_ms) / WINDOW_MS)
