"""The retry budget of one router, proportional to its traffic."""

from __future__ import annotations

from gypsumrouter.gateway.const import RETRY_BURST


class RetryBudget:
    """Token bucket that limits retries to a ratio of the requests, to avoid retry storms.

    Each request adds `ratio` tokens and each retry takes one. The bucket starts full and holds at
    most `burst` tokens; it is always empty if `ratio` is 0.
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
        """Return the number of tokens: retries that may be made now."""
        return self._tokens

    def record_request(self) -> None:
        """Add the tokens for one request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Take the token for one retry; return False if there is none."""
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
