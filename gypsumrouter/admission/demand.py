"""Expected interactive demand and the number of slots to keep free for it."""

from __future__ import annotations

import math
from statistics import NormalDist
from typing import Final

from gypsumrouter.admission.const import (
    DEMAND_TIME_CONSTANT_MS,
    MAX_PEAK_QUANTILE,
    MIN_HOLD_MS,
    MIN_PEAK_QUANTILE,
)

_NORMAL: Final = NormalDist()


class InteractiveDemand:
    """Exponential moving average of the running and waiting interactive requests.

    Batch requests that have started their response can't be preempted, so slots are kept free for
    interactive requests expected to arrive.
    """

    __slots__ = ("_changed_ms", "_current", "_mean")

    def __init__(self) -> None:
        self._mean = 0.0
        self._current = 0
        self._changed_ms = 0

    def record(self, *, interactive: int, now_ms: int) -> None:
        """Record the current number of running and waiting interactive requests."""
        self._mean = self.get_mean(now_ms)
        self._current = interactive
        self._changed_ms = now_ms

    def get_mean(self, now_ms: int) -> float:
        """Return the moving average at a time."""
        decay = math.exp((self._changed_ms - now_ms) / DEMAND_TIME_CONSTANT_MS)
        return self._current + (self._mean - self._current) * decay

    def estimate_peak(self, *, now_ms: int, quantile: float) -> float:
        """Return the number of requests that is not exceeded for a `quantile` of the time.

        Assumes independent arrivals, so the standard deviation is the square root of the mean.
        """
        mean = max(self.get_mean(now_ms), self._current)
        return mean + _NORMAL.inv_cdf(quantile) * math.sqrt(mean)


def choose_demand_quantile(*, batch_cost: float, interactive_cost: float) -> float:
    """Return the quantile of interactive demand to keep slots for.

    Both costs are penalties per millisecond of slot time. This is the newsvendor rule: one more
    slot for batch work must gain more than the expected penalty for interactive work.
    """
    if interactive_cost <= 0:
        return MIN_PEAK_QUANTILE
    quantile = 1 - batch_cost / (batch_cost + interactive_cost)
    return min(max(quantile, MIN_PEAK_QUANTILE), MAX_PEAK_QUANTILE)


def count_slots_needed(*, peak: float, hold_ms: float, slack_ms: float) -> int:
    """Return the slots needed for a peak of requests that may each wait `slack_ms`.

    During that time each slot is released `slack_ms / hold_ms` times.
    """
    hold_ms = max(hold_ms, MIN_HOLD_MS)
    return math.ceil(peak * hold_ms / (hold_ms + max(0.0, slack_ms)))


def get_cost_per_ms(*, penalty: float, hold_ms: float) -> float:
    """Return the penalty per millisecond of slot time."""
    return penalty / max(hold_ms, MIN_HOLD_MS)
