"""Measurements of the demo: load skew across engines and control traffic."""

from __future__ import annotations

import statistics
from typing import Any

from gypsumrouter.demo.plan import SAMPLE_MS
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.standins import Engine
from gypsumrouter.util.clock import Clock


class SkewSampler:
    """Samples how evenly the load is spread over the engines of one pool.

    Samples in which no engine has more than `floor` requests are ignored: at low load, a large
    ratio to the mean is harmless.
    """

    __slots__ = ("_ratios", "engines", "floor", "peak_load")

    def __init__(self, *, engines: tuple[Engine, ...], floor: int) -> None:
        self._ratios: list[float] = []
        self.engines = engines
        self.floor = floor
        self.peak_load = 0

    async def async_run(self, clock: Clock) -> None:
        """Sample until cancelled."""
        while True:
            await clock.async_sleep(SAMPLE_MS)
            self.sample()

    def sample(self) -> None:
        """Sample the current load of all engines."""
        loads = [engine.load for engine in self.engines]
        self.peak_load = max(self.peak_load, *loads)
        if max(loads) > self.floor:
            self._ratios.append(max(loads) / statistics.fmean(loads))

    @property
    def load_skew(self) -> float | None:
        """Return the largest ratio of maximum to mean load above the floor, or None."""
        return max(self._ratios, default=None)

    @property
    def work_skew(self) -> float:
        """Return the ratio of the maximum to the mean of the tokens that the engines produced."""
        produced = [engine.counts.produced_tokens for engine in self.engines]
        mean = statistics.fmean(produced)
        return max(produced) / mean if mean else 0.0


def sum_control_bytes(processes: list[RunningProcess]) -> int:
    """Return the bytes of control traffic that these processes have sent and received."""
    return sum(_get_control_bytes(process.app.dump()) for process in processes)


def _get_control_bytes(sections: dict[str, Any]) -> int:
    control: dict[str, int] = sections["link"]["control_bytes"]
    return control["sent"] + control["received"]
