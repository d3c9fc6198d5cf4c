"""A token bucket, which limits how often something may happen."""

from __future__ import annotations


class TokenBucket:
    """Holds up to `capacity` tokens; each permitted operation takes one."""

    __slots__ = ("_capacity", "tokens")

    def __init__(self, *, capacity: float, tokens: float) -> None:
        self._capacity = capacity
        self.tokens = min(capacity, tokens)

    @property
    def capacity(self) -> float:
        """Return the largest number of tokens."""
        return self._capacity

    def set_capacity(self, capacity: float) -> None:
        """Change the capacity; tokens above it are lost."""
        self._capacity = capacity
        self.tokens = min(capacity, self.tokens)

    def add(self, tokens: float) -> None:
        """Add tokens; those above the capacity are lost."""
        self.tokens = min(self._capacity, self.tokens + tokens)

    def try_take(self) -> bool:
        """Take one token; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
