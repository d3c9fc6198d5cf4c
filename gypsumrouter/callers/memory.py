"""Limits on the memory used for buffered bodies and answers."""

from __future__ import annotations


class MemoryBudget:
    """Limits the total number of bytes that all requests buffer."""

    __slots__ = ("limit", "used")

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False if that would exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes."""
        self.used -= size


class MemoryReservation:
    """The bytes that one request has reserved from a memory budget."""

    __slots__ = ("_budget", "size")

    def __init__(self, *, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` more bytes; return False if that would exceed the limit of the budget."""
        if not self._budget.reserve(size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Release all reserved bytes; further calls have no effect."""
        self._budget.release(self.size)
        self.size = 0
