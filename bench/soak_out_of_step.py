"""Soak of streams that are taken up at routers out of step while versions of upstreams change.

In each round one or two routers are cut off or stand still. Meanwhile upstreams of a new version
join, in several services at once, streams begin through the other routers, and their callers leave
them and take them up at the routers out of step.
"""

from __future__ import annotations

import asyncio
import random
import signal
import statistics
import time
from collections import Counter
from collections.abc import Collection, Sequence
from enum import StrEnum
from pathlib import Path
from typing import Final

import aiohttp
from msgspec import Struct, field

from bench.out_of_step_rig import STREAM_EVENTS, OutOfStepRig
from bench.soak_checks import Violation
from bench.soak_configuration import CALLER_KEY, HOST
from bench.soak_rig import SoakRig
from bench.soak_streams import EVENT
from gypsumrouter.const import MS_PER_S
from gypsumrouter.platform import names
from gypsumrouter.standins.published_store import StoreFault

FORWARDERS: Final = 6
SERVICES_PER_ROUND: Final = 5
UPSTREAMS: Final = 6
RESTARTED: Final = 3
STREAMS: Final = 12
# Callers take a stream up elsewhere than at the routers out of step so often.
ELSEWHERE: Final = 0.25
LEFT_AFTER: Final = (2, 8)
BEGINS_S: Final = (0.0, 0.3)
CALLER_S: Final = 7.0
JOIN_S: Final = 0.08
SETTLE_S: Final = 1.2
CUT_S: Final = (0.5, 2.9)
LONG_CUT_S: Final = (3.0, 6.0)
STOPPED_S: Final = (0.3, 2.3)
# The others stand still from so long before one that stood still goes on, and for so long.
OTHERS_BEFORE_S: Final = 0.05
OTHERS_S: Final = 0.5
STATUS_OK: Final = 200
STATUS_REFUSED: Final = 503


class Shape(StrEnum):
    """What puts routers out of step, and what the versions do meanwhile.

    Links and the way to the store pass nothing: CUT, of one router; LONG_CUT, longer; PAIR, of two
    that reach each other; INWARD, only what is sent to it; LINKS, only links; STORE, only the
    store.
    STOPPED: a router stands still; STOPPED_ALL: the others, too, when it goes on. LEAVES: a CUT in
    which the old version leaves. RESTARTS: a CUT in which upstreams start again under their ids.
    KILLED: a CUT, and the router that began a stream is killed. LATER: a CUT, and callers return
    behind it. Controls, with one version: CALM; STORE_AWAY: the store is away for all. CALM_TWO:
    the new version joins, and nothing else happens.
    """

    CUT = "cut"
    LONG_CUT = "long-cut"
    PAIR = "pair"
    INWARD = "inward"
    LINKS = "links"
    STORE = "store"
    STOPPED = "stopped"
    STOPPED_ALL = "stopped-all"
    LEAVES = "leaves"
    RESTARTS = "restarts"
    KILLED = "killed"
    LATER = "later"
    CALM = "calm"
    CALM_TWO = "calm-two"
    STORE_AWAY = "store-away"


ONE_VERSION: Final = (Shape.CALM, Shape.STORE_AWAY)
SIGNALLED: Final = (Shape.STOPPED, Shape.STOPPED_ALL)
# Rounds of one seed if no shape is asked for.
ROUNDS: Final = 5


class Taken(Struct, kw_only=True):
    """One stream: what its caller got from the request that began it, and from the second one."""

    shape: Shape
    request_id: str
    out_of_step: bool
    states_start: bool
    first: list[str] = field(default_factory=list)
    second: list[str] = field(default_factory=list)
    status: int = 0
    first_event_ms: float = 0.0

    @property
    def is_joined(self) -> bool:
        """Return whether its caller has events of two versions."""
        return len({*self.first, *self.second}) > 1

    @property
    def result(self) -> str:
        """Return what became of it."""
        if self.is_joined:
            return "joined"
        if self.status == STATUS_OK and self.second:
            return "goes on"
        return "refused" if self.status == STATUS_REFUSED else f"failed {self.status}"


