"""Soak of stops as a platform may make them, and of upstreams that send bytes without end.

Forwarders get signals in series, also right after their start and during a drain, while engines
differ in pace and first event; callers keep their connections and some read slowly.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from contextlib import suppress
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

import aiohttp
from msgspec import Struct

from bench.processes import DaemonProcess
from bench.raw_caller import Answer, End, RawCaller
from bench.soak_checks import Violation
from bench.soak_rig import FORWARDERS, SoakRig
from gypsumrouter.const import MS_PER_S
from gypsumrouter.instances import Address
from gypsumrouter.outcomes import Reason
from gypsumrouter.standins.endless_upstream import STATES, EndlessUpstream

# The forwarders take this long for a stop, and are killed then.
STOP_S: Final = 6.0
# A stream that is sent later than this after a signal must not be cut, nor any before the last
# sixth of the stop.
LATE_S: Final = 3.0
LAST_SHARE: Final = 5 / 6
# Time that engines of the rig need, as a share of their pauses.
USUAL_OVERHEAD: Final = 1.1
# Longer than any stream takes.
TIMEOUT_MS: Final = 15_000
# Requests on kept connections are still taken for this long after a signal.
KEPT_S: Final = 2.4
ROUNDS: Final = 2
STREAMERS: Final = 24
SLOW_SHARE: Final = 0.1
SLOW_BYTES_PER_S: Final = 3_000
LOOKUPS: Final = 6
PACES_S: Final = (0.003, 0.007, 0.012, 0.03, 0.05)
FIRSTS_S: Final = (0.05, 0.4, 1.0, 2.0)
MAX_TOKENS: Final = 120
# Signals after the first, and when they come.
LATER: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
MAX_LATER: Final = 4
MAX_GAP_S: Final = 3.0
EARLY_STOPS: Final = 0.2
RETRY_S: Final = 0.05
READY_TIMEOUT_S: Final = 30.0
ADDRESS_READY: Final = "ready"
READY_PATH: Final = "/readyz"
MIN_SERVED: Final = 0.95


class Stop(Struct, kw_only=True):
    """A stop of a forwarder: its first signal, its end (monotonic seconds) and its exit code.

    `ready_s` is when the process that was started behind it reported ready, or ended.
    """

    forwarder: int
    at_s: float
    ended_s: float = 0.0
    ready_s: float = 0.0
    killed: bool = False
    exit_code: int = 0


class Asked(Struct, frozen=True, kw_only=True):
    """A request of a caller, the forwarder that got it, and whether its connection was kept."""

    forwarder: int
    answer: Answer
    kept: bool
    tokens: int = 0


class StopCallers:
    """Callers that keep their connections until these end, and ask without a pause."""

    def __init__(self, *, rig: SoakRig, seed: int) -> None:
        self._rig = rig
        self._seed = seed
        self._stopping = asyncio.Event()
        self.streams: list[Asked] = []
        self.lookups: list[Asked] = []

    def stop(self) -> None:
        """Stop each caller after its current request."""
        self._stopping.set()

    async def async_run(self) -> None:
        """Send requests until stopped."""
        streamers = (self._async_stream(number) for number in range(STREAMERS))
        lookups = (self._async_look_up(number) for number in range(LOOKUPS))
        await asyncio.gather(*streamers, *lookups)

    async def _async_stream(self, caller: int) -> None:
        rng = random.Random(f"{self._seed}/streams/{caller}")
        pace = SLOW_BYTES_PER_S if rng.random() < SLOW_SHARE else None
        while not self._stopping.is_set():
            await self._async_use_connection(
                caller, rng, self.streams, path="/draft/a", bytes_per_s=pace
            )

    async def _async_look_up(self, caller: int) -> None:
        rng = random.Random(f"{self._seed}/lookups/{caller}")
        while not self._stopping.is_set():
            await self._async_use_connection(caller, rng, self.lookups, path="/lookup/a", once=True)
            await asyncio.sleep(RETRY_S)

    async def _async_use_connection(
        self,
        caller: int,
        rng: random.Random,
        asked: list[Asked],
        *,
        once: bool = False,
        **options: Any,
    ) -> None:
        """Ask on one connection until it ends."""
        forwarder = rng.randrange(self._rig.count)
        port = self._rig.get_callers_port(forwarder)
        connection = RawCaller(Address(host="127.0.0.1", port=port))
        kept = False
        try:
            await connection.async_open()
            while not self._stopping.is_set():
                request_id = f"{self._seed}-{options['path'][1]}{caller}-{len(asked)}"
                tokens = None if once else rng.randint(1, MAX_TOKENS)
                answer = await connection.async_ask(request_id, tokens=tokens, **options)
                asked.append(
                    Asked(forwarder=forwarder, answer=answer, kept=kept, tokens=tokens or 0)
                )
                kept = True
                if once or answer.end is not End.WHOLE or answer.announces_close:
                    return
                await asyncio.sleep(RETRY_S if answer.status != 200 else 0)
        except OSError:
            await asyncio.sleep(RETRY_S)
        finally:
            connection.close()


class Stops:
    """Stops one forwarder after the other, with signals in series, and starts it again.

    A process that lasts longer than `stop_s` is killed. Up to `max_later` signals follow the
    first.
    """

    def __init__(
        self, *, rig: SoakRig, seed: int | str, stop_s: float = STOP_S, max_later: int = MAX_LATER
    ) -> None:
        self._rig = rig
        self._max_later = max_later
        self._stop_s = stop_s
        self._rng = random.Random(f"{seed}/stops")
        self.made: list[Stop] = []
        self._starting: list[asyncio.Task[None]] = []
        self.counts: Counter[str] = Counter()

    async def async_run(self) -> None:
        """Stop all forwarders in turn, so that the stops of two overlap."""
        tasks = []
        for turn in range(ROUNDS * self._rig.count):
            tasks.append(asyncio.ensure_future(self._async_stop(turn % self._rig.count)))
            await asyncio.sleep(STOP_S / self._rig.count + self._rng.uniform(0, 1))
        await asyncio.gather(*tasks)
        await asyncio.gather(*self._starting)

    async def _async_stop(self, number: int) -> None:
        await self.async_stop_once(number)
        if self._rng.random() < EARLY_STOPS:
            self.counts["early"] += 1
            await self.async_stop_once(number)

    async def async_stop_once(self, number: int) -> None:
        """Stop a forwarder, and start it again once it has ended."""
        process = self._rig.forwarders[number]
        if process is None:
            return
        self.counts["stops"] += 1
        stop = Stop(forwarder=number, at_s=time.monotonic())
        self.made.append(stop)
        first = self._rng.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGINT))
        ending = self._rig.async_end_forwarder(number, first, limit_s=self._stop_s)
        series = asyncio.ensure_future(self._async_send_later(process.send_signal))
        stop.killed = await ending
        series.cancel()
        stop.ended_s = time.monotonic()
        stop.exit_code = process.process.returncode or 0
        await self._rig.async_start_forwarder(number)
        if (started := self._rig.forwarders[number]) is not None:
            self._starting.append(asyncio.create_task(_async_note_ready(stop, started)))

    async def _async_send_later(self, send: Any) -> None:
        for _ in range(self._rng.randint(0, self._max_later)):
            await asyncio.sleep(self._rng.choice((0.0, self._rng.uniform(0, MAX_GAP_S))))
            number = self._rng.choice(LATER)
            self.counts[number.name] += 1
            send(number)


async def _async_note_ready(stop: Stop, started: DaemonProcess) -> None:
    """Note when a process that was started behind a stop is ready; raises TimeoutError."""
    url = f"http://{started.addresses[ADDRESS_READY]}{READY_PATH}"
    async with asyncio.timeout(READY_TIMEOUT_S), aiohttp.ClientSession() as session:
        while started.process.returncode is None:
            with suppress(aiohttp.ClientError):
                async with session.get(url) as response:
                    if response.status == HTTPStatus.OK:
                        break
            await asyncio.sleep(RETRY_S)
    stop.ready_s = time.monotonic()


async def async_soak_stops(
    *, seed: int, folder: Path, forwarders: int = FORWARDERS
) -> tuple[dict[str, object], list[Violation], SoakRig]:
    """Run one seed and return its figures, its violations and the stopped rig."""
    rng = random.Random(f"{seed}/world")
    rig = SoakRig(
        folder=folder,
        forwarders=forwarders,
        bounds={"stop_ms": round(STOP_S * MS_PER_S)},
        timeout_ms=TIMEOUT_MS,
    )
    for engine in rig.runners["models"]:
        engine.has_event_per_token = True
        engine.pause_s, engine.first_pause_s = rng.choice(PACES_S), rng.choice(FIRSTS_S)
    endless = EndlessUpstream(choose=lambda _head: rng.choice(sorted(STATES)))
    try:
        await rig.async_start()
        await rig.store.async_put_runner(
            "i-endless", service="records", address=await endless.async_start(), state="ready"
        )
        callers = StopCallers(rig=rig, seed=seed)
        stops = Stops(rig=rig, seed=seed)
        running = asyncio.gather(callers.async_run())
        await stops.async_run()
        callers.stop()
        await running
    finally:
        await endless.async_stop()
        await rig.async_stop()
    ran = {
        arrival.request_id: (engine.first_pause_s, engine.pause_s)
        for engine in rig.runners["models"]
        for arrival in engine.arrivals
        if arrival.ran
    }
    violations = [
        *check_stops(stops.made),
        *check_cut(callers.streams, stops.made, ran),
        *check_kept(callers.streams, stops.made),
        *check_served(callers.lookups, stops.made),
    ]
    figures: dict[str, object] = {
        "seed": seed,
        "streams": Counter(f"{a.answer.end.value} {a.answer.status}" for a in callers.streams),
        "lookups": Counter(str(asked.answer.status) for asked in callers.lookups),
        "endless": endless.requests,
        "faults": stops.counts,
        "violations": [str(violation) for violation in violations],
    }
    return figures, violations, rig


def check_stops(stops: Sequence[Stop]) -> Iterator[Violation]:
    """Check that processes end before they have to be killed, and not by a failure."""
    for stop in stops:
        if stop.killed:
            yield Violation(
                guarantee="stop not in time", request_id="", detail=f"entry-{stop.forwarder}"
            )
        elif stop.exit_code:
            detail = f"entry-{stop.forwarder} {stop.exit_code}, {stop.ended_s - stop.at_s:.2f} s"
            yield Violation(guarantee="stop ended with a failure", detail=detail)


def find_stop(forwarder: int, answer: Answer, stops: Sequence[Stop]) -> Stop | None:
    """Return the stop of its forwarder during which a request was under way."""
    for stop in stops:
        ended_s = stop.ended_s or time.monotonic()
        if stop.forwarder == forwarder and answer.sent_s <= ended_s and answer.ended_s >= stop.at_s:
            return stop
    return None


def check_cut(
    streams: Sequence[Asked], stops: Sequence[Stop], ran: Mapping[str, tuple[float, float]]
) -> Iterator[Violation]:
    """Check that streams that ran are cut neither early nor if they were sent late in a stop.

    `ran` has the pauses of the engine, before the first event and before each (seconds). A late one
    that would have ended in time by these was held up by the engine after it was taken.
    """
    for asked in streams:
        answer = asked.answer
        stop = find_stop(asked.forwarder, asked.answer, stops)
        if answer.end is End.WHOLE or answer.request_id not in ran or stop is None:
            continue
        sent_s, cut_s = answer.sent_s - stop.at_s, answer.ended_s - stop.at_s
        first_s, pause_s = ran[answer.request_id]
        needed_s = (first_s + pause_s * asked.tokens) * USUAL_OVERHEAD
        taken_too_late = sent_s > LATE_S and answer.sent_s + needed_s > answer.ended_s
        if taken_too_late or cut_s < LAST_SHARE * STOP_S:
            yield Violation(
                guarantee="cut by a stop",
                request_id=answer.request_id,
                detail=f"{answer.end} {answer.status} sent {sent_s:.2f} s after, cut {cut_s:.2f} s",
            )


def check_kept(streams: Sequence[Asked], stops: Sequence[Stop]) -> Iterator[Violation]:
    """Check that kept connections are not closed unannounced in the first seconds of a stop."""
    for asked in streams:
        answer, stop = asked.answer, find_stop(asked.forwarder, asked.answer, stops)
        if not asked.kept or answer.status or stop is None:
            continue
        if stop.at_s < answer.sent_s < stop.at_s + KEPT_S and not stop.killed:
            yield Violation(
                guarantee="kept connection closed unannounced",
                request_id=answer.request_id,
                detail=f"{answer.end} {answer.sent_s - stop.at_s:.2f} s after the signal",
            )


def _was_starting(asked: Asked, stops: Sequence[Stop]) -> bool:
    """Return whether a request was refused by a process that had not reported ready yet."""
    answer = asked.answer
    return (
        answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        and f'"{Reason.NOT_READY}"'.encode() in answer.body
        and any(
            stop.forwarder == asked.forwarder and stop.ended_s <= answer.sent_s < stop.ready_s
            for stop in stops
        )
    )


def check_served(lookups: Sequence[Asked], stops: Sequence[Stop]) -> Iterator[Violation]:
    """Check that requests that may be repeated are served beside an endless upstream."""
    calm = [
        asked.answer
        for asked in lookups
        if find_stop(asked.forwarder, asked.answer, stops) is None
        and not _was_starting(asked, stops)
    ]
    served = sum(answer.status == 200 and answer.end is End.WHOLE for answer in calm)
    if served < MIN_SERVED * len(calm):
        yield Violation(
            guarantee="not served beside endless bytes",
            request_id="",
            detail=f"{served} of {len(calm)}",
        )
