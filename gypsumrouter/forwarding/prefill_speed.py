"""Estimates the prefill speed of engines from times to the first event.

Only uncontended requests are measured: those whose upstream had no other prompt waiting for
prefill, as far as this router knows.
"""

from __future__ import annotations

from typing import Final

# Estimate before the first measurement.
PRIOR_TOKENS_PER_MS: Final = 80.0
# Bounds of the estimate.
# They are half and ten times the speeds of known engines; a value outside is a wrong measurement.
MIN_TOKENS_PER_MS: Final = 40.0
MAX_TOKENS_PER_MS: Final = 1_000.0
# Time to the first event without prefill, before the first measurement.
PRIOR_BASE_MS: Final = 60.0
# Prompts up to this size are prefilled within a few milliseconds; they measure the base latency.
SHORT_TOKENS: Final = 200
# From this size on prefill takes most of the time to the first event.
LONG_TOKENS: Final = 4_000
# Weight of a measurement in the exponentially weighted moving averages.
EWMA_WEIGHT: Final = 0.1
# Measurements are clamped to this factor above and below the estimate.
# A request that waited for something else must not make all engines look slow.
OUTLIER_FACTOR: Final = 2.0


class PrefillSpeed:
    """A router's estimate of the prefill speed, common to all engines."""

    __slots__ = ("_base_ms", "_ms_per_token")

    def __init__(self) -> None:
        self._base_ms = PRIOR_BASE_MS
        self._ms_per_token = 1 / PRIOR_TOKENS_PER_MS

    @property
    def tokens_per_ms(self) -> float:
        """Return how many prompt tokens an engine prefills per millisecond."""
        return 1 / self._ms_per_token

    @property
    def base_ms(self) -> float:
        """Return the time to the first event of a request without prefill, in milliseconds."""
        return self._base_ms

    def note(self, *, tokens: int, first_event_ms: int) -> None:
        """Update the estimate with the time to the first event of an uncontended request."""
        if tokens <= SHORT_TOKENS:
            self._base_ms += EWMA_WEIGHT * (_clamp(first_event_ms, self._base_ms) - self._base_ms)
        elif tokens >= LONG_TOKENS:
            measured = max(0.0, first_event_ms - self._base_ms) / tokens
            step = _clamp(measured, self._ms_per_token) - self._ms_per_token
            slowest, fastest = 1 / MIN_TOKENS_PER_MS, 1 / MAX_TOKENS_PER_MS
            self._ms_per_token = min(slowest, max(fastest, self._ms_per_token + EWMA_WEIGHT * step))


def _clamp(measured: float, estimate: float) -> float:
    return min(estimate * OUTLIER_FACTOR, max(estimate / OUTLIER_FACTOR, measured))
