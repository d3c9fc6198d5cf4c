"""Compares ways to judge upstreams that fall silent: `python -m bench silences [--seeds N]`."""

from __future__ import annotations

import argparse
from typing import Final

from msgspec import Struct

from bench.report import print_machine, print_result, print_table
from bench.silence_models import DARK, HALF_DEAD, MUTE, Figures, Scenario
from bench.silence_replay import MakeHealth, SilenceReplay
from gypsumrouter.const import EXIT_OK
from gypsumrouter.forwarding.health.silences import SilenceTracker
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import Clock

UPSTREAMS: Final = 40
PERCENT: Final = 100
# Requests per second of the router: 4 and 0.6 for each upstream.
RATES: Final = (160.0, 24.0)
SILENCES_MS: Final = (300, 1_000, 1_700, 3_000)
# 1 of 40 upstreams falls silent every 15 s, otherwise a quarter, half and 90%.
AFFECTED: Final = (1, 10, 20, 36)
LOST: Final = 4


class FailureHealth(HealthTracker):
    """Counts each silence as a failure and remembers none."""

    __slots__ = ()

    def note_silent(self, upstream: str, *, silent_ms: int) -> None:
        """Count a failure."""
        self.note_failure(upstream, reason=f"silent for {silent_ms} ms")


class ObliviousHealth(HealthTracker):
    """Neither counts silences nor remembers them."""

    __slots__ = ()

    def note_silent(self, upstream: str, *, silent_ms: int) -> None:
        """Do nothing."""


class Way(Struct, frozen=True, kw_only=True):
    """A way to judge silence; `tells_parts` is whether parts of streams end a silence."""

    name: str
    make_health: MakeHealth
    tells_parts: bool


def _make_failure(clock: Clock, journal: Journal, silence: SilenceTracker) -> HealthTracker:
    return FailureHealth(clock=clock, journal=journal, silence=silence)


def _make_oblivious(clock: Clock, journal: Journal, silence: SilenceTracker) -> HealthTracker:
    return ObliviousHealth(clock=clock, journal=journal, silence=silence)


def _make_remembered(clock: Clock, journal: Journal, silence: SilenceTracker) -> HealthTracker:
    return HealthTracker(clock=clock, journal=journal, silence=silence)


WAYS: Final = (
    Way(name="failure", make_health=_make_failure, tells_parts=False),
    Way(name="neither", make_health=_make_oblivious, tells_parts=False),
    Way(name="remembered", make_health=_make_remembered, tells_parts=True),
)


def replay(scenario: Scenario, way: Way, seeds: int) -> list[Figures]:
    """Replay a scenario with each seed."""
    return [
        SilenceReplay(scenario, way.make_health, seed=seed, tells_parts=way.tells_parts).run()
        for seed in range(1, seeds + 1)
    ]


def summarize(all_figures: list[Figures]) -> dict[str, float]:
    """Return the sums of several replays per 100 requests, tokens in percent of shared tokens."""
    requests = sum(figures.requests for figures in all_figures)

    def per_100(name: str) -> float:
        count: int = sum(getattr(figures, name) for figures in all_figures)
        return round(PERCENT * count / requests, 2)

    shared = sum(figures.shared_tokens for figures in all_figures)
    again = sum(figures.again_tokens for figures in all_figures)
    copied = sum(figures.copied_tokens for figures in all_figures)
    return {
        "in time": per_100("in_time"),
        "unanswered": per_100("unanswered"),
        "at silent": per_100("at_silent"),
        "replaced": per_100("replaced"),
        "read again": round(PERCENT * again / shared, 2),
        "copied": round(PERCENT * copied / shared, 2),
        "unhealthy": round(sum(f.unhealthy for f in all_figures) / len(all_figures), 1),
    }


def count_sent(all_figures: list[Figures], begin_ms: int, end_ms: int) -> float:
    """Return the requests sent to each gone upstream in a span after its loss."""
    count = sum(
        begin_ms <= after_ms < end_ms
        for figures in all_figures
        for after_ms in figures.sent_after_ms
    )
    return round(count / LOST / len(all_figures), 2)


def compare_silences(seeds: int) -> dict[str, dict[str, float]]:
    """Print and return the figures of silences of sound upstreams."""
    result: dict[str, dict[str, float]] = {}
    for per_s in RATES:
        rows = []
        for silent_ms in SILENCES_MS:
            for affected in AFFECTED:
                scenario = Scenario(
                    upstreams=UPSTREAMS,
                    per_s=per_s,
                    duration_ms=20_000 if per_s > RATES[1] else 60_000,
                    affected=affected,
                    silent_ms=silent_ms,
                    period_ms=15_000 if affected == 1 else 5_000,
                )
                for way in WAYS:
                    summary = summarize(replay(scenario, way, seeds))
                    result[f"{per_s} {silent_ms} {affected} {way.name}"] = summary
                    rows.append((silent_ms, affected, way.name, *summary.values()))
        print_table(
            title=f"silences of sound upstreams, {per_s:.0f} requests a second to {UPSTREAMS}",
            columns=("ms", "silent", "way", *summary),
            rows=rows,
        )
    return result


def compare_losses(seeds: int) -> dict[str, dict[str, float]]:
    """Print and return the figures of upstreams that are gone."""
    result: dict[str, dict[str, float]] = {}
    for per_s in RATES:
        rows = []
        for gone in (DARK, HALF_DEAD, MUTE):
            scenario = Scenario(
                upstreams=UPSTREAMS, per_s=per_s, duration_ms=26_000, affected=LOST, gone=gone
            )
            for way in WAYS:
                figures = replay(scenario, way, seeds)
                summary = summarize(figures) | {
                    "sent 0-1 s": count_sent(figures, 0, 1_000),
                    "1-3 s": count_sent(figures, 1_000, 3_000),
                    "3-20 s": count_sent(figures, 3_000, 20_000),
                }
                result[f"{per_s} {gone} {way.name}"] = summary
                rows.append((gone, way.name, *summary.values()))
        print_table(
            title=f"{LOST} of {UPSTREAMS} upstreams gone, {per_s:.0f} requests a second",
            columns=("gone", "way", *summary),
            rows=rows,
        )
    return result


def main(argv: list[str]) -> int:
    """Run the comparison."""
    parser = argparse.ArgumentParser(prog="python -m bench silences")
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args(argv)
    print_machine()
    print_result(compare_losses(options.seeds) | compare_silences(options.seeds))
    return EXIT_OK
