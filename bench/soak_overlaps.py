"""Soak of stops that overlap while upstreams stand still and callers pause.

Each forwarder is stopped again a few seconds after its start, by signals that come repeatedly.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from bench.soak_checks import Violation, check_arrivals
from bench.soak_configuration import CALLER_KEY, TARGETS, WORKSPACE, make_route
from bench.soak_kept_callers import KeptCallers, count_ends
from bench.soak_line_checks import check_cut_lines, check_outcomes
from bench.soak_overlap_callers import ROUTES, OverlapCallers
from bench.soak_overlap_checks import (
    GRACE_S,
    TIMEOUT_MS,
    Silence,
    check_kept_answers,
    check_lost,
    collect_work,
    count_late,
    list_outside,
)
from bench.soak_rig import EVENTS, FORWARDERS, SoakRig
from bench.soak_silence_checks import (
    APPLY_S,
    Published,
    check_contents,
    check_once,
    collect_runs,
)
from bench.soak_stops import Asked, Stop, Stops, check_kept, check_stops
from bench.upstream_host import HEALTH_PATH
from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins import PlatformRunner

SECONDS: Final = 45.0
# A forwarder is stopped again so long after it is ready, and reads its settings again before.
READY_S: Final = (3.0, 9.0)
RELOADS: Final = 0.3
RUNNERS: Final = 6
PACES_S: Final = (0.02, 0.035, 0.05)
FIRSTS_S: Final = (0.05, 0.2, 0.4)
HEADS_S: Final = (0.02, 0.2, 0.6)
END_S: Final = 0.05
LARGE_BYTES: Final = 400_000
BODY_PARTS: Final = 6
PART_S: Final = (0.01, 0.1)
# An upstream stands still up to three times in a row, for `MAX_SILENCE_S` at most in all, and
# rests then for longer than a stop takes what it did not have at its beginning.
MIN_SILENCE_S: Final = 0.3
MAX_SILENCE_S: Final = 1.5
GAPS_S: Final = (0.05, 0.8)
RESTS_S: Final = (5.0, 9.0)
IN_ROW: Final = (1, 1, 2, 3)
GROUPS: Final = (1, 1, 2, 3)
TICK_S: Final = 0.02
ONCE: Final = frozenset(
    name for name, plan in ROUTES.items() if plan.kind != "idempotent" and not plan.resumable
)

PUBLISHED: Final = Published(
    at_s=0.0,
    timeouts_s=dict.fromkeys(ROUTES, TIMEOUT_MS / MS_PER_S),
    max_attempts={name: plan.max_attempts for name, plan in ROUTES.items()},
)


class OverlappingStops:
    """Stops each forwarder again and again, independently of the others.

    `before_stop` is awaited right before the first signal of each stop, with the number of its
    forwarder.
    """

    def __init__(
        self,
        *,
        rig: SoakRig,
        seed: int,
        before_stop: Callable[[int], Awaitable[None]] | None = None,
    ) -> None:
        self._rig = rig
        self._before_stop = before_stop
        self._seed = seed
        self._series = [
            Stops(rig=rig, seed=f"{seed}/{number}", stop_s=GRACE_S) for number in range(rig.count)
        ]
        self._reloads = 0

    @property
    def made(self) -> list[Stop]:
        """Return the stops of all forwarders."""
        return [stop for stops in self._series for stop in stops.made]

    @property
    def counts(self) -> Counter[str]:
        """Return how often each signal was sent, beside the first of a stop."""
        counts = sum((stops.counts for stops in self._series), Counter[str]())
        return counts + Counter(reloads=self._reloads)

    async def async_run(self, *, seconds: float) -> None:
        """Begin stops for some seconds, and wait for the starts that follow the last ones."""
        ends_s = time.monotonic() + seconds
        await asyncio.gather(*(self._async_stop(n, ends_s) for n in range(self._rig.count)))

    async def _async_stop(self, number: int, ends_s: float) -> None:
        rng = random.Random(f"{self._seed}/overlaps/{number}")
        while True:
            ready_s, reload_s = rng.uniform(*READY_S), rng.uniform(0, READY_S[0])
            if time.monotonic() + ready_s > ends_s:
                return
            await asyncio.sleep(ready_s - reload_s)
            process = self._rig.forwarders[number]
            if rng.random() < RELOADS and process is not None:
                self._reloads += 1
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(reload_s)
            if self._before_stop is not None:
                await self._before_stop(number)
            await self._series[number].async_stop_once(number)


class UpstreamSilences:
    """Lets groups of upstreams stand still, each on its own times."""

    def __init__(self, *, runners: Sequence[PlatformRunner], seed: int) -> None:
        self._rng = random.Random(f"{seed}/silences")
        self._runners = list(runners)
        self.made: list[Silence] = []

    async def async_run(self) -> None:
        """Cause silences until cancelled."""
        self._rng.shuffle(self._runners)
        groups = []
        while self._runners:
            size = self._rng.choice(GROUPS)
            groups.append(self._runners[:size])
            self._runners = self._runners[size:]
        await asyncio.gather(*(self._async_repeat(group) for group in groups))

    async def _async_repeat(self, group: Sequence[PlatformRunner]) -> None:
        rng = random.Random(self._rng.random())
        await asyncio.sleep(rng.uniform(0, RESTS_S[1]))
        while True:
            left_s = MAX_SILENCE_S
            for _ in range(rng.choice(IN_ROW)):
                if left_s < MIN_SILENCE_S:
                    break
                duration_s = rng.choice((left_s, rng.uniform(MIN_SILENCE_S, left_s)))
                left_s -= duration_s
                await self._async_silence(group, duration_s)
                await asyncio.sleep(rng.uniform(*GAPS_S))
            await asyncio.sleep(rng.uniform(*RESTS_S))

    async def _async_silence(self, group: Sequence[PlatformRunner], duration_s: float) -> None:
        begins_s = time.monotonic()
        self.made.extend(
            Silence(upstream=runner.name, begins_s=begins_s, ends_s=begins_s + duration_s)
            for runner in group
        )
        await asyncio.gather(*(runner.async_fall_silent(duration_s) for runner in group))


class StallMeter:
    """Measures how long this process, which runs callers and upstreams, stands still itself."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def async_run(self) -> None:
        """Measure until cancelled."""
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(TICK_S)
            self.longest_s = max(self.longest_s, time.monotonic() - before_s - TICK_S)


