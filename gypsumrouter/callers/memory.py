"""Bounds on the memory that bodies and answers take together."""

from __future__ import annotations


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


class MemoryReservation:
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
