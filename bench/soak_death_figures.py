"""Figures of the soak of deaths: how answers ended, by how their upstreams did."""

from __future__ import annotations

import math
import statistics
from collections import Counter
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Final

import msgspec
from msgspec import Struct

from bench.raw_caller import End
from bench.soak_checks import Violation
from bench.soak_death_checks import ID_LIVES, Cut, Runs, ends_without_event, list_pieces
from bench.soak_overlap_callers import OverlapCall
from bench.soak_overlap_checks import is_over
from bench.soak_stops import Stop, find_stop
from bench.upstream_host import PLAIN_PARTS, NoteKind, UpstreamFraming
from gypsumrouter.const import MS_PER_S

# Of so many complete answers, one may be taken for broken off.
COMPLETE_PER_BROKEN: Final = 1_000
PROXY_DIED: Final = "proxy died, and its upstream lives on"


def count_killed(calls: Sequence[OverlapCall], runs: Runs) -> Counter[str]:
    """Count answers one of whose upstreams was killed under way.

    They are named by its framing and what their callers got.
    """
    counts: Counter[str] = Counter()
    for call in calls:
        killed = {r.begun.run: r for r in runs.get(call.answer.request_id, ()) if r.is_killed}
        if not killed or call.answer.status != 200:
            continue
        pieces = list_pieces(call.answer)
        shown = killed.get(pieces[-1].run) if pieces else None
        if call.answer.end is not End.WHOLE:
            outcome = "broken"
        elif pieces and shown is None:
            outcome = "went on"
        elif pieces and pieces[-1].number == (call.tokens or PLAIN_PARTS):
            outcome = "whole"
        else:
            outcome = "short as whole"
        run = shown or list(killed.values())[-1]
        counts[f"{run.begun.framing} {outcome}"] += 1
    return counts


def count_early(calls: Sequence[OverlapCall], runs: Runs) -> dict[str, Counter[str]]:
    """Count answers whose upstream ended one early, by that, its framing and what callers got."""
    counts: dict[str, Counter[str]] = {}
    for call in calls:
        for run in runs.get(call.answer.request_id, ()):
            if run.end is not None and run.end.early is not None:
                kind = f"{run.end.kind}, {run.begun.framing}, {run.end.early}"
                got = f"{call.answer.end} {call.answer.status}"
                counts.setdefault(kind, Counter())[got] += 1
    return counts


def count_complete(
    calls: Sequence[OverlapCall],
    runs: Runs,
    stops: Sequence[Stop],
    deaths: Mapping[str, float],
    cuts: Collection[Cut] = (),
) -> dict[str, Counter[str]]:
    """Count answers that their upstream completed and lived on, by its framing and their end.

    Those that were broken off are told apart by what was reached: a stop, or the end of their time.
    """
    counts: dict[str, Counter[str]] = {}
    for call in calls:
        several = runs.get(call.answer.request_id, ())
        ended = [run for run in several if run.end and run.end.kind is NoteKind.ENDED]
        if not ended or not all(run.goes_on and run.has_lived(deaths, cuts) for run in ended):
            continue
        outcome = "broken"
        if call.answer.end is End.WHOLE:
            outcome = "whole"
        elif is_over(call):
            outcome = "broken at the end of its time"
        elif find_stop(call.forwarder, call.answer, stops) is not None:
            outcome = "broken in a stop"
        counts.setdefault(ended[-1].begun.framing, Counter())[outcome] += 1
    return counts


