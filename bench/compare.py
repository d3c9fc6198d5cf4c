"""Compares ways of deciding over the same loads, paired by seed.

`python -m bench compare [DECISION] [--seeds N]`: each way plays each load with each seed; a table
for each load has the mean and the spread of what callers got, and the share of seeds that a way
won.
"""

from __future__ import annotations

import argparse
import statistics
from typing import Final

from msgspec import Struct

from bench.plain_replay import PlainReplay, Tally
from bench.report import print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK
from gypsumrouter.mechanisms import Mechanism

SEEDS: Final = 5
WORK_MS: Final = 90.0
# How long each play lasts, in units of a request's work.
DURATION: Final = 120
# How much arrives, and how many upstreams serve it.
PLAIN_LOADS: Final = ((0.6, 3), (0.85, 3), (0.85, 2), (1.0, 3), (1.15, 1), (1.4, 2))


class PlainLoad(Struct, frozen=True, kw_only=True):
    """How much arrives against what the upstreams of a plain service serve."""

    pressure: float
    upstreams: int

    @property
    def name(self) -> str:
        """Return a name for tables."""
        return f"{self.pressure:g} of what {self.upstreams} serve"


class Way(Struct, frozen=True, kw_only=True):
    """One way of deciding, by the mechanisms that it does without."""

    name: str
    without: frozenset[Mechanism] = frozenset()


class Decision(Struct, frozen=True, kw_only=True):
    """A decision with its ways, the kept one first, and the loads that it answers."""

    ways: tuple[Way, ...]
    loads: tuple[PlainLoad, ...]


DECISIONS: Final = {
    "plain": Decision(
        ways=(
            Way(name="spread, hopeless refused"),
            Way(name="spread", without=frozenset({Mechanism.DEADLINE_ADMISSION})),
            Way(
                name="least loaded",
                without=frozenset({Mechanism.DEADLINE_ADMISSION, Mechanism.PLAIN_OWN_LOAD}),
            ),
            Way(
                name="least loaded, hopeless refused",
                without=frozenset({Mechanism.PLAIN_OWN_LOAD}),
            ),
        ),
        loads=tuple(
            PlainLoad(pressure=pressure, upstreams=upstreams) for pressure, upstreams in PLAIN_LOADS
        ),
    ),
}


def play(way: Way, load: PlainLoad, seed: int) -> Tally:
    """Return how the requests of one play ended."""
    replay = PlainReplay(work_ms=WORK_MS, upstreams=load.upstreams, without=way.without, seed=seed)
    return replay.play(pressure=load.pressure, duration_ms=DURATION * WORK_MS)


def compare(decision: Decision, load: PlainLoad, seeds: int) -> dict[str, list[Tally]]:
    """Return the plays of each way, in the order of the seeds."""
    return {
        way.name: [play(way, load, seed) for seed in range(1, seeds + 1)] for way in decision.ways
    }


def count_won(played: dict[str, list[Tally]], name: str) -> float:
    """Return the share of seeds in which no other way had more credit."""
    rounds = list(zip(*played.values(), strict=True))
    best = [max(tally.credit for tally in tallies) for tallies in rounds]
    own = [tally.credit for tally in played[name]]
    won = sum(1 for o, b in zip(own, best, strict=True) if o >= b)
    return won / len(best)


def print_comparison(load: PlainLoad, played: dict[str, list[Tally]]) -> dict[str, float]:
    """Print the table of one load and return the mean credit of each way."""
    means: dict[str, float] = {}
    rows = []
    for name, tallies in played.items():
        credits_ = [tally.credit for tally in tallies]
        means[name] = round(statistics.mean(credits_), 4)
        spread = statistics.stdev(credits_) if len(credits_) > 1 else 0.0
        rows.append(
            (
                name,
                means[name],
                spread,
                *(
                    statistics.mean(getattr(tally, part) / tally.requests for tally in tallies)
                    for part in ("in_time", "late", "refused")
                ),
                count_won(played, name),
            )
        )
    columns = ("way", "credit", "spread", "in time", "late", "refused", "seeds won")
    print_table(title=load.name, columns=columns, rows=rows)
    return means


def main(argv: list[str]) -> int:
    """Run the bench."""
    parser = argparse.ArgumentParser(prog="python -m bench compare")
    parser.add_argument("decision", nargs="?", choices=sorted(DECISIONS), default="plain")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    arguments = parser.parse_args(argv)
    decision = DECISIONS[arguments.decision]
    print_machine()
    result: dict[str, float] = {}
    for load in decision.loads:
        means = print_comparison(load, compare(decision, load, arguments.seeds))
        result |= {f"{name}, {load.name}": credit for name, credit in means.items()}
    print_result(result)
    return EXIT_OK
