"""Callers of the soak test that take streams up at other forwarders, and the checks of those."""

from __future__ import annotations

import asyncio
import random
import re
import time
from collections.abc import Iterator, Sequence
from typing import Final

import aiohttp
from msgspec import Struct, field

from bench.soak_checks import Violation
from bench.soak_configuration import CALLER_KEY, HOST
from bench.soak_rig import EVENTS, SoakRig
from gypsumrouter.platform import names

STREAM_CALLERS: Final = 10
MAX_TRIES: Final = 4
DEADLINE_S: Final = 2.0
# Share of the tries that the caller ends itself in the middle of the stream.
LEAVES: Final = 0.15
MAX_LEFT_AFTER: Final = 8
MEAN_PAUSE_S: Final = 0.02
STATUS_OK: Final = 200
EVENT: Final = re.compile(rb"id: (\d+)\ndata: (v\d+) piece \1\n\n")
# The share of the streams that go on is compared with that of new streams from this number on.
MIN_TAKEN_UP: Final = 12
MIN_UPSTREAMS: Final = 2
MIN_SHARE: Final = 0.5


class StreamEvent(Struct, frozen=True, kw_only=True):
    """One event that a caller received."""

    number: int
    version: str


class Try(Struct, kw_only=True):
    """One request for a stream; `status` is 0 without a response.

    `complete` means that its response ended regularly. `upstreams` is the number of upstreams of
    the stream's version that were listed as ready when it was sent; `bound` says that its forwarder
    and the store had been left alone.
    """

    request_id: str
    forwarder: int
    upstreams: int
    bound: bool
    status: int = 0
    events: list[StreamEvent] = field(default_factory=list)
    rest: bytes = b""
    complete: bool = False

    @property
    def goes_on(self) -> bool:
        """Return whether any part of the stream arrived."""
        return self.status == STATUS_OK and bool(self.events or self.complete)


class StreamCallers:
    """Callers that begin streams and take up those that break off, each at another forwarder.

    The first streams begin after `first_after_s`.
    """

    def __init__(self, *, rig: SoakRig, seed: int, first_after_s: float = 0.0) -> None:
        self._first_after_s = first_after_s
        self._rig = rig
        self._seed = seed
        self._stopping = asyncio.Event()
        self._calls = 0
        self.streams: list[list[Try]] = []

    def stop(self) -> None:
        """Stop each caller after its current stream."""
        self._stopping.set()

    async def async_run(self) -> None:
        """Request streams until stopped."""
        await asyncio.gather(*(self._async_run_caller(n) for n in range(STREAM_CALLERS)))

    async def _async_run_caller(self, caller: int) -> None:
        rng = random.Random(f"{self._seed}/streams/{caller}")
        await asyncio.sleep(self._first_after_s)
        while not self._stopping.is_set():
            tries: list[Try] = []
            self.streams.append(tries)
            ends = time.monotonic() + DEADLINE_S
            while len(tries) < MAX_TRIES and time.monotonic() < ends:
                tries.append(await self._async_try(tries, rng))
                if tries[-1].complete and tries[-1].status == STATUS_OK:
                    break
            await asyncio.sleep(rng.uniform(0, 2 * MEAN_PAUSE_S))

    async def _async_try(self, tries: Sequence[Try], rng: random.Random) -> Try:
        self._calls += 1
        forwarder = rng.randrange(self._rig.count)
        began = next((tried for tried in tries if tried.events), None)
        version = began.events[0].version if began is not None else ""
        made = Try(
            request_id=f"{self._seed}-s{self._calls}",
            forwarder=forwarder,
            upstreams=self._rig.count_ready(version),
            bound=self._rig.disturbances.is_bound(forwarder, time.monotonic()),
        )
        headers = self._make_headers(made.request_id)
        if began is not None:
            last = max(event.number for tried in tries for event in tried.events)
            headers |= {names.LAST_EVENT_ID: str(last), names.RESUMES: began.request_id}
        leaves_after = rng.randint(1, MAX_LEFT_AFTER) if rng.random() < LEAVES else EVENTS + 1
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                async with asyncio.timeout(DEADLINE_S):
                    await self._async_read(session, made, headers, leaves_after)
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
        return made

    async def _async_read(
        self, session: aiohttp.ClientSession, made: Try, headers: dict[str, str], leaves_after: int
    ) -> None:
        url = self._rig.url(made.forwarder, f"/quote/{made.request_id}")
        async with session.post(url, headers=headers, data=b"a prompt") as answer:
            made.status = answer.status
            while part := await answer.content.readany():
                made.rest += part
                _read_events(made)
                if len(made.events) >= leaves_after:
                    return
            made.complete = True

    def _make_headers(self, request_id: str) -> dict[str, str]:
        return {
            "Host": HOST,
            names.REQUEST_ID: request_id,
            names.DEADLINE: str(int(DEADLINE_S * 1_000)),
            names.API_KEY: CALLER_KEY,
            names.TOKEN_USAGE: "1400,60",
            names.MODEL: "m",
            names.PREFIX_PARTS: f"a1:800,b{self._calls % 7}:400,{self._calls:x}:200",
        }


