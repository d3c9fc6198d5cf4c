"""Compares variants of an algorithm over the same loads, paired by seed.

`python -m bench compare [DECISION] [--seeds N]`: replays each load with each variant and each seed.
A table for each load shows the mean and standard deviation of the credit, and the share of seeds in
which a variant scored best.
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
# Duration of a replay, in multiples of the service time of a request.
DURATION_SERVICE_TIMES: Final = 120
# Offered load as a multiple of the capacity, and number of upstreams.
PLAIN_LOADS: Final = ((0.6, 3), (0.85, 3), (0.85, 2), (1.0, 3), (1.15, 1), (1.4, 2))


class PlainLoad(Struct, frozen=True, kw_only=True):
    """Offered load of a plain service, as a multiple of the capacity of its upstreams."""

    offered_load: float
    upstreams: int

    @property
    def name(self) -> str:
        """Return the name of the load in tables and results."""
        return f"{self.offered_load:g} of what {self.upstreams} serve"


class Variant(Struct, frozen=True, kw_only=True):
    """One variant of an algorithm: the mechanisms that it disables."""

    name: str
    without: frozenset[Mechanism] = frozenset()


class Decision(Struct, frozen=True, kw_only=True):
    """A compared algorithm: its variants, the one in use first, and the loads to replay."""

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
    """Replay a load and return the outcomes of its requests."""
    replay = PlainReplay(
        work_ms=SERVICE_TIME_MS, upstreams=load.upstreams, without=variant.without, seed=seed
    )
    return replay.play(
        pressure=load.offered_load, duration_ms=DURATION_SERVICE_TIMES * SERVICE_TIME_MS
    )


def compare(decision: Decision, load: PlainLoad, seeds: int) -> dict[str, list[Tally]]:
    """Return the outcomes of each variant, in the order of the seeds."""
    return {
        variant.name: [run_replay(variant, load, seed) for seed in range(1, seeds + 1)]
        for variant in decision.variants
    }


def get_win_share(results: dict[str, list[Tally]], name: str) -> float:
    """Return the share of seeds in which no other variant had a higher credit."""
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
                    statistics.mean(getattr(tally, part) / tally.requests for tally in tallies)
                    for part in ("in_time", "late", "refused")
                ),
                get_win_share(results, name),
            )
        )
    columns = ("variant", "credit", "spread", "in time", "late", "refused", "seeds won")
    print_table(title=load.name, columns=columns, rows=rows)
    return means


def main(argv: list[str]) -> int:
    """Run the benchmark."""
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
