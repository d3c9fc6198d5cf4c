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
from enum import StrEnum
from pathlib import Path
from typing import Final

from bench.hosted_upstream import FORWARDINGS, Front, HostedUpstream
from bench.soak_checks import Violation
from bench.soak_death_callers import DeathCallers
from bench.soak_death_checks import (
    NOT_PROVABLE,
    Cut,
    check_pieces,
    list_living,
    list_sound,
    make_work,
    read_runs,
)
from bench.soak_death_figures import (
    count_complete,
    count_early,
    count_killed,
    count_manners,
    measure_ends,
)
from bench.soak_kept_callers import count_ends
from bench.soak_line_checks import check_cut_lines, check_outcomes
from bench.soak_overlap_checks import (
    GRACE_S,
    Silence,
    check_kept_answers,
    check_lost,
    is_over,
)
from bench.soak_overlaps import (
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    ONCE,
    RESTS_S,
    OverlappingStops,
    async_play,
)
from bench.soak_rig import FORWARDERS, SoakRig
from bench.soak_silence_checks import Ran, check_once
from bench.soak_stops import check_stops
from bench.soak_timeouts import ChangingTimeouts, check_held, limit_calls
from bench.upstream_host import FirstEvent, HostPlan, UpstreamFraming
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
# The longest streams: short ones are over before their upstreams die.
MAX_EVENTS: Final = (80, 80, 10)
SIGNALS: Final = (signal.SIGKILL, signal.SIGTERM, signal.SIGABRT)
# How long an upstream lives, and how long it is away; in series it dies again at once.
LIVES_S: Final = ((0.1, 0.6), (1.0, 5.0), (1.0, 5.0))
# A proxy is killed in place of its upstream.
PROXY_KILLED_SHARE: Final = 0.2
# The answers of an upstream end at one moment, and it lives on.
FALL_SHARE: Final = 0.3
AWAY_S: Final = ((0.0, 0.0), (0.3, 1.5), (0.3, 1.5))
SILENCE_SHARE: Final = 0.3
# Upstreams that do not start again, and are replaced under another id.
REPLACED_SHARE: Final = 0.15
# Drawn without repetition for engines, and for plain upstreams.
FRONTS: Final = (*[Front.DIRECT] * 3, *Front)
# Within this time the connections of a process at its limit of the processor are closed.
CLOSING_S: Final = (0.03, 0.25)
# The next start listens so soon after a death, and is listed so much later.
RESTARTED_S: Final = (0.005, 0.06)
LISTED_S: Final = 0.3
# Starts that are cut off from the store, and are not listed.
UNLISTED_SHARE: Final = 0.1
# A proxy stands still for so long.
HELD_S: Final = (0.05, 0.8)
# Some upstreams are full at times, or take few connections.
STATED_SHARE: Final = 0.5
SLOTS: Final = (64, 64, 64, 3)
MAX_CONNECTIONS: Final = (512, 512, 512, 6)


class Death(StrEnum):
    """How a process ends.

    AT_ONCE: by a signal. ONE_BY_ONE: its connections are closed one after the other, and its
    listener last. RESTARTED: by a signal, and the next start listens at once.
    """

    AT_ONCE = "at once"
    ONE_BY_ONE = "one by one"
    RESTARTED = "restarted"


