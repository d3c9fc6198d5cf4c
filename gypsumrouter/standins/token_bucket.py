"""A token bucket that limits the rate of calls to a stand-in."""

from __future__ import annotations

from gypsumrouter.const import MS_PER_S
from gypsumrouter.util.clock import Clock


class TokenBucket:
    """Allow `rate_per_s` calls per second, with bursts of up to `burst` calls."""

    __slots__ = ("_burst", "_clock", "_refilled_at_ms", "_tokens", "rate_per_s")

    def __init__(self, *, clock: Clock, rate_per_s: float, burst: float) -> None:
        self._clock = clock
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at_ms = clock.now_ms()

    def try_acquire(self, *, reserved_per_s: float = 0) -> bool:
        """Take one token if there is one; `reserved_per_s` of the rate is not refilled."""
        now_ms = self._clock.now_ms()
        rate = max(0.0, self.rate_per_s - reserved_per_s)
        refill = (now_ms - self._refilled_at_ms) * rate / MS_PER_S
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
