"""The retry budget of one router: a share of its traffic."""

from __future__ import annotations

from gypsumrouter.gateway.const import RETRY_BURST


class RetryBudget:
    """Bounds retries to a share of the requests, so that failures do not multiply the load.

    Each request adds `ratio` to the budget and each retry takes 1 from it. The budget starts full
    and never holds more than `burst`.
    """

    __slots__ = ("_burst", "_ratio", "_tokens", "denied", "spent")

    def __init__(self, *, ratio: float, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst if ratio > 0 else 0.0
        self._tokens = self._burst
        self.spent = 0
        self.denied = 0

    @property
    def available(self) -> float:
        """Return how many retries may be made now."""
        return self._tokens

    def record_request(self) -> None:
        """Add the share of one request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Take one retry, or return False when the budget is spent."""
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