class Deaths:
    """Kills upstreams and starts them again, each on its own times, and lets some stand still.

    `made` has the time of the death of each start (monotonic seconds), and `manners` its kind.
    `fronts` has what stands before each start. `cuts` are the deaths of proxies.
    """

    def __init__(
        self,
        *,
        rig: SoakRig,
        seed: int,
        notes: Path,
        states_start: bool | None = None,
        falls: bool = True,
    ) -> None:
        self._falls = falls
        rng = random.Random(f"{seed}/world")
        pause_s, framings = rng.choice(PACES_S), itertools.cycle(FRAMINGS)
        firsts = {"models": rng.sample(ENGINES, len(ENGINES)), "records": [FirstEvent.NEXT] * PLAIN}
        drawn = rng.random() < STATED_SHARE
        self.states_start = drawn if states_start is None else states_start
        self._rngs = (random.Random(f"{seed}/deaths/{number}") for number in itertools.count())
        self._names = itertools.count()
        self.made: dict[str, float] = {}
        self.cuts: list[Cut] = []
        self.manners: dict[str, str] = {}
        self.fronts: dict[str, Front] = {}
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
                    slots=rng.choice(SLOTS),
                    max_connections=rng.choice(MAX_CONNECTIONS),
                    states_start=self.states_start,
                    closing_s=rng.uniform(*CLOSING_S),
                    seed=seed,
                ),
                front=front,
            )
            for service, some in firsts.items()
            for first, front in zip(some, rng.sample(FRONTS, len(some)), strict=True)
        ]

    @property
    def listed(self) -> dict[str, float]:
        """Return when starts were listed, by their processes."""
        return {name: s for upstream in self.upstreams for name, s in upstream.listed_s.items()}

    async def async_run(self) -> None:
        """Kill upstreams until cancelled."""
        for upstream in self.upstreams:
            self.note_processes(upstream)
        await asyncio.gather(*(self._async_repeat(upstream) for upstream in self.upstreams))

    async def _async_repeat(self, upstream: HostedUpstream) -> None:
        rng, rested_s = next(self._rngs), 0.0
        while True:
            await asyncio.sleep(rng.uniform(*rng.choice(LIVES_S)))
            if rng.random() < SILENCE_SHARE and time.monotonic() > rested_s:
                if rng.random() < 0.5:
                    await upstream.async_hold_proxy(rng.uniform(*HELD_S))
                    continue
                duration_s = rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
                await self._async_silence(upstream, duration_s)
                rested_s = time.monotonic() + rng.uniform(*RESTS_S)
            elif self._falls and rng.random() < FALL_SHARE:
                self.counts[f"{upstream.front}, engine fell over"] += 1
                upstream.fall_over()
            elif upstream.front in FORWARDINGS and rng.random() < PROXY_KILLED_SHARE:
                await self._async_cut(upstream, rng)
            else:
                await self._async_kill(upstream, rng)

    async def _async_silence(self, upstream: HostedUpstream, duration_s: float) -> None:
        begins_s = time.monotonic()
        silence = Silence(
            upstream=upstream.plan.name, begins_s=begins_s, ends_s=begins_s + duration_s
        )
        self.silences.append(silence)
        await upstream.async_fall_silent(duration_s)

    async def _async_cut(self, upstream: HostedUpstream, rng: random.Random) -> None:
        self.counts["proxy killed"] += 1
        cut = Cut(process=upstream.process, at_s=time.monotonic())
        self.cuts.append(cut)
        await upstream.async_kill_proxy()
        await asyncio.sleep(rng.uniform(*rng.choice(AWAY_S)))
        await upstream.async_start_proxy()

    async def _async_kill(self, upstream: HostedUpstream, rng: random.Random) -> None:
        death = rng.choice(list(Death))
        number = signal.SIGUSR1 if death is Death.ONE_BY_ONE else rng.choice(SIGNALS)
        away_s = rng.uniform(*rng.choice(AWAY_S))
        listing_s = rng.choice((0.0, LISTED_S))
        if death is Death.RESTARTED:
            away_s, listing_s = rng.uniform(*RESTARTED_S), LISTED_S
            await upstream.async_prepare()
        self.counts[f"{upstream.front}, {death}"] += 1
        self.made[upstream.process] = time.monotonic()
        self.manners[upstream.process] = f"{upstream.front}, {death}"
        await upstream.async_kill(number)
        await asyncio.sleep(away_s)
        is_replaced = self.states_start and upstream.front is not Front.WORKERS
        if death is not Death.RESTARTED and is_replaced and rng.random() < REPLACED_SHARE:
            self.counts["replaced"] += 1
            await upstream.async_replace(f"{upstream.plan.name}x")
        elif rng.random() < UNLISTED_SHARE:
            self.counts["unlisted"] += 1
            await upstream.async_start(listing_s=None)
        else:
            await upstream.async_start(listing_s=listing_s)
        self.note_processes(upstream)

    def note_processes(self, upstream: HostedUpstream) -> None:
        """Record what stands before the processes of an upstream."""
        self.fronts.update(dict.fromkeys(upstream.processes, upstream.front))


