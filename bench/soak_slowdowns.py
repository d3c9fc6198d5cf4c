"""Soak of stops during which upstreams get slower after a request was taken.

By the rules a slowed upstream excuses a cut; engines that slow down under load look the same to a
router and excuse none, so here nothing is excused.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Mapping, Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Final

from msgspec import Struct

from bench.raw_caller import End, RawCaller, make_post_head
from bench.soak_checks import Violation
from bench.soak_configuration import CALLER_KEY
from bench.soak_dimensions import STREAM, make_one_attempt_configuration
from bench.soak_kept_callers import RETRY_S, KeptCallers, count_ends
from bench.soak_overlap_callers import DEADLINE_MS, OverlapCall
from bench.soak_overlap_checks import (
    GRACE_S,
    Work,
    check_lost,
    collect_work,
    count_late,
    is_unfinished,
)
from bench.soak_overlaps import StallMeter
from bench.soak_rig import EVENTS, FORWARDERS, SoakRig
from bench.soak_silence_checks import APPLY_S
from bench.soak_stops import LATE_S, Stop, Stops, check_stops, find_stop
from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins import PlatformRunner

STOPS: Final = 3
# Time before the first stop and between two, in which routers learn the paces of upstreams.
WARM_S: Final = 6.0
REST_S: Final = (4.0, 6.0)
CALLERS: Final = {STREAM: 38, "order-one": 8, "lookup": 4}
# One in so many callers uses any router, and a refused one asks again within this time.
ELSEWHERE: Final = 5
REFUSED_S: Final = 0.2
ENGINES: Final = 8
PLAIN: Final = 4
EVENT_S: Final = 0.035
FIRST_S: Final = 0.2
MIN_EVENTS: Final = 4
MAX_EVENTS: Final = 190
# Plain answers take a drawn time; with a tail, some take up to `MAX_TAIL_S`.
PLAIN_S: Final = (0.05, 0.4)
TAIL_MEDIAN_S: Final = 0.5
TAIL_SIGMA: Final = 1.3
MAX_TAIL_S: Final = 7.0
# What is drawn where no shape is given.
FACTORS: Final = (2.0, 5.0, 8.0)
SHARES: Final = (1.0, 0.5)
BEGINS_S: Final = (2.5, 5.0)
ANY_TIME_SHARE: Final = 0.25
LASTS_S: Final = (0.5, 4.0)


class Shape(Struct, frozen=True, kw_only=True):
    """How upstreams get slower in a stop: by which factor, how many, when and for how long.

    `begins_s` counts from the signal. With `has_tail` some plain answers take seconds.
    """

    factor: float = 1.0
    share: float = 1.0
    begins_s: float = 0.0
    lasts_s: float = math.inf
    has_tail: bool = False


SHAPES: Final = {
    "calm": Shape(),
    "tail": Shape(has_tail=True),
    "twice-from-3": Shape(factor=2.0, begins_s=3.0),
    "five-from-2.8": Shape(factor=5.0, begins_s=2.8),
    "five-from-5": Shape(factor=5.0, begins_s=5.0),
    "half-eight-from-3": Shape(factor=8.0, share=0.5, begins_s=3.0),
}


def draw_shape(rng: random.Random) -> Shape:
    """Return a slowdown behind a signal until the stop is over, or for a while at any time."""
    is_any_time = rng.random() < ANY_TIME_SHARE
    return Shape(
        factor=rng.choice(FACTORS),
        share=rng.choice(SHARES),
        begins_s=rng.uniform(0, GRACE_S) if is_any_time else rng.uniform(*BEGINS_S),
        lasts_s=rng.uniform(*LASTS_S) if is_any_time else math.inf,
        has_tail=rng.random() < 0.5,
    )


class SlowingUpstreams:
    """Engines and plain upstreams whose pace can change while they answer."""

    def __init__(self, *, seed: int) -> None:
        self._rng = random.Random(f"{seed}/upstreams")
        self._has_tail = False
        self._factors: dict[str, float] = {}
        self.runners: dict[str, list[PlatformRunner]] = {"records": []}
        self.runners["models"] = [
            PlatformRunner(name=f"i-models-{number}", events=EVENTS, events_per_token=True)
            for number in range(ENGINES)
        ]
        for number in range(PLAIN):
            runner = PlatformRunner(name=f"i-records-{number}", events=EVENTS)
            runner.on_run = self._make_pause(runner)
            self.runners["records"].append(runner)
        self._set_paces()

    def _make_pause(self, runner: PlatformRunner) -> Callable[[], None]:
        """Return what draws the time of the next answer of a plain upstream."""

        def draw() -> None:
            pause_s = self._rng.uniform(*PLAIN_S)
            if self._has_tail:
                drawn_s = self._rng.lognormvariate(math.log(TAIL_MEDIAN_S), TAIL_SIGMA)
                pause_s = min(MAX_TAIL_S, drawn_s)
            runner.head_pause_s = pause_s * self._factors.get(runner.name, 1.0)

        return draw

    def _set_paces(self) -> None:
        for engine in self.runners["models"]:
            factor = self._factors.get(engine.name, 1.0)
            engine.pause_s, engine.first_pause_s = EVENT_S * factor, FIRST_S * factor

    def set_tail(self, has_tail: bool) -> None:
        """Let some plain answers take seconds, or none."""
        self._has_tail = has_tail

    async def async_slow(self, shape: Shape) -> None:
        """Make upstreams slower after a while, and fast again when it is over or cancelled."""
        try:
            await asyncio.sleep(shape.begins_s)
            for runners in self.runners.values():
                slowed = self._rng.sample(runners, round(shape.share * len(runners)))
                self._factors.update({runner.name: shape.factor for runner in slowed})
            self._set_paces()
            await asyncio.sleep(min(shape.lasts_s, GRACE_S))
        finally:
            self._factors.clear()
            self._set_paces()


class SlowdownCallers(KeptCallers):
    """Callers of which most use the router that stops next, until its process is gone.

    `stopping` is the number of that router.
    """

    def __init__(self, *, rig: SoakRig, seed: int) -> None:
        super().__init__(rig=rig, seed=seed, callers=CALLERS)
        self._drawn = 0
        self.stopping = 0
        self.calls: list[OverlapCall] = []

    def choose_forwarder(self, _route: str, caller: int, rng: random.Random) -> int:
        """Return the router that stops next, or any."""
        return self.stopping if caller % ELSEWHERE else rng.randrange(self._rig.count)

    async def async_use(
        self, connection: RawCaller, route: str, caller: int, forwarder: int, rng: random.Random
    ) -> None:
        """Send requests on a connection until it ends or an answer says that it does."""
        manner = "new"
        while not self._stopping.is_set():
            self._drawn += 1
            request_id = f"{self._seed}-{route}{caller}-{self._drawn}"
            tokens = rng.randint(MIN_EVENTS, MAX_EVENTS) if route == STREAM else 0
            head = make_post_head(
                request_id,
                route,
                tokens=tokens,
                prompt=f"a{caller % 3}:800,b{caller}:600",
                deadline_ms=DEADLINE_MS,
                key=CALLER_KEY,
                length=1,
            )
            answer = await connection.async_ask(request_id, parts=[head + b"x"])
            self.calls.append(
                OverlapCall(
                    route=route,
                    forwarder=forwarder,
                    answer=answer,
                    deadline_s=DEADLINE_MS / MS_PER_S,
                    tokens=tokens,
                    manner=manner,
                )
            )
            manner = "kept"
            is_served = answer.status == HTTPStatus.OK
            await asyncio.sleep(rng.uniform(0, RETRY_S if is_served else REFUSED_S))
            is_elsewhere = caller % ELSEWHERE and forwarder != self.stopping
            is_over = answer.end is not End.WHOLE or answer.announces_close
            if not answer.whole_s or is_over or is_elsewhere:
                return


def count_by_stop(
    calls: Sequence[OverlapCall], stops: Sequence[Stop], work: Mapping[str, Sequence[Work]]
) -> list[dict[str, int]]:
    """Count for each stop what was sent late, what of it ran, was served whole and was cut."""
    counts = [{"late": 0, "ran": 0, "whole": 0, "cut": 0} for _ in stops]
    for call in calls:
        stop = find_stop(call.forwarder, call.answer, stops)
        if stop is None or call.answer.sent_s <= stop.at_s + LATE_S:
            continue
        count = counts[stops.index(stop)]
        has_run, is_cut = call.answer.request_id in work, is_unfinished(call, work)
        count["late"] += 1
        count["ran"] += has_run
        count["whole"] += has_run and not is_cut and call.answer.status == HTTPStatus.OK
        count["cut"] += has_run and is_cut
    return counts


async def async_soak_slowdowns(
    *,
    seed: int,
    folder: Path,
    forwarders: int = FORWARDERS,
    stops: int = STOPS,
    warm_s: float = WARM_S,
    shape: Shape | None = None,
    product: Path | None = None,
) -> tuple[dict[str, object], list[Violation], SoakRig]:
    """Run one seed and return its figures, its violations and the stopped rig.

    `shape` is that of each stop, or drawn; `product` is a checkout whose forwarders are played.
    """
    rng = random.Random(f"{seed}/world")
    bounds = {"stop_ms": round(GRACE_S * MS_PER_S)}
    rig = SoakRig(folder=folder, forwarders=forwarders, bounds=bounds, product=product)
    upstreams = SlowingUpstreams(seed=seed)
    rig.runners = upstreams.runners
    callers = SlowdownCallers(rig=rig, seed=seed)
    series = Stops(rig=rig, seed=seed, stop_s=GRACE_S, max_later=0)
    meter = StallMeter()
    shapes: list[Shape] = []
    try:
        await rig.async_start()
        rig.version += 1
        await rig.store.async_put_configuration(make_one_attempt_configuration(rig.version))
        await asyncio.sleep(APPLY_S)
        running = asyncio.ensure_future(callers.async_run())
        metering = asyncio.ensure_future(meter.async_run())
        for number in range(stops):
            shapes.append(shape or draw_shape(rng))
            upstreams.set_tail(shapes[-1].has_tail)
            callers.stopping = number % forwarders
            await asyncio.sleep(rng.uniform(*REST_S) if number else warm_s)
            slowing = asyncio.ensure_future(upstreams.async_slow(shapes[-1]))
            await series.async_stop_once(number % forwarders)
            slowing.cancel()
            await asyncio.wait((slowing,))
        # What is under way is at other routers, whose answers no stop touches.
        running.cancel()
        metering.cancel()
        await asyncio.wait((running, metering))
    finally:
        await rig.async_stop()
    calls, work = callers.calls, collect_work(rig.list_runners())
    violations = [
        *check_stops(series.made),
        *check_lost(calls, series.made, work, ()),
    ]
    figures: dict[str, object] = {
        "seed": seed,
        "requests": len(calls),
        "ends": count_ends(calls),
        "shapes": [str(shape) for shape in shapes],
        "stops": count_by_stop(calls, series.made, work),
        "late": count_late(calls, series.made, work, ()),
        "stop_s": [round(stop.ended_s - stop.at_s, 2) for stop in series.made],
        "stalled_ms": round(meter.longest_s * MS_PER_S),
        "violations": [str(violation) for violation in violations],
    }
    return figures, violations, rig
