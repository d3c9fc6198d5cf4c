"""Compares variants of deciding over the same loads, paired by seed.

`python -m bench compare [DECISION] [--seeds N]`: each variant plays each load with each seed; a table
for each load has the mean and the spread of what callers got, and the share of seeds that a variant
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
SERVICE_TIME_MS: Final = 90.0
# How long each play lasts, in units of a request's work.
DURATION_SERVICE_TIMES: Final = 120
# How much arrives, and how many upstreams serve it.
PLAIN_LOADS: Final = ((0.6, 3), (0.85, 3), (0.85, 2), (1.0, 3), (1.15, 1), (1.4, 2))


class PlainLoad(Struct, frozen=True, kw_only=True):
    """How much arrives against what the upstreams of a plain service serve."""

    offered_load: float
    upstreams: int

    @property
    def name(self) -> str:
        """Return a name for tables."""
        return f"{self.offered_load:g} of what {self.upstreams} serve"


class Variant(Struct, frozen=True, kw_only=True):
    """One variant of deciding, by the mechanisms that it does without."""

    name: str
    without: frozenset[Mechanism] = frozenset()


class Decision(Struct, frozen=True, kw_only=True):
    """A decision with its variants, the kept one first, and the loads that it answers."""

    variants: tuple[Variant, ...]
    loads: tuple[PlainLoad, ...]


DECISIONS: Final = {
    "plain": Decision(
        variants=(
            Variant(name="spread, hopeless refused"),
            Variant(name="spread", without=frozenset({Mechanism.DEADLINE_ADMISSION})),
            Variant(
                name="least loaded",
                without=frozenset({Mechanism.DEADLINE_ADMISSION, Mechanism.PLAIN_OWN_LOAD}),
            ),
            Variant(
                name="least loaded, hopeless refused",
                without=frozenset({Mechanism.PLAIN_OWN_LOAD}),
            ),
        ),
        loads=tuple(
            PlainLoad(offered_load=offered_load, upstreams=upstreams)
            for offered_load, upstreams in PLAIN_LOADS
        ),
    ),
}


def run_replay(variant: Variant, load: PlainLoad, seed: int) -> Tally:
    """Return how the requests of one play ended."""
    replay = PlainReplay(
        work_ms=SERVICE_TIME_MS, upstreams=load.upstreams, without=variant.without, seed=seed
    )
    return replay.play(
        pressure=load.offered_load, duration_ms=DURATION_SERVICE_TIMES * SERVICE_TIME_MS
    )


def compare(decision: Decision, load: PlainLoad, seeds: int) -> dict[str, list[Tally]]:
    """Return the plays of each variant, in the order of the seeds."""
    return {
        variant.name: [run_replay(variant, load, seed) for seed in range(1, seeds + 1)]
        for variant in decision.variants
    }


def get_win_share(results: dict[str, list[Tally]], name: str) -> float:
    """Return the share of seeds in which no other variant had more credit."""
    per_seed = list(zip(*results.values(), strict=True))
    best = [max(tally.credit for tally in tallies) for tallies in per_seed]
    own = [tally.credit for tally in results[name]]
    won = sum(1 for o, b in zip(own, best, strict=True) if o >= b)
    return won / len(best)


def print_comparison(load: PlainLoad, results: dict[str, list[Tally]]) -> dict[str, float]:
    """Print the table of one load and return the mean credit of each variant."""
    means: dict[str, float] = {}
    rows = []
    for name, tallies in results.items():
        credits_ = [tally.credit for tally in tallies]
        means[name] = round(statistics.mean(credits_), 4)
        spread = statistics.stdev(credits_) if len(credits_) > 1 else 0.0
        rows.append(
            (
                name,
                means[name],
                spread,
                *(
                    statistics.mean(getattr(tally, part) / tally.asked for tally in tallies)
                    for part in ("in_time", "late", "refused")
                ),
                get_win_share(results, name),
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