def count_manners(
    calls: Sequence[OverlapCall], runs: Runs, manners: Mapping[str, str], living: Collection[str]
) -> dict[str, Counter[str]]:
    """Count unframed answers whose upstream died inside, by its manner and what callers got.

    `manners` names how starts of upstreams ended. The runs `living` broke off, and the id of their
    upstream lived on.
    """
    counts: dict[str, Counter[str]] = {}
    for call in calls:
        answer = call.answer
        pieces = list_pieces(answer) if answer.status == 200 else []
        several = runs.get(answer.request_id, ())
        for run in several:
            is_complete = bool(run.numbers) and run.numbers[-1] == (call.tokens or PLAIN_PARTS)
            if run.begun.framing is not UpstreamFraming.NEITHER or not run.numbers or is_complete:
                continue
            if run.begun.run in living:
                manner = ID_LIVES if run.is_killed else PROXY_DIED
            elif run.is_killed:
                manner = manners.get(run.process, "")
            else:
                continue
            is_shown = bool(pieces) and pieces[-1].run == run.begun.run
            # The run that was asked to go on has ended in order, and had nothing to send.
            is_shown = is_shown and not ends_without_event(several, run.numbers[-1])
            outcome = "whole" if is_shown and answer.end is End.WHOLE else "broken"
            counts.setdefault(manner, Counter())[outcome] += 1
    return counts


class UnframedEnds(Struct, frozen=True, kw_only=True):
    """How complete unframed answers of living upstreams ended outside stops.

    `delays_ms` are those from the upstream's end to the caller's, of callers that read on.
    `fronts` counts them by what stands before their upstreams. `unlisted` counts those of starts
    under an id whose entry describes the start before: where they are over at once, nothing shows
    which of both has given them.
    """

    ended: int
    broken: list[str]
    delays_ms: list[float]
    fronts: dict[str, Counter[str]]
    unlisted: Counter[str]

    def summarize(self) -> dict[str, object]:
        """Return the figures."""
        several = len(self.delays_ms) > 1
        cuts_ms = statistics.quantiles(self.delays_ms, n=100) if several else [0.0] * 99
        delay = {"median": round(cuts_ms[49], 1), "99 of 100": round(cuts_ms[98], 1)}
        return {
            "ended": self.ended,
            "broken": self.broken,
            "delay_ms": delay,
            "fronts": self.fronts,
            "unlisted": self.unlisted,
        }

    def check(self) -> Iterator[Violation]:
        """Check that few complete answers were taken for broken off."""
        if len(self.broken) > math.ceil(self.ended / COMPLETE_PER_BROKEN):
            detail = f"{len(self.broken)} of {self.ended}"
            for request_id in self.broken:
                yield Violation(
                    guarantee="complete broken off", request_id=request_id, detail=detail
                )


def measure_ends(
    calls: Sequence[OverlapCall],
    runs: Runs,
    stops: Sequence[Stop],
    deaths: Mapping[str, float],
    *,
    cuts: Collection[Cut] = (),
    fronts: Mapping[str, str] | None = None,
    listed: Mapping[str, float] | None = None,
) -> UnframedEnds:
    """Return how complete unframed answers of living upstreams ended outside stops.

    `fronts` names what stands before each start of an upstream. `listed` has the times at which
    starts were listed whose predecessors have the same id (monotonic seconds).
    """
    ends = UnframedEnds(ended=0, broken=[], delays_ms=[], fronts={}, unlisted=Counter())
    for call in calls:
        answer, several = call.answer, runs.get(call.answer.request_id, ())
        if len(several) != 1 or find_stop(call.forwarder, answer, stops) is not None:
            continue
        run, end = several[0], several[0].end
        if run.begun.framing is not UpstreamFraming.NEITHER or not run.goes_on:
            continue
        if end is None or end.kind is not NoteKind.ENDED or not run.has_lived(deaths, cuts):
            continue
        if not run.has_outlived(answer, deaths):
            continue
        if answer.end is not End.WHOLE and is_over(call):
            continue
        is_whole = answer.end is End.WHOLE
        if not run.is_listed(listed):
            ends.unlisted["whole" if is_whole else "broken"] += 1
            continue
        counts = ends.fronts.setdefault((fronts or {}).get(run.process, ""), Counter())
        counts["whole" if is_whole else "broken"] += 1
        if not is_whole:
            ends.broken.append(answer.request_id)
        elif call.manner in ("new", "kept"):
            ends.delays_ms.append((answer.ended_s - end.at_s) * MS_PER_S)
    return msgspec.structs.replace(ends, ended=sum(map(Counter.total, ends.fronts.values())))
