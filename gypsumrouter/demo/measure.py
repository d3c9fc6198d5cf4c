"""What the demo measures while it plays: skew across engines and control traffic."""

from __future__ import annotations

import statistics
from typing import Any

from gypsumrouter.demo.plan import SAMPLE_MS
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.standins import Engine
from gypsumrouter.util.clock import Clock


class SkewSampler:
    """How evenly the engines of one pool are loaded, sampled while the demo plays.

    Where no engine holds more than `floor` requests, a larger multiple of the mean does no harm.
    """

    __slots__ = ("_ratios", "busiest", "engines", "floor")

    def __init__(self, *, engines: tuple[Engine, ...], floor: int) -> None:
        self._ratios: list[float] = []
        self.engines = engines
        self.floor = floor
        self.busiest = 0

    async def async_run(self, clock: Clock) -> None:
        """Sample until cancelled."""
        while True:
            await clock.async_sleep(SAMPLE_MS)
            self.sample()

    def sample(self) -> None:
        """Take one sample."""
        loads = [engine.load for engine in self.engines]
        self.busiest = max(self.busiest, *loads)
        if max(loads) > self.floor:
            self._ratios.append(max(loads) / statistics.fmean(loads))

    @property
    def load_skew(self) -> float | None:
        """Return the largest load over the mean, None while no engine was above the floor."""
        return max(self._ratios, default=None)

    @property
    def work_skew(self) -> float:
        """Return the most tokens that one engine has produced over the mean of all."""
        produced = [engine.counts.produced_tokens for engine in self.engines]
        mean = statistics.fmean(produced)
        return max(produced) / mean if mean else 0.0


def sum_control_bytes(products: list[RunningProcess]) -> int:
    """Return the bytes that some processes have sent and received to control each other."""
    return sum(_get_control_bytes(product.app.dump()) for product in products)


def _get_control_bytes(sections: dict[str, Any]) -> int:
    control: dict[str, int] = sections["link"]["control_bytes"]
    return control["sent"] + control["received"]
