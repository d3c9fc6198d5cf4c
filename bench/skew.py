"""Samples the load imbalance between engines."""

from __future__ import annotations

import statistics
from typing import Final

from gypsumrouter.standins import Engine
from gypsumrouter.util.clock import Clock

SAMPLE_MS: Final = 20


class SkewSampler:
    """Samples the running and waiting requests of the engines of one pool.

    `ratios` has the ratio of the largest load to the mean, for samples whose largest load is above
    the floor; below it, no cap applies. `late_ms` has the delay of each sample and shows whether
    the benchmark process was overloaded. After `end_arrivals`, ratios are added to `drain_ratios`,
    as running requests are not moved.
    """

    __slots__ = ("_draining", "_engines", "_floor", "drain_ratios", "late_ms", "ratios")

    def __init__(self, *, engines: tuple[Engine, ...], floor: int) -> None:
        self._engines = engines
        self._floor = floor
        self.late_ms: list[float] = []
        self.ratios: list[float] = []
        self.drain_ratios: list[float] = []
        self._draining = False

    async def async_run(self, clock: Clock) -> None:
        """Sample until cancelled."""
        while True:
            due_ms = clock.now_ms() + SAMPLE_MS
            await clock.async_sleep(SAMPLE_MS)
            self.late_ms.append(clock.now_ms() - due_ms)
            self.sample()

    def sample(self) -> None:
        """Take one sample."""
        loads = [engine.load for engine in self._engines]
        if max(loads) <= self._floor:
            return
        ratios = self.drain_ratios if self._draining else self.ratios
        ratios.append(max(loads) / statistics.fmean(loads))

    def end_arrivals(self) -> None:
        """Record that no further request is placed."""
        self._draining = True

    def get_share_above(self, cap: float) -> float:
        """Return the share of the samples above the floor whose ratio exceeds `cap`."""
        return sum(ratio > cap for ratio in self.ratios) / max(1, len(self.ratios))
