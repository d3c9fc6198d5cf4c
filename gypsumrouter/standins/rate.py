"""A token bucket: how many calls a stand-in takes in a time."""

from __future__ import annotations

from gypsumrouter.const import MS_PER_S
from gypsumrouter.util.clock import Clock


class TokenBucket:
    """Allow `rate_per_s` calls a second, and `burst` at once after a pause."""

    __slots__ = ("_burst", "_clock", "_filled_at_ms", "_level", "rate_per_s")

    def __init__(self, *, clock: Clock, rate_per_s: float, burst: float) -> None:
        self._clock = clock
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._filled_at_ms = clock.now_ms()

    def take(self, *, used_per_s: float = 0) -> bool:
        """Take one call, or return False; `used_per_s` of the rate are taken by others."""
        now_ms = self._clock.now_ms()
        rate = max(0.0, self.rate_per_s - used_per_s)
        refill = (now_ms - self._filled_at_ms) * rate / MS_PER_S
        self._level = min(self._burst, self._level + refill)
        self._filled_at_ms = now_ms
        if self._level < 1:
            return False
        self._level -= 1
        return True
