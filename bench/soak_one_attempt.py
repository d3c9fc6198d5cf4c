"""Soak of streams with one attempt, which nothing can replace, in stops that overlap.

The dimensions are what happens beside the stops; each can be left out, so that a loss can be
traced to one of them.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Collection, Iterator, Mapping, Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

from bench.raw_caller import End, RawCaller, make_post_head
from bench.soak_checks import Violation
from bench.soak_configuration import CALLER_KEY
from bench.soak_dimensions import (
    CALLERS,
    FAULTS,
    STREAM,
    Configurations,
    Dimension,
    OddWriter,
    Preludes,
    UpstreamFailures,
)
from bench.soak_kept_callers import RETRY_S, KeptCallers, count_ends
from bench.soak_line_checks import EVENT_CUT, EVENT_ENDED, check_cut_lines, check_outcomes
from bench.soak_overlap_callers import DEADLINE_MS, OverlapCall
from bench.soak_overlap_checks import (
    GRACE_S,
    Work,
    check_kept_answers,
    check_lost,
    collect_work,
    list_outside,
)
from bench.soak_overlaps import SECONDS, OverlappingStops, StallMeter, UpstreamSilences, async_play
from bench.soak_rig import EVENTS, FORWARDERS, SoakRig
from bench.soak_silence_checks import PASSING_KEY, check_contents
from bench.soak_stops import Stop, check_stops, find_stop
from gypsumrouter.const import MS_PER_S
from gypsumrouter.platform import names
from gypsumrouter.standins import PlatformRunner

# Outcome of a request whose caller gave up.
OUTCOME_CALLER_GONE: Final = "caller_gone"
# The share of requests with a key that some configurations don't have.
PASSING_SHARE: Final = 0.2
# Events of a stream, and bytes of a request body.
MEAN_EVENTS: Final = 76
MAX_EVENTS: Final = 224
MEAN_BYTES: Final = 12_000
MAX_BYTES: Final = 72_000
PACES_S: Final = (0.01, 0.02, 0.035, 0.05)
FIRSTS_S: Final = (0.05, 0.2, 0.4)
ENGINES: Final = 8
PLAIN: Final = 4
# Large bodies that arrive slowly, in how many parts, and over which time.
SLOW_SHARE: Final = 0.4
SLOW_S: Final = (0.2, 5.0)
SLOW_PARTS: Final = 12
# Callers that give up in a pause, and those that leave, and when.
MAX_GAP_S: Final = 3.2
LEAVE_SHARE: Final = 0.15
LEAVE_S: Final = (0.1, 4.0)


class OneAttemptCallers(KeptCallers):
    """Callers of streams with one attempt, and some others."""

    def __init__(self, *, rig: SoakRig, seed: int, dimensions: Collection[Dimension]) -> None:
        super().__init__(rig=rig, seed=seed, callers=CALLERS)
        self._dimensions = dimensions
        self._drawn = 0
        self.calls: list[OverlapCall] = []

    async def async_use(
        self, connection: RawCaller, route: str, caller: int, forwarder: int, rng: random.Random
    ) -> None:
        """Send requests on a connection until it ends or an answer says that it does."""
        manner = "new"
        while not self._stopping.is_set():
            self._drawn += 1
            request_id = f"{self._seed}-{route}{caller}-{self._drawn}"
            tokens = 0
            if route == STREAM:
                tokens = min(MAX_EVENTS, 1 + round(rng.expovariate(1 / MEAN_EVENTS)))
            key = CALLER_KEY
            if Dimension.CHANGES in self._dimensions and rng.random() < PASSING_SHARE:
                key = PASSING_KEY
            parts, pause_s = self._draw_parts(request_id, route, caller, tokens, key, rng)
            options: dict[str, Any] = {}
            if Dimension.LEAVERS in self._dimensions:
                options["max_gap_s"] = MAX_GAP_S
                if rng.random() < LEAVE_SHARE:
                    options["leaves_after_s"] = rng.uniform(*LEAVE_S)
            answer = await connection.async_ask(request_id, parts=parts, pause_s=pause_s, **options)
            self.calls.append(
                OverlapCall(
                    route=route,
                    forwarder=forwarder,
                    answer=answer,
                    deadline_s=DEADLINE_MS / MS_PER_S,
                    tokens=tokens,
                    key=key,
                    manner=f"{manner} slow body" if len(parts) > 1 else manner,
                )
            )
            manner = "kept"
            if not answer.whole_s or answer.end is not End.WHOLE or answer.announces_close:
                return
            await asyncio.sleep(rng.uniform(0, RETRY_S))

    def _draw_parts(
        self,
        request_id: str,
        route: str,
        caller: int,
        tokens: int,
        key: str,
        rng: random.Random,
    ) -> tuple[list[bytes], float]:
        """Return a request in parts, and the pause behind each."""
        is_slow = Dimension.SLOW_BODIES in self._dimensions and rng.random() < SLOW_SHARE
        length = min(MAX_BYTES, 1 + round(rng.expovariate(1 / MEAN_BYTES)))
        if is_slow:
            length = MAX_BYTES
        head = make_post_head(
            request_id,
            route,
            tokens=tokens,
            prompt=f"a{caller % 3}:800,b{caller}:600",
            deadline_ms=DEADLINE_MS,
            key=key,
            length=length,
        )
        count = SLOW_PARTS if is_slow else 1
        size = length // count + 1
        body = [b"x" * min(size, length - begin) for begin in range(0, length, size)]
        pause_s = rng.uniform(*SLOW_S) / count if is_slow else 0.0
        return [head + body[0], *body[1:]], pause_s


def make_one_attempt_upstreams(rng: random.Random) -> dict[str, list[PlatformRunner]]:
    """Return engines of one pace for two services, and plain upstreams."""
    pace_s, first_s = rng.choice(PACES_S), rng.choice(FIRSTS_S)
    runners: dict[str, list[PlatformRunner]] = {}
    for service in ("models", "others"):
        runners[service] = [
            PlatformRunner(name=f"i-{service}-{number}", events=EVENTS, events_per_token=True)
            for number in range(ENGINES)
        ]
        for engine in runners[service]:
            engine.pause_s, engine.first_pause_s = pace_s, first_s
    runners["records"] = [
        PlatformRunner(name=f"i-records-{number}", events=EVENTS) for number in range(PLAIN)
    ]
    return runners


def check_left(
    calls: Sequence[OverlapCall], lines: Sequence[Mapping[str, Any]]
) -> Iterator[Violation]:
    """Check that no line says that the forwarder cut a request which its caller gave up first."""
    cut = {line["request_id"]: line for line in lines if line.get("event") == EVENT_CUT}
    for call in calls:
        if call.answer.end is End.LEFT and call.answer.request_id in cut:
            detail = f"{call.route} ({call.manner}) {cut[call.answer.request_id].get('reason')}"
            yield Violation(
                guarantee="left, but named as cut",
                request_id=call.answer.request_id,
                detail=detail,
            )


def check_own_failures(calls: Sequence[OverlapCall]) -> Iterator[Violation]:
    """Check that each answer with status 500 is an upstream's: a router fails none by itself."""
    signature = f"\r\n{names.STAMP}:".lower().encode()
    for call in calls:
        if call.answer.status == HTTPStatus.INTERNAL_SERVER_ERROR and signature not in (
            call.answer.head.lower()
        ):
            yield Violation(
                guarantee="failed by the router",
                request_id=call.answer.request_id,
                detail=f"{call.route} ({call.manner})",
            )


