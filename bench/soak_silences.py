"""Soak of sound upstreams that fall silent for a moment and go on.

Upstreams stand still with their connections open, singly, in groups, by halves and whole services,
around configurations, reloads, stops and restarts; no request may lose its answer through that.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Final

from bench.raw_caller import Answer, End, RawCaller, make_post_head
from bench.soak_checks import Violation
from bench.soak_configuration import CALLER_KEY, WORKSPACE, make_route
from bench.soak_kept_callers import KeptCallers, count_ends
from bench.soak_rig import EVENTS, FORWARDERS, SoakRig
from bench.soak_silence_checks import (
    APPLY_S,
    PASSING_KEY,
    Call,
    Published,
    check_answered,
    check_contents,
    check_once,
    collect_runs,
)
from bench.soak_stops import STOP_S, Stop, check_stops
from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins import PlatformRunner

RUNNERS: Final = 6
SILENCE_S: Final = (0.3, 2.0)
# When a silence begins, from an event on; restarts also have silences after their start.
OFFSETS_S: Final = (-0.4, -0.05, 0.0, 0.05, 0.5)
TURNS: Final = 24
TURN_S: Final = (0.3, 1.2)
PACES_S: Final = (0.003, 0.01, 0.03)
FIRSTS_S: Final = (0.02, 0.1, 0.4)
MAX_TOKENS: Final = 100
LARGE_BYTES: Final = 400_000
BODY_PARTS: Final = 8
UPLOAD_BYTES: Final = 60_000
UPLOAD_PARTS: Final = 6
MAX_UPLOAD_S: Final = 1.5
SLOW_SHARE: Final = 0.3
MAX_ATTEMPTS: Final = 3
DEADLINES_MS: Final = (6_000, 12_000)
TIMEOUTS_MS: Final = (6_000, 8_000, 12_000)
MAX_PAUSE_S: Final = 0.15
# Callers of each route, and the services that serve its kind.
CALLERS: Final = {"quote": 12, "draft": 10, "lookup": 6, "reserve": 6, "fetch": 5, "order": 5}
ENGINES: Final = ("models", "drafts")
PLAIN: Final = ("records", "files")
KINDS: Final = {
    "quote": ("streaming", ENGINES),
    "draft": ("streaming", ENGINES),
    "lookup": ("idempotent", PLAIN),
    "reserve": ("non_idempotent", PLAIN),
    "fetch": ("idempotent", PLAIN),
    "order": ("non_idempotent", PLAIN),
}


class SilenceCallers(KeptCallers):
    """Callers of all routes."""

    def __init__(self, *, rig: SoakRig, seed: int) -> None:
        super().__init__(rig=rig, seed=seed, callers=CALLERS)
        self.calls: list[Call] = []

    async def async_use(
        self, connection: RawCaller, route: str, caller: int, forwarder: int, rng: random.Random
    ) -> None:
        """Send requests on a connection until it ends or an answer says that it does."""
        while not self._stopping.is_set():
            answer = await self._async_call(connection, route, caller, forwarder, rng)
            if not answer.whole_s or answer.end is not End.WHOLE or answer.announces_close:
                return
            await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))

    async def _async_call(
        self, connection: RawCaller, route: str, caller: int, forwarder: int, rng: random.Random
    ) -> Answer:
        request_id = f"{self._seed}-{route}{caller}-{len(self.calls)}"
        tokens = rng.randint(1, MAX_TOKENS) if KINDS[route][1] is ENGINES else 0
        deadline_ms = rng.randint(*DEADLINES_MS)
        key = rng.choice((CALLER_KEY, CALLER_KEY, PASSING_KEY))
        body = b"x" * (UPLOAD_BYTES if rng.random() < SLOW_SHARE else 1)
        head = make_post_head(
            request_id,
            route,
            tokens=tokens,
            prompt=f"a{caller % 3}:800,b{caller}:600",
            deadline_ms=deadline_ms,
            key=key,
            length=len(body),
        )
        size = len(body) // UPLOAD_PARTS + 1
        parts = [head + body[:size], *(body[n : n + size] for n in range(size, len(body), size))]
        pause_s = rng.uniform(0, MAX_UPLOAD_S) / UPLOAD_PARTS
        answer = await connection.async_ask(request_id, parts=parts, pause_s=pause_s)
        self.calls.append(
            Call(
                route=route,
                forwarder=forwarder,
                answer=answer,
                deadline_s=deadline_ms / MS_PER_S,
                tokens=tokens,
                key=key,
            )
        )
        return answer


class Silences:
    """Lets upstreams fall silent around configurations, reloads, stops and restarts."""

    def __init__(self, *, rig: SoakRig, seed: int) -> None:
        self._rig = rig
        self._rng = random.Random(f"{seed}/silences")
        self._silent: set[str] = set()
        self.stops: list[Stop] = []
        self.published: list[Published] = []
        self.counts: Counter[str] = Counter()

    async def async_run(self, *, turns: int) -> None:
        """Cause events in series, most with a silence."""
        tasks: list[asyncio.Future[Any]] = []
        events: Sequence[Callable[[], Awaitable[None]]] = (
            self.async_configure,
            self.async_configure,
            self._async_reload,
            self._async_stop,
            self._async_restart,
        )
        for _ in range(turns):
            offset_s = self._rng.choice(OFFSETS_S)
            event = self._rng.choice(events)
            tasks.append(asyncio.ensure_future(_async_after(max(0.0, -offset_s), event())))
            silence = self._async_silence(self._choose_upstreams())
            tasks.append(asyncio.ensure_future(_async_after(max(0.0, offset_s), silence)))
            await asyncio.sleep(self._rng.uniform(*TURN_S))
        await asyncio.gather(*tasks)

    def _choose_upstreams(self) -> list[PlatformRunner]:
        runners = self._rig.runners[self._rng.choice((*ENGINES, *PLAIN))]
        everywhere = self._rig.list_runners()
        group = self._rng.randint(2, 5)
        name, chosen = self._rng.choice(
            (
                ("one", self._rng.sample(runners, 1)),
                ("group", self._rng.sample(everywhere, group)),
                ("half", self._rng.sample(runners, len(runners) // 2)),
                ("service", runners),
            )
        )
        self.counts[f"silent {name}"] += 1
        return [runner for runner in chosen if runner.name not in self._silent]

    async def _async_silence(self, runners: Sequence[PlatformRunner]) -> None:
        self._silent |= {runner.name for runner in runners}
        duration_s = self._rng.uniform(*SILENCE_S)
        await asyncio.gather(*(runner.async_fall_silent(duration_s) for runner in runners))
        self._silent -= {runner.name for runner in runners}

    async def async_configure(self) -> None:
        """Publish a configuration that differs in routes, limits and keys."""
        self.counts["configurations"] += 1
        self._rig.version += self._rng.randint(1, 3)
        document = make_silences_configuration(self._rig.version, self._rng)
        self.published.append(
            Published(
                at_s=time.monotonic(),
                timeouts_s={r["name"]: r["timeout_ms"] / MS_PER_S for r in document["routes"]},
                max_attempts={r["name"]: r["max_attempts"] for r in document["routes"]},
            )
        )
        await self._rig.store.async_put_configuration(document)

    async def _async_reload(self) -> None:
        process = self._rig.forwarders[self._rng.randrange(self._rig.count)]
        if process is not None:
            self.counts["reloads"] += 1
            process.send_signal(signal.SIGHUP)

    async def _async_stop(self) -> None:
        """Stop a forwarder in time, and start it again."""
        number = self._rng.randrange(self._rig.count)
        if self._rig.forwarders[number] is None:
            return
        self.counts["stops"] += 1
        stop = Stop(forwarder=number, at_s=time.monotonic())
        self.stops.append(stop)
        ending = self._rig.async_end_forwarder(number, signal.SIGTERM, limit_s=STOP_S)
        stop.killed = await ending
        stop.ended_s = time.monotonic()
        await self._rig.async_start_forwarder(number)

    async def _async_restart(self) -> None:
        """Stop a forwarder, start it again, and let upstreams be silent right after its start."""
        await self._async_stop()
        await self._async_silence(self._choose_upstreams())


async def _async_after(delay_s: float, action: Awaitable[None]) -> None:
    await asyncio.sleep(delay_s)
    await action


def make_silences_configuration(version: int, rng: random.Random) -> dict[str, Any]:
    """Return a configuration that serves all routes; the rest is drawn."""
    routes = []
    for name, (kind, services) in KINDS.items():
        # A gap or target of None is left out.
        drawn = {
            "target_gap_ms": rng.choice((None, 0, 50, 150, 250)),
            "target_latency_ms": rng.choice((None, 0, 60, 150, 500)),
        }
        routes.append(
            make_route(
                name,
                kind,
                rng.choice(services),
                timeout_ms=rng.choice(TIMEOUTS_MS),
                max_attempts=rng.randint(1, MAX_ATTEMPTS),
                resumable=name == "quote",
                **{key: value for key, value in drawn.items() if value is not None},
            )
        )
    limits = {
        "max_body_bytes": rng.choice((UPLOAD_BYTES, 1_000_000, 4_194_304)),
        "header_timeout_ms": rng.choice((1_000, 3_000)),
        "idle_timeout_ms": rng.choice((2_000, 15_000)),
    }
    keys = [CALLER_KEY, *((PASSING_KEY,) if rng.random() < 0.5 else ())]
    engines = [{"name": name, "engine": {"slots": rng.choice((32, 64))}} for name in ENGINES]
    connections = rng.choice((0, 64))
    plain = [{"name": name, "max_connections": connections} for name in PLAIN]
    return {
        "version": version,
        "routes": routes,
        "services": [*engines, *plain],
        "tenants": [{"name": WORKSPACE, "api_keys": keys}],
        "limits": limits,
    }


def make_runners(service: str, rng: random.Random) -> list[PlatformRunner]:
    """Return the upstreams of a service, which differ in pace and size of their responses."""
    runners = []
    for number in range(RUNNERS):
        runner = PlatformRunner(
            name=f"i-{service}-{number}", events=EVENTS, events_per_token=service in ENGINES
        )
        runner.pause_s = rng.choice(PACES_S)
        if service in ENGINES:
            runner.first_pause_s = rng.choice(FIRSTS_S)
        elif number % 2:
            runner.body_bytes, runner.body_parts = LARGE_BYTES, BODY_PARTS
            runner.chunks_bodies = rng.random() < 0.5
        runners.append(runner)
    return runners


async def async_soak_silences(
    *, seed: int, folder: Path, forwarders: int = FORWARDERS, turns: int = TURNS
) -> tuple[dict[str, object], list[Violation], SoakRig]:
    """Run one seed and return its figures, its violations and the stopped rig."""
    rng = random.Random(f"{seed}/world")
    bounds = {"stop_ms": round(STOP_S * MS_PER_S)}
    rig = SoakRig(folder=folder, forwarders=forwarders, bounds=bounds)
    rig.runners = {service: make_runners(service, rng) for service in (*ENGINES, *PLAIN)}
    callers = SilenceCallers(rig=rig, seed=seed)
    silences = Silences(rig=rig, seed=seed)
    try:
        await rig.async_start()
        await silences.async_configure()
        await asyncio.sleep(APPLY_S)
        running = asyncio.ensure_future(callers.async_run())
        await silences.async_run(turns=turns)
        callers.stop()
        await running
    finally:
        await rig.async_stop()
    ran = collect_runs(callers.calls, rig.list_runners())
    violations = [
        *check_stops(silences.stops),
        *check_answered(callers.calls, silences.stops, silences.published, ran),
        *check_contents(callers.calls, rig.list_runners()),
        *check_once(callers.calls, silences.published, ran),
    ]
    figures: dict[str, object] = {
        "seed": seed,
        "requests": len(callers.calls),
        "ends": count_ends(callers.calls),
        "repeated": sum(run.runs > 1 for run in ran.values()),
        "faults": silences.counts,
        "violations": [str(violation) for violation in violations],
    }
    return figures, violations, rig
