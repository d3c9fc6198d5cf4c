"""Soak of upstreams that are processes of their own and are killed with answers under way.

Some of them begin a stream anew that they are asked to go on with.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Final

from bench.soak_checks import Violation
from bench.soak_death_callers import DeathCallers
from bench.soak_death_checks import (
    GAP_TAKEN_UP,
    LAST_LEFT_OUT,
    NOT_PROVABLE,
    check_pieces,
    count_killed,
    list_sound,
    make_work,
    measure_ends,
    read_runs,
)
from bench.soak_kept_callers import count_ends
from bench.soak_line_checks import check_cut_lines, check_outcomes
from bench.soak_overlap_checks import (
    GRACE_S,
    Silence,
    check_kept_answers,
    check_lost,
)
from bench.soak_overlaps import (
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    ONCE,
    PUBLISHED,
    RESTS_S,
    OverlappingStops,
    async_play,
    async_publish,
)
from bench.soak_rig import FORWARDERS, SoakRig
from bench.soak_silence_checks import Ran, check_once
from bench.soak_stops import check_stops
from bench.upstream_host import FirstEvent, HostedUpstream, HostPlan, UpstreamFraming
from gypsumrouter.const import MS_PER_S

SECONDS: Final = 20.0
ENGINES: Final = (*[FirstEvent.NEXT] * 6, FirstEvent.ANEW, FirstEvent.SAME, FirstEvent.BEYOND)
PLAIN: Final = 5
# Half of all upstreams send neither a length nor chunks.
FRAMINGS: Final = (
    UpstreamFraming.NEITHER,
    UpstreamFraming.CHUNKS,
    UpstreamFraming.NEITHER,
    UpstreamFraming.LENGTH,
)
PACES_S: Final = (0.02, 0.03, 0.045)
MAX_EVENTS: Final = 80
SIGNALS: Final = (signal.SIGKILL, signal.SIGTERM, signal.SIGABRT)
# How long an upstream lives, and how long it is away; in series it dies again at once.
LIVES_S: Final = ((0.1, 0.6), (1.0, 5.0), (1.0, 5.0))
AWAY_S: Final = ((0.0, 0.0), (0.3, 1.5), (0.3, 1.5))
SILENCE_SHARE: Final = 0.3
# Upstreams that do not start again, and are replaced under another id.
REPLACED_SHARE: Final = 0.15
CONFIGURED_S: Final = ((0.05, 0.2), (1.0, 4.0))


class Deaths:
    """Kills upstreams and starts them again, each on its own times, and lets some stand still.

    `made` has the time of the death of each start (monotonic seconds).
    """

    def __init__(self, *, rig: SoakRig, seed: int, notes: Path) -> None:
        rng = random.Random(f"{seed}/world")
        pause_s, framings = rng.choice(PACES_S), itertools.cycle(FRAMINGS)
        firsts = {"models": rng.sample(ENGINES, len(ENGINES)), "records": [FirstEvent.NEXT] * PLAIN}
        self._rngs = (random.Random(f"{seed}/deaths/{number}") for number in itertools.count())
        self._names = itertools.count()
        self.made: dict[str, float] = {}
        self.counts: Counter[str] = Counter()
        self.silences: list[Silence] = []
        self.upstreams = [
            HostedUpstream(
                store=rig.store,
                service=service,
                plan=HostPlan(
                    name=f"i-{service}-{next(self._names)}",
                    port=0,
                    framing=next(framings),
                    first_event=first,
                    pause_s=pause_s,
                    notes=str(notes),
                ),
            )
            for service, some in firsts.items()
            for first in some
        ]

    async def async_run(self) -> None:
        """Kill upstreams until cancelled."""
        await asyncio.gather(*(self._async_repeat(upstream) for upstream in self.upstreams))

    async def _async_repeat(self, upstream: HostedUpstream) -> None:
        rng, rested_s = next(self._rngs), 0.0
        while True:
            await asyncio.sleep(rng.uniform(*rng.choice(LIVES_S)))
            if rng.random() < SILENCE_SHARE and time.monotonic() > rested_s:
                duration_s = rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
                await self._async_silence(upstream, duration_s)
                rested_s = time.monotonic() + rng.uniform(*RESTS_S)
            else:
                await self._async_kill(upstream, rng)

    async def _async_silence(self, upstream: HostedUpstream, duration_s: float) -> None:
        begins_s = time.monotonic()
        silence = Silence(
            upstream=upstream.plan.name, begins_s=begins_s, ends_s=begins_s + duration_s
        )
        self.silences.append(silence)
        await upstream.async_fall_silent(duration_s)

    async def _async_kill(self, upstream: HostedUpstream, rng: random.Random) -> None:
        number = rng.choice(SIGNALS)
        self.counts[number.name] += 1
        self.made[upstream.process] = time.monotonic()
        await upstream.async_kill(number)
        await asyncio.sleep(rng.uniform(*rng.choice(AWAY_S)))
        if rng.random() < REPLACED_SHARE:
            self.counts["replaced"] += 1
            await upstream.async_replace(f"{upstream.plan.name}x")
        else:
            await upstream.async_start()


async def _async_configure(rig: SoakRig, rng: random.Random) -> None:
    """Publish configurations, some in series, until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(*rng.choice(CONFIGURED_S)))
        await async_publish(rig)