def count_gone(calls: Sequence[OverlapCall], lines: Sequence[Mapping[str, Any]]) -> dict[str, int]:
    """Count callers that gave up inside a stop, and the lines that say so."""
    gone = {
        line["request_id"]
        for line in lines
        if line.get("event") == EVENT_ENDED and line.get("outcome") == OUTCOME_CALLER_GONE
    }
    left = [call for call in calls if call.answer.end is End.LEFT]
    return {"left": len(left), "named": sum(call.answer.request_id in gone for call in left)}


def count_in_stops(
    calls: Sequence[OverlapCall], stops: Sequence[Stop], work: Mapping[str, Sequence[Work]]
) -> Counter[str]:
    """Count the streams that were under way at a stop, by their ends."""
    return Counter(
        f"{call.answer.end} {call.answer.status}"
        for call in calls
        if call.route == STREAM
        and call.answer.request_id in work
        and find_stop(call.forwarder, call.answer, stops) is not None
    )


async def async_soak_one_attempt(
    *,
    seed: int,
    folder: Path,
    forwarders: int = FORWARDERS,
    seconds: float = SECONDS,
    dimensions: Collection[Dimension] = frozenset(Dimension),
) -> tuple[dict[str, object], list[Violation], SoakRig]:
    """Run one seed and return its figures, its violations and the stopped rig."""
    rig = SoakRig(
        folder=folder, forwarders=forwarders, bounds={"stop_ms": round(GRACE_S * MS_PER_S)}
    )
    rig.runners = make_one_attempt_upstreams(random.Random(f"{seed}/world"))
    callers = OneAttemptCallers(rig=rig, seed=seed, dimensions=dimensions)
    configurations = Configurations(rig=rig)
    preludes = Preludes(rig=rig, seed=seed, dimensions=dimensions, configurations=configurations)
    stops = OverlappingStops(rig=rig, seed=seed, before_stop=preludes.async_begin)
    silences = UpstreamSilences(runners=rig.list_runners(), seed=seed)
    faults = [fault for name, some in FAULTS.items() if name in dimensions for fault in some]
    failures = UpstreamFailures(runners=rig.list_runners(), seed=seed, faults=faults)
    odd = OddWriter(rig=rig, seed=seed, dimensions=dimensions)
    meter = StallMeter()
    causes = [meter.async_run()]
    if Dimension.SILENCES in dimensions:
        causes.append(silences.async_run())
    if faults:
        causes.append(failures.async_run())
    if {Dimension.ODD_ENTRIES, Dimension.ODD_HEADERS} & set(dimensions):
        causes.append(odd.async_run())
    try:
        await rig.async_start()
        await configurations.async_publish()
        await async_play(callers, stops, causes, seconds=seconds)
    finally:
        await rig.async_stop()
    calls, runners, lines = callers.calls, rig.list_runners(), rig.read_journals()
    work = collect_work(runners)
    stayed = [call for call in calls if call.answer.end is not End.LEFT]
    violations = [
        *check_stops(stops.made),
        *check_lost(stayed, stops.made, work, silences.made),
        *check_kept_answers(stayed, stops.made, work),
        *check_contents(stayed, runners),
        *check_outcomes(stayed, lines),
        *check_cut_lines(stayed, stops.made, work, lines),
        *check_left(calls, lines),
        *check_own_failures(calls),
    ]
    figures: dict[str, object] = {
        "seed": seed,
        "dimensions": sorted(dimensions),
        "requests": len(calls),
        "ends": count_ends(calls),
        "streams_in_stops": count_in_stops(calls, stops.made, work),
        "stops": len(stops.made),
        "faults": stops.counts,
        "orders": preludes.orders,
        "configurations": configurations.count,
        "failures": failures.bursts,
        "silences": len(silences.made),
        "odd": {"entries": odd.entries, "headers": odd.headers},
        "gone": count_gone(calls, lines),
        "stalled_ms": round(meter.longest_s * MS_PER_S),
        "outside": list_outside(stayed, stops.made, work, silences.made),
        "violations": [str(violation) for violation in violations],
    }
    return figures, violations, rig
