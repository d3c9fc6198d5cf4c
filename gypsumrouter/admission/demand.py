"""How many slots interactive work is about to need, and how many batch work may hold."""

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
    """The interactive requests that run or wait, as a mean over the last seconds.

    A request that has begun to answer can't give way, so slots are decay free for those to come.
    """

    __slots__ = ("_changed_ms", "_current", "_mean")

    def __init__(self) -> None:
        self._mean = 0.0
        self._current = 0
        self._changed_ms = 0

    def record(self, *, interactive: int, now_ms: int) -> None:
        """Set how many run or wait from now on."""
        self._mean = self.get_mean(now_ms)
        self._current = interactive
        self._changed_ms = now_ms

    def get_mean(self, now_ms: int) -> float:
        """Return the mean, in which the time before fades."""
        decay = math.exp((self._changed_ms - now_ms) / DEMAND_TIME_CONSTANT_MS)
        return self._current + (self._mean - self._current) * decay

    def estimate_peak(self, *, now_ms: int, quantile: float) -> float:
        """Return how many there will be at most, but for a share of 1 - `quantile` of the time.

        Arrivals are independent of each other, so their number varies by its square root.
        """
        mean = max(self.get_mean(now_ms), self._current)
        return mean + _NORMAL.inv_cdf(quantile) * math.sqrt(mean)


def choose_demand_quantile(*, batch_cost: float, interactive_cost: float) -> float:
    """Return how sure it has to be that interactive work finds a slot.

    Both are penalties for each millisecond of a slot. It is the rule for stock of uncertain
    demand: a slot more for batch work must be worth what it makes interactive work miss.
    """
    if interactive_cost <= 0:
        return MIN_PEAK_QUANTILE
    quantile = 1 - batch_cost / (batch_cost + interactive_cost)
    return min(max(quantile, MIN_PEAK_QUANTILE), MAX_PEAK_QUANTILE)


def count_slots_needed(*, peak: float, hold_ms: float, slack_ms: float) -> int:
    """Return how many slots serve a peak of requests that may each wait for `slack_ms`.

    In that time each slot is released `slack_ms / hold_ms` times.
    """
    hold_ms = max(hold_ms, MIN_HOLD_MS)
    return math.ceil(peak * hold_ms / (hold_ms + max(0.0, slack_ms)))


def get_cost_per_ms(*, penalty: float, hold_ms: float) -> float:
    """Return the penalty for each millisecond of a slot."""
    return penalty / max(hold_ms, MIN_HOLD_MS)
