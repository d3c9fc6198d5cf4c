"""The load of a stand-in over time, for delayed load reports and load skew."""

from __future__ import annotations

from collections import deque
from typing import Final

from msgspec import Struct

from gypsumrouter.util.clock import Clock

MAX_SAMPLES: Final = 200_000


class LoadSample(Struct, frozen=True, kw_only=True):
    """The load since `now_ms` (monotonic)."""

    now_ms: int
    running: int
    waiting: int

    @property
    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return self.running + self.waiting


class LoadHistory:
    """The latest changes of the load, at most `MAX_SAMPLES`."""

    __slots__ = ("_clock", "max_load", "samples")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.max_load = 0
        self.samples: deque[LoadSample] = deque(maxlen=MAX_SAMPLES)
        self.record(running=0, waiting=0)

    def record(self, *, running: int, waiting: int) -> None:
        """Record the load if it has changed."""
        if self.samples and (self.samples[-1].running, self.samples[-1].waiting) == (
            running,
            waiting,
        ):
            return
        sample = LoadSample(now_ms=self._clock.now_ms(), running=running, waiting=waiting)
        self.samples.append(sample)
        self.max_load = max(self.max_load, sample.load)

    def get_at(self, now_ms: int) -> LoadSample:
        """Return the load at `now_ms`, or the oldest sample if it is later."""
        for sample in reversed(self.samples):
            if sample.now_ms <= now_ms:
                return sample
        return self.samples[0]

    def get_lagged(self, lag_ms: int) -> LoadSample:
        """Return the load of `lag_ms` ago."""
        return self.get_at(self._clock.now_ms() - lag_ms)