async def async_soak_deaths(
    *,
    seed: int,
    folder: Path,
    forwarders: int = FORWARDERS,
    seconds: float = SECONDS,
    states_start: bool | None = None,
    patience_s: float | None = None,
    falls: bool = True,
) -> tuple[dict[str, object], list[Violation], SoakRig]:
    """Run one seed and return its figures, its violations and the stopped rig.

    `states_start` is whether entries and reports state starts; drawn if not given. Requests that
    are under way `patience_s` after the end are given up. `falls` is whether engines fall over
    behind listeners that live.
    """
    bounds = {"stop_ms": round(GRACE_S * MS_PER_S)}
    rig = SoakRig(folder=folder, forwarders=forwarders, bounds=bounds)
    rig.runners = {}
    notes = folder / "notes.jsonl"
    deaths = Deaths(rig=rig, seed=seed, notes=notes, states_start=states_start, falls=falls)
    max_events = random.Random(f"{seed}/events").choice(MAX_EVENTS)
    callers = DeathCallers(rig=rig, seed=seed, max_tokens=max_events, patience_s=patience_s)
    stops = OverlappingStops(rig=rig, seed=seed)
    timeouts = ChangingTimeouts(rig=rig, seed=seed)
    try:
        await rig.async_start()
        await asyncio.gather(*(upstream.async_start() for upstream in deaths.upstreams))
        await timeouts.async_publish()
        causes = (timeouts.async_run(), deaths.async_run())
        await async_play(callers, stops, causes, seconds=seconds)
    finally:
        await asyncio.gather(*(upstream.async_stop() for upstream in deaths.upstreams))
        await rig.async_stop()
    calls = limit_calls(callers.calls, timeouts.published)
    runs, lines = read_runs(notes), rig.read_journals()
    last = {request_id: rest.last for request_id, rest in callers.taken_up.items()}
    listed = deaths.listed if deaths.states_start else None
    work = make_work(runs)
    sound = list_sound(calls, runs, deaths.made, deaths.cuts, listed)
    ran = {name: Ran(runs=len(several), needed_s=0.0) for name, several in runs.items()}
    once = [call for call in calls if call.route in ONCE]
    workers = {process for process, front in deaths.fronts.items() if front is Front.WORKERS}
    living = list_living(runs, workers, deaths.cuts)
    proxied = {process for process, front in deaths.fronts.items() if front in FORWARDINGS}
    faults = list(check_pieces(calls, runs, last, living, proxied))
    ends = measure_ends(
        calls,
        runs,
        stops.made,
        deaths.made,
        cuts=deaths.cuts,
        fronts=deaths.fronts,
        listed=listed,
    )
    violations = [
        *check_stops(stops.made),
        *(fault for fault in faults if fault.guarantee not in NOT_PROVABLE),
        *ends.check(),
        *check_lost(sound, stops.made, work, deaths.silences),
        *check_kept_answers(sound, stops.made, work),
        *check_once(once, timeouts.published, ran, once=ONCE),
        *check_held(calls, timeouts.published),
        *check_outcomes(calls, lines),
        *check_cut_lines(calls, stops.made, work, lines),
    ]
    figures: dict[str, object] = {
        "seed": seed,
        "states_start": deaths.states_start,
        "manners": count_manners(calls, runs, deaths.manners, living),
        "requests": len(calls),
        "ends": count_ends(calls),
        "deaths": deaths.counts,
        "stops": len(stops.made),
        "silences": len(deaths.silences),
        "configurations": rig.version,
        "timed_out": sum(
            is_over(after) and after.deadline_s < before.deadline_s
            for before, after in zip(callers.calls, calls, strict=True)
        ),
        "killed": count_killed(calls, runs),
        "ended_early": count_early(calls, runs),
        "complete": count_complete(calls, runs, stops.made, deaths.made, deaths.cuts),
        "begun_wrong": sum(not run.goes_on for several in runs.values() for run in several),
        "taken_up": Counter(
            f"{c.answer.end} {c.answer.status}" for c in calls if c.answer.request_id in last
        ),
        "not_provable": Counter(
            fault.guarantee for fault in faults if fault.guarantee in NOT_PROVABLE
        ),
        "unframed": ends.summarize(),
        "broken": Counter(violation.guarantee for violation in violations),
        "violations": [str(violation) for violation in violations],
    }
    return figures, violations, rig
