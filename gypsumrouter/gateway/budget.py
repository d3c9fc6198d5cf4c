"""The retry budget of one router, proportional to its traffic."""

from __future__ import annotations

from gypsumrouter.gateway.const import RETRY_BURST
from gypsumrouter.util.token_bucket import TokenBucket


class RetryBudget:
    """Limits retries to a ratio of the requests, to avoid retry storms.

    Each request adds `ratio` retries. The budget starts with `burst` retries, the most that it
    holds; it is always empty if `ratio` is 0.
    """

    __slots__ = ("_bucket", "_ratio", "denied", "spent")

    def __init__(self, *, ratio: float, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        capacity = burst if ratio > 0 else 0.0
        self._bucket = TokenBucket(capacity=capacity, tokens=capacity)
        self.spent = 0
        self.denied = 0

    @property
    def available(self) -> float:
        """Return the number of retries that may be made now."""
        return self._bucket.tokens

    def record_request(self) -> None:
        """Add the retries that one request allows."""
        self._bucket.add(self._ratio)

    def try_acquire(self) -> bool:
        """Take one retry; return False if there is none."""
        if not self._bucket.try_take():
            self.denied += 1
            return False
        self.spent += 1
        return True
