"""Errors of the decision on crash suspects, over drawn records of requests and crashes.

`python -m bench crashes [--seeds N]`. Routers send random requests to engines; some engines crash
on a part of a prompt, others without a culprit. Reported are the requests with such a part that
reach engines too late after its fifth crash, and the sound requests that are refused.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import logging
import random
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Final

from msgspec import Struct

from bench.report import Value, print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK, MS_PER_S, Role
from gypsumrouter.core import Application
from gypsumrouter.crashes import Run, Subjects
from gypsumrouter.crashes.guard import CrashGuard
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock

STEP_MS: Final = 50
JUDGES: Final = 2
STABLE_MS: Final = 3_000
CRASHES: Final = 5
WARM_UP_MS: Final = 5_000
DURATION_MS: Final = 40_000
# How long evidence takes to the routers that judge it, and a verdict to all.
EVIDENCE_MS: Final = 200
VERDICT_MS: Final = 600
# An engine is away for this long after a crash, which follows so long after the first token.
AWAY_MS: Final = 3_000
CRASH_AFTER_MS: Final = 100
PIECE_MS: Final = 100
SYSTEM_PART: Final = 1
FIRST_CRASHING_PART: Final = 0xDEAD0


class Scenario(Struct, frozen=True, kw_only=True):
    """Load and faults of one record; rates are requests a second.

    `hot_share` of the sound requests have the part that most prompts begin with; those that crash
    engines have it unless it is 0. `outages` are losses of a third of the engines without a
    culprit, evenly spread. `liars_per_s` are requests of another workspace that name a sound part
    falsely and crash their engine.
    """

    name: str
    routers: int = 3
    engines: int = 6
    sound_per_s: float = 30.0
    workspaces: int = 10
    documents: int = 4
    hot_share: float = 0.8
    crashing_parts: int = 1
    crashing_per_s: float = 1.0
    first_part: bool = False
    outages: int = 0
    liars_per_s: float = 0.0


class Outcome(Struct, kw_only=True):
    """Counts of one record; `late` is the largest of any crashing part."""

    late: int = 0
    crashes: int = 0
    sound: int = 0
    sound_refused: int = 0
    sound_refused_late: int = 0
    convicted_sound: int = 0


class _Engine:
    def __init__(self, number: int) -> None:
        self.number = number
        self.starts = 0
        self.back_ms = 0
        self.runs: set[_Request] = set()

    @property
    def name(self) -> str:
        return f"i-{self.number}-{self.starts}"


class _Request:
    def __init__(self, *, guard: CrashGuard, run: Run, engine: _Engine, crashes: bool) -> None:
        self.guard = guard
        self.run = run
        self.engine = engine
        self.crashes = crashes


class CrashRecord:
    """Plays one scenario with one seed."""

    def __init__(self, scenario: Scenario, *, seed: int) -> None:
        self._scenario = scenario
        self._random = random.Random(seed)
        self._clock = ManualClock(now_ms=1_000_000)
        self._start_ms = self._clock.now_ms()
        self._engines = [_Engine(number) for number in range(scenario.engines)]
        self._due: list[tuple[int, int, Callable[[], object]]] = []
        self._order = count()
        self._arrivals: dict[int, list[int]] = defaultdict(list)
        self._outcome = Outcome()
        self._apps: list[Application] = []
        self._guards = [self._make_guard(number) for number in range(scenario.routers)]

    async def async_play(self) -> Outcome:
        """Play the record and return its counts."""
        outages = self._scenario.outages
        outage_ms = [WARM_UP_MS + (DURATION_MS - WARM_UP_MS) * n // outages for n in range(outages)]
        for at_ms in outage_ms:
            self._call_later(at_ms, self._lose_third)
        while self._clock.now_ms() < self._start_ms + DURATION_MS:
            self._clock.advance(STEP_MS)
            self._send_new()
            while self._due and self._due[0][0] <= self._clock.now_ms():
                heapq.heappop(self._due)[2]()
            for _ in range(3):
                await asyncio.sleep(0)
        self._count_late()
        for app in self._apps:
            await app.async_stop()
        return self._outcome

    def _make_guard(self, number: int) -> CrashGuard:
        app = Application(
            name=f"r{number}", role=Role.FORWARDER, data_centre="", region="", clock=self._clock
        )
        self._apps.append(app)
        guard = CrashGuard(app=app, journal=Journal(app=app))
        guard.on_evidence(
            lambda implications, survivals: self._tell(
                guard,
                EVIDENCE_MS,
                lambda other: other.apply_evidence(
                    [s for s in implications if other.judges(s.subject)], survivals
                ),
            )
        )
        guard.on_verdicts(
            lambda verdicts: self._tell(
                guard, VERDICT_MS, lambda other: other.merge_verdicts(verdicts, source="peer")
            )
        )
        routers = self._scenario.routers
        guard.set_judge_checks(
            is_judge=lambda subject: (number - subject) % routers < JUDGES,
            is_first_judge=lambda subject: subject % routers == number,
        )
        return guard

    def _tell(self, guard: CrashGuard, delay_ms: int, tell: Callable[[CrashGuard], object]) -> None:
        for other in self._guards:
            if other is not guard:
                self._call_later(delay_ms, partial(tell, other))

    def _call_later(self, delay_ms: int, function: Callable[[], object]) -> None:
        at_ms = self._clock.now_ms() + delay_ms
        heapq.heappush(self._due, (at_ms, next(self._order), function))

    def _send_new(self) -> None:
        scenario = self._scenario
        for _ in range(self._draw_count(scenario.sound_per_s)):
            self._send(self._draw_sound(), crashes=False)
        if self._clock.now_ms() < self._start_ms + WARM_UP_MS:
            return
        for number in range(scenario.crashing_parts):
            for _ in range(self._draw_count(scenario.crashing_per_s)):
                part = FIRST_CRASHING_PART + number
                others = (SYSTEM_PART, 100) if scenario.hot_share else (100,)
                parts = (part, *others) if scenario.first_part else (*others, part)
                self._send(self._make_subjects(parts, workspace=1), crashes=True)
        for _ in range(self._draw_count(scenario.liars_per_s)):
            self._send(self._make_subjects((SYSTEM_PART, 101), workspace=9_999), crashes=True)

    def _draw_count(self, per_s: float) -> int:
        expected = per_s * STEP_MS / MS_PER_S
        return int(expected) + (self._random.random() < expected % 1)

    def _draw_sound(self) -> Subjects:
        workspace = min(int(self._random.expovariate(0.5)), self._scenario.workspaces - 1)
        document = 1_000 + workspace * 100 + self._random.randrange(self._scenario.documents)
        parts: tuple[int, ...] = (100 + workspace, document)
        if self._random.random() < self._scenario.hot_share:
            parts = (SYSTEM_PART, *parts)
        return self._make_subjects(parts, workspace=1 + workspace)

    def _make_subjects(self, parts: tuple[int, ...], *, workspace: int) -> Subjects:
        return Subjects(parts=parts, digest=self._random.getrandbits(64), workspace=workspace)

    def _send(self, subjects: Subjects, *, crashes: bool) -> None:
        guard = self._random.choice(self._guards)
        now_ms = self._clock.now_ms()
        refused = guard.find_refusal(subjects) is not None
        if not crashes:
            self._outcome.sound += 1
            self._outcome.sound_refused += refused
            self._outcome.sound_refused_late += refused and now_ms > self._start_ms + 15_000
        sound = [engine for engine in self._engines if engine.back_ms <= now_ms]
        if refused or not sound:
            return
        engine = self._random.choice(sound)
        if crashes and subjects.parts:
            for part in subjects.parts:
                if part >= FIRST_CRASHING_PART:
                    self._arrivals[part].append(now_ms)
        run = guard.start(upstream=engine.name, request_id="", subjects=subjects)
        request = _Request(guard=guard, run=run, engine=engine, crashes=crashes)
        engine.runs.add(request)
        wait_ms = self._random.randrange(50, 500)
        self._call_later(wait_ms, lambda: self._begin(request))

    def _begin(self, request: _Request) -> None:
        if request not in request.engine.runs:
            return
        if request.crashes:
            self._call_later(CRASH_AFTER_MS, lambda: self._crash_with(request))
            return
        self._write(request, self._random.randrange(3, 30))

    def _write(self, request: _Request, pieces: int) -> None:
        if request not in request.engine.runs:
            return
        request.guard.note_received(request.run)
        if pieces == 0:
            request.engine.runs.discard(request)
            request.guard.note_ended(request.run)
            return
        self._call_later(PIECE_MS, lambda: self._write(request, pieces - 1))

    def _crash_with(self, request: _Request) -> None:
        if request in request.engine.runs:
            self._crash(request.engine)

    def _lose_third(self) -> None:
        for engine in self._random.sample(self._engines, len(self._engines) // 3):
            if engine.back_ms <= self._clock.now_ms():
                self._crash(engine)

    def _crash(self, engine: _Engine) -> None:
        self._outcome.crashes += 1
        runs, engine.runs = engine.runs, set()
        for request in runs:
            request.guard.note_broken(request.run.upstream)
            request.guard.note_ended(request.run)
        engine.starts += 1
        engine.back_ms = self._clock.now_ms() + AWAY_MS

    def _count_late(self) -> None:
        for arrivals in self._arrivals.values():
            if len(arrivals) >= CRASHES:
                since_ms = arrivals[CRASHES - 1] + STABLE_MS
                late = sum(at_ms > since_ms for at_ms in arrivals)
                self._outcome.late = max(self._outcome.late, late)
        convicted = {v.subject for g in self._guards for v in g.verdicts.list_convicted()}
        self._outcome.convicted_sound = sum(s < FIRST_CRASHING_PART for s in convicted)


SCENARIOS: Final = (
    Scenario(name="one part"),
    Scenario(name="one part, 5 a second", crashing_per_s=5.0),
    Scenario(name="one part, 0.3 a second", crashing_per_s=0.3),
    Scenario(name="the first part", first_part=True),
    Scenario(name="three parts", crashing_parts=3),
    Scenario(name="eight parts, 20 engines", crashing_parts=8, engines=20, sound_per_s=100.0),
    Scenario(name="hot part in all prompts", hot_share=1.0),
    Scenario(name="no hot part", hot_share=0.0),
    Scenario(name="no culprit, three outages", crashing_parts=0, outages=3),
    Scenario(name="no culprit, ten outages", crashing_parts=0, outages=10),
    Scenario(name="one part and ten outages", outages=10),
    Scenario(name="50 workspaces, little traffic", workspaces=50, sound_per_s=10.0),
    Scenario(name="a caller that lies", crashing_parts=0, liars_per_s=1.0),
    Scenario(name="12 routers, 20 engines", routers=12, engines=20, sound_per_s=100.0),
)


async def async_measure(scenario: Scenario, *, seeds: int) -> list[Outcome]:
    """Return the outcomes of a scenario for seeds from 0 on."""
    return [await CrashRecord(scenario, seed=seed).async_play() for seed in range(seeds)]


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench crashes", description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    seeds = parser.parse_args(argv).seeds
    logging.disable(logging.WARNING)
    print_machine()
    rows: list[tuple[object, ...]] = []
    result: dict[str, Value] = {}
    for scenario in SCENARIOS:
        outcomes = asyncio.run(async_measure(scenario, seeds=seeds))
        sound = sum(o.sound for o in outcomes)
        refused = sum(o.sound_refused for o in outcomes) / sound
        figures: dict[str, Value] = {
            "crashes": sum(o.crashes for o in outcomes) / seeds,
            "most_late": max(o.late for o in outcomes),
            "over_three": sum(o.late > 3 for o in outcomes),
            "sound_refused": round(refused, 4),
            "worst_refused": round(max(o.sound_refused / o.sound for o in outcomes), 4),
            "sound_convicted": sum(o.convicted_sound for o in outcomes) / seeds,
        }
        result[scenario.name] = figures
        rows.append((scenario.name, *(value for value in figures.values())))
    columns = ("record", "crashes", "late", "over 3", "sound refused", "worst", "convicted")
    print_table(title="Errors of the decision", columns=columns, rows=rows)
    print_result({"seeds": seeds, "records": result})
    return EXIT_OK
