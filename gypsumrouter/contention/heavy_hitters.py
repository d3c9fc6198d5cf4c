"""A space-saving summary: the largest of many decaying sums, with a bounded number of counters."""

from __future__ import annotations

import math
from typing import Final

# The decay factor since the landmark is kept below exp(this), far from the limit of a float.
MAX_EXPONENT: Final = 50.0


class HeavyHitters:
    """Sums per key that decay by a factor of e in each `window_ms`, exact for up to `size` keys.

    A new key takes the counter of the smallest one when all are in use. All sums are stored as of a
    common landmark time, so that decay changes neither the stored values nor their order.
    """

    __slots__ = ("_bounds", "_landmark_ms", "_last_ms", "_size", "_sums", "_total", "_window_ms")

    def __init__(self, *, size: int, window_ms: int) -> None:
        self._size = size
        self._window_ms = window_ms
        self._landmark_ms = 0
        # What was counted for each key since it has a counter, and upper bounds on its true sum,
        # which include the bound of the key that had the counter before.
        self._sums: dict[str, float] = {}
        self._bounds: dict[str, float] = {}
        self._last_ms: dict[str, int] = {}
        self._total = 0.0

    def __len__(self) -> int:
        return len(self._sums)

    def add(self, key: str, amount: float, *, now_ms: int) -> None:
        """Add an amount to the sum of a key."""
        if now_ms - self._landmark_ms > MAX_EXPONENT * self._window_ms:
            self._move_landmark(now_ms)
        stored = amount / self._get_decay(now_ms)
        self._total += stored
        self._last_ms[key] = now_ms
        if key in self._sums:
            self._sums[key] += stored
            self._bounds[key] += stored
            return
        replaced = self._take_smallest() if len(self._sums) >= self._size else 0.0
        self._sums[key] = stored
        self._bounds[key] = replaced + stored

    def get_total(self, *, now_ms: int) -> float:
        """Return the sum over all keys, also those without a counter."""
        return self._total * self._get_decay(now_ms)

    def get(self, key: str, *, now_ms: int) -> float:
        """Return the certain part of the sum of a key; 0 without a counter."""
        return self._sums.get(key, 0.0) * self._get_decay(now_ms)

    def get_sums(self, *, now_ms: int) -> dict[str, float]:
        """Return the certain part of each counted sum; the true sum is not lower."""
        decay = self._get_decay(now_ms)
        return {key: stored * decay for key, stored in self._sums.items()}

    def get_max_uncounted(self, *, now_ms: int) -> float:
        """Return an upper bound on the sum of any key without a counter."""
        if len(self._sums) < self._size:
            return 0.0
        return min(self._bounds.values()) * self._get_decay(now_ms)

    def drop_idle(self, *, before_ms: int) -> None:
        """Drop the keys without an amount since a time."""
        for key in [key for key, last_ms in self._last_ms.items() if last_ms < before_ms]:
            self._drop(key)

    def _take_smallest(self) -> float:
        """Remove the counter with the smallest bound and return the bound."""
        key = min(self._bounds, key=self._bounds.__getitem__)
        smallest = self._bounds[key]
        self._drop(key)
        return smallest

    def _drop(self, key: str) -> None:
        del self._sums[key], self._bounds[key], self._last_ms[key]

    def _move_landmark(self, now_ms: int) -> None:
        decay = self._get_decay(now_ms)
        self._landmark_ms = now_ms
        self._total *= decay
        self._sums = {key: stored * decay for key, stored in self._sums.items()}
        self._bounds = {key: stored * decay for key, stored in self._bounds.items()}

    def _get_decay(self, now_ms: int) -> float:
        return math.exp((self._landmark_ms - now_ms) / self._window_ms)
