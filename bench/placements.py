"""Replays loads against the placement of the router and simple baselines, in a single process.

`python -m bench placements [--load small|large] [--seed N]`: the baselines are round robin, least
loaded, and hashing without load. Updates between routers are simulated.
"""

from __future__ import annotations

import argparse
import heapq
from collections.abc import Iterable
from typing import Final

from msgspec import Struct, field

from bench.placement_engine import Engine, RequestTiming
from bench.placement_load import LARGE, SMALL, Arrival, Load, make_arrivals
from bench.placement_strategies import STRATEGIES, Strategy, list_engines
from bench.report import print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK

# A load above `SKEW_FACTOR` times the mean plus `SKEW_SLACK` requests counts as skewed.
SKEW_FACTOR: Final = 2.0
SKEW_SLACK: Final = 3
LOADS: Final = {"small": SMALL, "large": LARGE}
PERCENT: Final = 100


class Outcome(Struct, kw_only=True):
    """Results of replaying a load with one strategy; tokens unless stated otherwise.

    `skewed` counts requests at engines above the bound on skew, `preempted` those after which the
    prompts of running requests exceeded the engine's memory, so that it has to preempt one.
    """

    first_ms: list[float] = field(default_factory=list)
    shared: int = 0
    prefilled_first: int = 0
    prefilled_again: int = 0
    copied: int = 0
    skewed: int = 0
    preempted: int = 0
    queued_ms: list[float] = field(default_factory=list)
    prefilled_parts: set[int] = field(default_factory=set)

    def add(self, run: RequestTiming, arrival: Arrival, *, skewed: bool) -> None:
        """Add a request; the first prefill of a part is counted separately from repeated ones."""
        self.first_ms.append(run.first_ms - arrival.at_ms)
        self.queued_ms.append(run.queued_ms)
        self.shared += sum(part.tokens for part in arrival.prompt.shared)
        for part in run.prefilled:
            if part.part in self.prefilled_parts:
                self.prefilled_again += part.tokens
            else:
                self.prefilled_parts.add(part.part)
                self.prefilled_first += part.tokens
        self.copied += run.copied_tokens
        self.skewed += skewed

    def remove_lost(self, lost: Engine, kept: Iterable[Engine]) -> None:
        """Forget the parts that were cached by a lost engine only."""
        self.prefilled_parts = {
            part
            for part in self.prefilled_parts
            if not lost.has_cached(part) or any(engine.has_cached(part) for engine in kept)
        }

    def summarize(self) -> dict[str, float]:
        """Return shares in percent and times in milliseconds."""
        ordered = sorted(self.first_ms)
        count = len(ordered)
        return {
            "read_first_percent": round(PERCENT * self.prefilled_first / self.shared, 2),
            "read_again_percent": round(PERCENT * self.prefilled_again / self.shared, 2),
            "copied_percent": round(PERCENT * self.copied / self.shared, 2),
            "skewed_percent": round(PERCENT * self.skewed / count, 2),
            "first_p50_ms": round(ordered[count // 2], 1),
            "first_p99_ms": round(ordered[count * 99 // 100], 1),
        }


class Replay:
    """Replay of a load with one strategy."""

    __slots__ = (
        "_created",
        "_engines",
        "_load",
        "_outcome",
        "_pending_events",
        "_strategy",
        "_to_replace",
    )

    def __init__(self, load: Load, strategy: Strategy) -> None:
        self._load = load
        self._strategy = strategy
        self._created = 0
        self._engines = {name: self._make_engine() for name in list_engines(load)}
        self._to_replace = list_engines(load)[: round(load.engines * load.lost_share)]
        self._outcome = Outcome()
        # Heap of the first events and ends of running requests, ordered by time.
        self._pending_events: list[tuple[float, int, bool, Arrival, str]] = []

    def run(self, *, seed: int) -> Outcome:
        """Replay the requests generated with a seed."""
        for number, arrival in enumerate(make_arrivals(self._load, seed=seed)):
            self._process_events(arrival.at_ms)
            self._strategy.advance(arrival.at_ms)
            if arrival.at_ms >= self._load.lost_at_ms:
                self._replace_engines()
            self._place(number, arrival)
        return self._outcome

    def _place(self, number: int, arrival: Arrival) -> None:
        choice = self._strategy.choose(arrival, number)
        engine = self._engines[choice.engine]
        source = None if choice.source is None else self._engines[choice.source]
        mean = sum(other.running for other in self._engines.values()) / len(self._engines)
        skewed = engine.running > SKEW_FACTOR * mean + SKEW_SLACK
        run = engine.begin(arrival.prompt, now_ms=arrival.at_ms, source=source)
        self._outcome.add(run, arrival, skewed=skewed)
        self._outcome.preempted += engine.is_overcommitted
        heapq.heappush(
            self._pending_events, (run.first_ms, 2 * number, False, arrival, choice.engine)
        )
        heapq.heappush(
            self._pending_events, (run.end_ms, 2 * number + 1, True, arrival, choice.engine)
        )

    def _process_events(self, now_ms: float) -> None:
        while self._pending_events and self._pending_events[0][0] <= now_ms:
            _, order, is_end, arrival, engine = heapq.heappop(self._pending_events)
            if not is_end:
                self._strategy.record_first_event(arrival, order // 2)
                continue
            if engine in self._engines:
                self._engines[engine].end(arrival.prompt)
            self._strategy.record_end(arrival, order // 2)

    def _replace_engines(self) -> None:
        while self._to_replace:
            name = self._to_replace.pop()
            lost = self._engines.pop(name)
            self._outcome.remove_lost(lost, self._engines.values())
            new = f"engine-{self._created}"
            self._engines[new] = self._make_engine()
            self._strategy.replace_engine(name, new)

    def _make_engine(self) -> Engine:
        slowdowns = self._load.slowdowns
        slowdown = slowdowns[self._created % len(slowdowns)]
        self._created += 1
        slots = self._load.slots if self._load.queues else None
        return Engine(capacity=self._load.engine_tokens, slowdown=slowdown, slots=slots)


def replay(load: Load, strategy: Strategy, *, seed: int) -> Outcome:
    """Replay a load and return the results."""
    return Replay(load, strategy).run(seed=seed)


def main(argv: list[str]) -> int:
    """Replay each load with each strategy and print tables and the JSON result."""
    parser = argparse.ArgumentParser(prog="python -m bench placements")
    parser.add_argument("--load", choices=sorted(LOADS), help="replay only this load")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    print_machine()
    figures: dict[str, dict[str, dict[str, float]]] = {}
    for name, load in LOADS.items():
        if options.load in (None, name):
            figures[name] = _measure(load, seed=options.seed)
    print_result(figures)
    return EXIT_OK


def _measure(load: Load, *, seed: int) -> dict[str, dict[str, float]]:
    measured = {
        name: replay(load, make(load), seed=seed).summarize() for name, make in STRATEGIES.items()
    }
    columns = ("placement", *next(iter(measured.values())))
    rows = [(name, *figures.values()) for name, figures in measured.items()]
    print_table(title=load.name, columns=columns, rows=rows)
    return measured
