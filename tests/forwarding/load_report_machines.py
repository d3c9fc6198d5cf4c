"""Machines of plain upstreams that are slow, share their time or report false loads."""

from __future__ import annotations

import random
from typing import Final

from bench.plain_replay import SLOTS, Machine
from gypsumrouter.forwarding.models import LoadReport

# How long a machine keeps a pace, as one that other work interrupts many times a second.
SEGMENT_MS: Final = 120.0
SEGMENTS: Final = 1_000
# Step in which work is summed up over changing paces.
STEP_MS: Final = 10.0


class ReportingMachine(Machine):
    """Reports its true load and pace; the pace varies by up to half around its mean."""

    def __init__(self, *, pace: float = 1.0, varies: bool = False, seed: int = 1) -> None:
        rng = random.Random(seed)
        spread = 0.5 if varies else 0.0
        self._paces = [pace * rng.uniform(1 - spread, 1 + spread) for _ in range(SEGMENTS)]
        self.answered_ms: list[float] = []

    def get_end_ms(self, *, begin_ms: float, work_ms: float) -> float:
        """Return when work ends that is slowed down by the paces until then."""
        at_ms = begin_ms
        while work_ms > 0:
            pace = self._get_pace(at_ms)
            step_ms = min(STEP_MS, work_ms * pace)
            work_ms -= step_ms / pace
            at_ms += step_ms
        return at_ms

    def make_report(self, *, held: int, at_ms: float) -> LoadReport | None:
        """Return the true load and pace."""
        self.answered_ms.append(at_ms)
        return make_report(held, self._get_pace(at_ms))

    def _get_pace(self, at_ms: float) -> float:
        return self._paces[int(at_ms / SEGMENT_MS) % SEGMENTS]


class LyingMachine(ReportingMachine):
    """Reports a constant load and pace, whatever it has, until it is repaired."""

    def __init__(
        self, *, held: int, pace: float = 1.0, true_pace: float = 1.0, until_ms: float = 1e9
    ) -> None:
        super().__init__(pace=true_pace)
        self._held = held
        self._pace = pace
        self._until_ms = until_ms

    def make_report(self, *, held: int, at_ms: float) -> LoadReport | None:
        """Return the false load and pace, later the true ones."""
        if at_ms >= self._until_ms:
            return super().make_report(held=held, at_ms=at_ms)
        self.answered_ms.append(at_ms)
        return make_report(self._held, self._pace)


def make_report(held: int, pace: float | None = None) -> LoadReport:
    """Return the report of an upstream with `held` requests."""
    running = min(held, SLOTS)
    return LoadReport(running=running, waiting=held - running, slots=SLOTS, pace=pace)