def make_overlaps_configuration(
    version: int, timeouts_ms: Mapping[str, int] | None = None
) -> dict[str, Any]:
    """Return a configuration with routes of one and two attempts of each kind.

    `timeouts_ms` has their timeouts, which are longer than any request takes if not given.
    """
    timeouts_ms = timeouts_ms or dict.fromkeys(ROUTES, TIMEOUT_MS)
    routes = [
        make_route(
            name,
            plan.kind,
            plan.service,
            timeout_ms=timeouts_ms[name],
            max_attempts=plan.max_attempts,
            resumable=plan.resumable,
            **TARGETS,
        )
        for name, plan in ROUTES.items()
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "records", "health_path": HEALTH_PATH},
            {"name": "models", "engine": {"slots": 64}, "health_path": HEALTH_PATH},
        ],
        "tenants": [{"name": WORKSPACE, "api_keys": [CALLER_KEY]}],
    }


def make_upstreams(rng: random.Random) -> dict[str, list[PlatformRunner]]:
    """Return engines of one pace, and plain upstreams that differ in the size of responses."""
    pace_s, first_s = rng.choice(PACES_S), rng.choice(FIRSTS_S)
    engines, plain = [], []
    for number in range(RUNNERS):
        engine = PlatformRunner(name=f"i-models-{number}", events=EVENTS, events_per_token=True)
        engine.pause_s, engine.first_pause_s, engine.end_pause_s = pace_s, first_s, END_S
        engine.head_pause_s = rng.choice(HEADS_S[:2])
        engines.append(engine)
        runner = PlatformRunner(name=f"i-records-{number}", events=EVENTS)
        runner.head_pause_s = rng.choice(HEADS_S)
        if number % 2:
            runner.body_bytes, runner.body_parts = LARGE_BYTES, BODY_PARTS
            runner.pause_s = rng.uniform(*PART_S)
            runner.chunks_bodies = rng.random() < 0.5
        plain.append(runner)
    return {"models": engines, "records": plain}


async def async_publish(rig: SoakRig) -> None:
    """Publish the routes of one and two attempts, as the next version."""
    rig.version += 1
    await rig.store.async_put_configuration(make_overlaps_configuration(rig.version))


async def async_play(
    callers: KeptCallers,
    stops: OverlappingStops,
    causes: Iterable[Awaitable[None]],
    *,
    seconds: float,
) -> None:
    """Let callers ask while forwarders stop, beside what goes on until it is cancelled."""
    await asyncio.sleep(APPLY_S)
    running = asyncio.ensure_future(callers.async_run())
    causing = asyncio.gather(*causes)
    await stops.async_run(seconds=seconds)
    callers.stop()
    await running
    causing.cancel()
    await asyncio.gather(causing, return_exceptions=True)


async def async_soak_overlaps(
    *, seed: int, folder: Path, forwarders: int = FORWARDERS, seconds: float = SECONDS
) -> tuple[dict[str, object], list[Violation], SoakRig]:
    """Run one seed and return its figures, its violations and the stopped rig."""
    rng = random.Random(f"{seed}/world")
    rig = SoakRig(
        folder=folder, forwarders=forwarders, bounds={"stop_ms": round(GRACE_S * MS_PER_S)}
    )
    rig.runners = make_upstreams(rng)
    max_tokens = round(GRACE_S / rig.runners["models"][0].pause_s)
    callers = OverlapCallers(rig=rig, seed=seed, max_tokens=max_tokens)
    stops = OverlappingStops(rig=rig, seed=seed)
    silences = UpstreamSilences(runners=rig.list_runners(), seed=seed)
    meter = StallMeter()
    try:
        await rig.async_start()
        await async_publish(rig)
        causes = (silences.async_run(), meter.async_run())
        await async_play(callers, stops, causes, seconds=seconds)
    finally:
        await rig.async_stop()
    calls, runners, lines = callers.calls, rig.list_runners(), rig.read_journals()
    work = collect_work(runners)
    asked = [
        Asked(forwarder=call.forwarder, answer=call.answer, kept="kept" in call.manner)
        for call in calls
    ]
    violations = [
        *check_stops(stops.made),
        *check_lost(calls, stops.made, work, silences.made),
        *check_kept_answers(calls, stops.made, work),
        *check_contents(calls, runners),
        *check_once(calls, [PUBLISHED], collect_runs(calls, runners), once=ONCE),
        *check_arrivals((), rig.list_arrivals()),
        *check_outcomes(calls, lines),
        *check_cut_lines(calls, stops.made, work, lines),
    ]
    figures: dict[str, object] = {
        "seed": seed,
        "requests": len(calls),
        "ends": count_ends(calls),
        "stops": len(stops.made),
        "faults": stops.counts,
        "silences": len(silences.made),
        "late": count_late(calls, stops.made, work, silences.made),
        "stalled_ms": round(meter.longest_s * MS_PER_S),
        "outside": list_outside(calls, stops.made, work, silences.made),
        "closed": [str(violation) for violation in check_kept(asked, stops.made)],
        "violations": [str(violation) for violation in violations],
    }
    return figures, violations, rig