class Play:
    """The rounds of one seed."""

    def __init__(self, *, rig: OutOfStepRig, seed: int) -> None:
        self._rig = rig
        self._seed = seed
        self._rng = random.Random(f"{seed}/out of step")
        self._states_start = bool(seed % 2)
        self._calls = 0
        self.taken: list[Taken] = []

    def _are_starts_stated(self, shape: Shape) -> bool:
        """Return whether upstreams state their starts; one that keeps its id always does."""
        return self._states_start or shape is Shape.RESTARTS

    async def async_prepare(self, shape: Shape, services: Collection[str]) -> None:
        """Start the upstreams of the first version."""
        stated = self._are_starts_stated(shape)
        for service in services:
            for number in range(UPSTREAMS):
                await self._rig.async_add_upstream(
                    service, f"{service}-old-{number}", "v1", states_start=stated
                )

    async def async_run_round(self, shape: Shape, services: Sequence[str]) -> None:
        """Put routers out of step, and play on each service at once."""
        first = self._rng.randrange(self._rig.count)
        group = [first]
        if shape is Shape.PAIR:
            place = self._rig.get_data_centre(first)
            group = [n for n in range(self._rig.count) if self._rig.get_data_centre(n) == place]
        duration_s = self._rng.uniform(*_get_range(shape))
        until_s = time.monotonic() + duration_s
        # A router that stands still is not asked before its callers are there.
        fault = asyncio.create_task(self._async_disturb(shape, group, duration_s))
        await asyncio.gather(
            fault, *(self._async_play_service(shape, s, group, until_s) for s in services)
        )
        await self._async_restart_killed()
        await asyncio.sleep(SETTLE_S)

    async def _async_restart_killed(self) -> None:
        for number, process in enumerate(self._rig.forwarders):
            if process is None:
                await self._rig.async_start_forwarder(number)

    async def _async_disturb(self, shape: Shape, group: list[int], duration_s: float) -> None:
        match shape:
            case Shape.CALM | Shape.CALM_TWO:
                return
            case Shape.STORE_AWAY:
                await self._rig.store.async_set_fault(StoreFault.BUSY)
                await asyncio.sleep(duration_s)
                await self._rig.store.async_set_fault(StoreFault.NONE)
                return
            case Shape.STOPPED | Shape.STOPPED_ALL:
                await self._async_stop_processes(shape, group, duration_s)
                return
        if shape is not Shape.STORE:
            self._rig.cut_links(group, inward_only=shape is Shape.INWARD)
        if shape is not Shape.LINKS:
            self._rig.cut_store(group, inward_only=shape is Shape.INWARD)
        await asyncio.sleep(duration_s)
        self._rig.reopen()

    async def _async_stop_processes(
        self, shape: Shape, group: list[int], duration_s: float
    ) -> None:
        others = [n for n in range(self._rig.count) if n not in group]
        self._rig.signal(group, signal.SIGSTOP)
        if shape is Shape.STOPPED:
            await asyncio.sleep(duration_s)
            self._rig.signal(group, signal.SIGCONT)
            return
        await asyncio.sleep(max(0.0, duration_s - OTHERS_BEFORE_S))
        self._rig.signal(others, signal.SIGSTOP)
        await asyncio.sleep(OTHERS_BEFORE_S)
        self._rig.signal(group, signal.SIGCONT)
        await asyncio.sleep(OTHERS_S - OTHERS_BEFORE_S)
        self._rig.signal(others, signal.SIGCONT)

    async def _async_play_service(
        self, shape: Shape, service: str, group: list[int], until_s: float
    ) -> None:
        await asyncio.sleep(self._rng.uniform(*BEGINS_S))
        if shape not in ONE_VERSION:
            await self._async_change_versions(shape, service)
        await asyncio.sleep(JOIN_S)
        others = [n for n in range(self._rig.count) if n not in group]
        streams = [
            self._async_play_stream(shape, service, group, others, until_s) for _ in range(STREAMS)
        ]
        if shape is Shape.KILLED and service.endswith("-0"):
            streams.append(self._async_kill(self._rng.choice(others)))
        await asyncio.gather(*streams)

    async def _async_kill(self, number: int) -> None:
        await asyncio.sleep(JOIN_S)
        await self._rig.async_end_forwarder(number, signal.SIGKILL)

    async def _async_change_versions(self, shape: Shape, service: str) -> None:
        old = list(self._rig.runners[service])
        if shape is Shape.RESTARTS:
            restarts = (
                self._rig.async_restart_upstream(service, engine, "v2")
                for engine in old[:RESTARTED]
            )
            await asyncio.gather(*restarts)
            return
        for number in range(UPSTREAMS):
            await self._rig.async_add_upstream(
                service, f"{service}-new-{number}", "v2", states_start=self._states_start
            )
        if shape is Shape.LEAVES:
            for engine in old:
                engine.draining = True
                await self._rig.async_list_runner(service, engine, state="draining")

    async def _async_play_stream(
        self, shape: Shape, service: str, group: list[int], others: list[int], until_s: float
    ) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 0.15))
        out_of_step = shape in ONE_VERSION or self._rng.random() >= ELSEWHERE
        taken = Taken(
            shape=shape,
            request_id=self._make_id(),
            out_of_step=out_of_step,
            states_start=self._are_starts_stated(shape),
        )
        began = self._rng.choice(others)
        left_after = self._rng.randint(*LEFT_AFTER)
        await self._async_request(taken, began, service, {}, taken.first, left_after)
        if not taken.first or len(taken.first) == STREAM_EVENTS:
            return
        if shape is Shape.LATER:
            await asyncio.sleep(max(0.0, until_s - time.monotonic() + self._rng.uniform(-0.4, 1.2)))
        began_as, taken.request_id = taken.request_id, self._make_id()
        headers = {names.LAST_EVENT_ID: str(len(taken.first)), names.RESUMES: began_as}
        at = self._rng.choice(group if out_of_step else others)
        sent_s = time.monotonic()
        taken.status = await self._async_request(
            taken, at, service, headers, taken.second, STREAM_EVENTS, sent_s=sent_s
        )
        self.taken.append(taken)

    def _make_id(self) -> str:
        self._calls += 1
        return f"{self._seed}-o{self._calls}"

    async def _async_request(
        self,
        taken: Taken,
        forwarder: int,
        service: str,
        headers: dict[str, str],
        versions: list[str],
        left_after: int,
        *,
        sent_s: float = 0.0,
    ) -> int:
        """Request a stream, or its rest, and read some events; return the status, 0 without one."""
        all_headers = {
            "Host": HOST,
            names.REQUEST_ID: taken.request_id,
            names.DEADLINE: str(int(CALLER_S * MS_PER_S)),
            names.API_KEY: CALLER_KEY,
            names.TOKEN_USAGE: "1400,60",
            names.MODEL: "m",
            names.PREFIX_PARTS: f"a1:800,{self._calls:x}:200",
            **headers,
        }
        connector = aiohttp.TCPConnector(force_close=True)
        url = self._rig.url(forwarder, f"/{service}/{taken.request_id}")
        rest = b""
        status = 0
        try:
            async with (
                asyncio.timeout(CALLER_S),
                aiohttp.ClientSession(connector=connector) as session,
                session.post(url, headers=all_headers, data=b"a prompt") as answer,
            ):
                status = answer.status
                while part := await answer.content.readany():
                    rest += part
                    while found := EVENT.match(rest):
                        if not versions:
                            taken.first_event_ms = (time.monotonic() - sent_s) * MS_PER_S
                        versions.append(found[2].decode())
                        rest = rest[found.end() :]
                    if len(versions) >= left_after:
                        break
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        return status