async def async_soak_deaths(
    *, seed: int, folder: Path, forwarders: int = FORWARDERS, seconds: float = SECONDS
) -> tuple[dict[str, object], list[Violation], SoakRig]:
    """Run one seed and return its figures, its violations and the stopped rig."""
    bounds = {"stop_ms": round(GRACE_S * MS_PER_S)}
    rig = SoakRig(folder=folder, forwarders=forwarders, bounds=bounds)
    rig.runners = {}
    notes = folder / "notes.jsonl"
    deaths = Deaths(rig=rig, seed=seed, notes=notes)
    callers = DeathCallers(rig=rig, seed=seed, max_tokens=MAX_EVENTS)
    stops = OverlappingStops(rig=rig, seed=seed)
    try:
        await rig.async_start()
        await asyncio.gather(*(upstream.async_start() for upstream in deaths.upstreams))
        await async_publish(rig)
        causes = (_async_configure(rig, random.Random(f"{seed}/c")), deaths.async_run())
        await async_play(callers, stops, causes, seconds=seconds)
    finally:
        await asyncio.gather(*(upstream.async_stop() for upstream in deaths.upstreams))
        await rig.async_stop()
    calls, runs, lines = callers.calls, read_runs(notes), rig.read_journals()
    last = {request_id: rest.last for request_id, rest in callers.taken_up.items()}
    work, sound = make_work(runs), list_sound(calls, runs, deaths.made)
    ran = {name: Ran(runs=len(several), needed_s=0.0) for name, several in runs.items()}
    once = [call for call in calls if call.route in ONCE]
    faults = list(check_pieces(calls, runs, last))
    violations = [
        *check_stops(stops.made),
        *(fault for fault in faults if fault.guarantee not in NOT_PROVABLE),
        *check_lost(sound, stops.made, work, deaths.silences),
        *check_kept_answers(sound, stops.made, work),
        *check_once(once, [PUBLISHED], ran, once=ONCE),
        *check_outcomes(calls, lines),
        *check_cut_lines(calls, stops.made, work, lines),
    ]
    figures: dict[str, object] = {
        "seed": seed,
        "requests": len(calls),
        "ends": count_ends(calls),
        "deaths": deaths.counts,
        "stops": len(stops.made),
        "silences": len(deaths.silences),
        "configurations": rig.version,
        "killed": count_killed(calls, runs),
        "begun_wrong": sum(not run.goes_on for several in runs.values() for run in several),
        "taken_up": Counter(
            f"{c.answer.end} {c.answer.status}" for c in calls if c.answer.request_id in last
        ),
        "gaps_taken_up": sum(fault.guarantee == GAP_TAKEN_UP for fault in faults),
        "last_left_out": sum(fault.guarantee == LAST_LEFT_OUT for fault in faults),
        "unframed": measure_ends(calls, runs, stops.made, deaths.made),
        "broken": Counter(violation.guarantee for violation in violations),
        "violations": [str(violation) for violation in violations],
    }
    return figures, violations, rig
