"""Budgets of one router: retries as a share of the traffic, and memory."""

from __future__ import annotations

from gypsumrouter.gateway.const import RETRY_BURST


class RetryBudget:
    """Bounds retries to a share of the requests, so that failures do not multiply the load.

    Each request adds `ratio` to the budget and each retry takes 1 from it. The budget starts full
    and never holds more than `burst`.
    """

    __slots__ = ("_burst", "_left", "_ratio", "spent", "starved")

    def __init__(self, *, ratio: float, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst if ratio > 0 else 0.0
        self._left = self._burst
        self.spent = 0
        self.starved = 0

    @property
    def left(self) -> float:
        """Return how many retries may be made now."""
        return self._left

    def note_request(self) -> None:
        """Add the share of one request."""
        self._left = min(self._burst, self._left + self._ratio)

    def take(self) -> bool:
        """Take one retry, or return False when the budget is spent."""
        if self._left < 1.0:
            self.starved += 1
            return False
        self._left -= 1.0
        self.spent += 1
        return True


class MemoryBudget:
    """Bounds the bytes that many requests hold together."""

    __slots__ = ("limit", "used")

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes, or return False when there is no room."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Give `size` bytes back."""
        self.used -= size


class HeldBytes:
    """What one request holds of a memory budget."""

    __slots__ = ("_budget", "size")

    def __init__(self, *, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes more, or return False when there is no room."""
        if not self._budget.reserve(size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Give everything back; safe to call more than once."""
        self._budget.release(self.size)
        self.size = 0