def _get_range(shape: Shape) -> tuple[float, float]:
    if shape in SIGNALLED:
        return STOPPED_S
    return LONG_CUT_S if shape is Shape.LONG_CUT else CUT_S


def check_taken(taken: Sequence[Taken]) -> list[Violation]:
    """Check that no stream has two versions, and that calm routers refuse none of one version.

    With upstreams that state their starts, a stream that breaks off before its start is proven is
    refused (decision 0017).
    """
    violations = [
        Violation(
            guarantee="joined versions", request_id=one.request_id, detail=f"shape {one.shape}"
        )
        for one in taken
        if one.is_joined
    ]
    violations += [
        Violation(guarantee="streams do not go on", request_id=one.request_id, detail=one.result)
        for one in taken
        if one.shape is Shape.CALM and not one.states_start and one.result != "goes on"
    ]
    return violations


def count_results(taken: Sequence[Taken]) -> dict[str, object]:
    """Return how many streams went on, were refused and failed, by shape and kind of router."""
    figures: dict[str, object] = {}
    for shape in Shape:
        for out_of_step, where in ((True, ""), (False, ", elsewhere")):
            some = [t for t in taken if t.shape is shape and t.out_of_step is out_of_step]
            if not some:
                continue
            times = [t.first_event_ms for t in some if t.result == "goes on"]
            counts: dict[str, object] = dict(Counter(t.result for t in some))
            if times:
                counts["median_ms"] = round(statistics.median(times))
            figures[f"{shape}{where}"] = counts
    return figures


async def async_soak_out_of_step(
    *,
    seed: int,
    folder: Path,
    forwarders: int,
    shapes: Sequence[Shape] = (),
    product: Path | None = None,
) -> tuple[dict[str, object], list[Violation], SoakRig]:
    """Play one seed; return its figures, the violations and the stopped rig."""
    rng = random.Random(f"{seed}/shapes")
    played = list(shapes) or rng.sample(list(Shape), ROUNDS)
    rounds = [
        [f"r{number}-{service}" for service in range(SERVICES_PER_ROUND)]
        for number in range(len(played))
    ]
    services = [service for group in rounds for service in group]
    rig = OutOfStepRig(folder=folder, forwarders=forwarders, services=services, product=product)
    play = Play(rig=rig, seed=seed)
    try:
        await rig.async_start()
        for shape, group in zip(played, rounds, strict=True):
            await play.async_prepare(shape, group)
        await asyncio.sleep(SETTLE_S)
        for shape, group in zip(played, rounds, strict=True):
            await play.async_run_round(shape, group)
    finally:
        await rig.async_stop()
    violations = check_taken(play.taken)
    figures: dict[str, object] = {
        "seed": seed,
        "states_start": bool(seed % 2),
        "taken_up": len(play.taken),
        "results": count_results(play.taken),
        "violations": len(violations),
    }
    return figures, violations, rig