def _read_events(made: Try) -> None:
    """Move the whole events at the start of the unread bytes to the events of a try."""
    while found := EVENT.match(made.rest):
        version = found[2].decode()
        made.events.append(StreamEvent(number=int(found[1]), version=version))
        made.rest = made.rest[found.end() :]


def check_streams(streams: Sequence[Sequence[Try]]) -> Iterator[Violation]:
    """Check that streams have one version and no gap, and look complete only if they are."""
    for tries in streams:
        events = [event for tried in tries for event in tried.events]
        versions = {event.version for event in events}
        numbers = [event.number for event in events]
        last = tries[-1] if tries else None
        request_id = last.request_id if last is not None else ""
        if len(versions) > 1:
            detail = ", ".join(sorted(versions))
            yield Violation(guarantee="joined versions", request_id=request_id, detail=detail)
        if numbers != list(range(1, len(numbers) + 1)):
            yield Violation(guarantee="events lost or repeated", request_id=request_id)
        if last is None or not last.complete or last.status != STATUS_OK:
            continue
        if len(numbers) != EVENTS or last.rest:
            detail = f"{len(numbers)} events, {len(last.rest)} bytes"
            yield Violation(
                guarantee="broken off and framed as complete", request_id=request_id, detail=detail
            )


def check_going_on(streams: Sequence[Sequence[Try]]) -> Iterator[Violation]:
    """Check that streams go on about as often as new ones begin, while their version is served."""
    bound = [(tries, tried) for tries in streams for tried in tries if tried.bound]
    taken_up = [
        tried
        for tries, tried in bound
        if _is_taken_up(tries, tried) and tried.upstreams >= MIN_UPSTREAMS
    ]
    new = [tried for tries, tried in bound if not _is_taken_up(tries, tried)]
    if len(taken_up) < MIN_TAKEN_UP or not new:
        return
    share = sum(tried.goes_on for tried in taken_up) / len(taken_up)
    begun = sum(tried.goes_on for tried in new) / len(new)
    if share < MIN_SHARE * begun:
        detail = f"{share:.2f} of {len(taken_up)}, new streams {begun:.2f}"
        yield Violation(guarantee="streams do not go on", detail=detail)


def count_taken_up(streams: Sequence[Sequence[Try]]) -> dict[str, int]:
    """Return how many streams were taken up, and how many of them went on."""
    taken_up = [tried for tries in streams for tried in tries if _is_taken_up(tries, tried)]
    return {
        "streams": len(streams),
        "taken_up": len(taken_up),
        "went_on": sum(tried.goes_on for tried in taken_up),
        "bound": sum(tried.bound and tried.upstreams >= MIN_UPSTREAMS for tried in taken_up),
    }


def _is_taken_up(tries: Sequence[Try], tried: Try) -> bool:
    return any(earlier.events for earlier in tries[: _index(tries, tried)])


def _index(tries: Sequence[Try], tried: Try) -> int:
    return next(index for index, other in enumerate(tries) if other is tried)
