"""Callers that open a connection for each request, most of them to one forwarder for a while."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from itertools import count
from typing import Final

import aiohttp
from msgspec import Struct

from bench.soak_checks import Violation
from bench.soak_configuration import CALLER_KEY, HOST
from bench.soak_rig import SoakRig

USUAL_PER_S: Final = 25.0
# While most connections go to one forwarder, callers open this many times more of them.
SURGE_FACTOR: Final = 3.0
# Share of the connections that go to the chosen forwarder.
SURGE_SHARE: Final = 0.9
DEADLINE_MS: Final = 1_500
CONNECT_S: Final = 1.0
SETTLE_S: Final = 3.0
MIN_SHARE: Final = 0.75
MIN_REQUESTS: Final = 20
STATUS_OK: Final = 200
KINDS: Final = ("lookup", "quote")


class FirstTry(Struct, frozen=True, kw_only=True):
    """One request on a new connection; `status` is 0 if it was read and not answered.

    `error` names the exception of one without an answer.

    `read` is false if the connection was refused, or closed without a byte of a response before the
    time that a caller allows for it.
    """

    forwarder: int
    sent_s: float
    surged: bool
    read: bool
    status: int = 0
    error: str = ""


class ConnectionCallers:
    """Sends each request on a connection of its own, at a rate that does not wait for responses."""

    def __init__(self, *, rig: SoakRig) -> None:
        self._rig = rig
        self._numbers = count(1)
        self.tries: list[FirstTry] = []

    async def async_run(self, *, duration_s: float, surge_to: int | None = None) -> None:
        """Send requests for some time, most of them to one forwarder if there is a surge."""
        per_s = USUAL_PER_S * (1 if surge_to is None else SURGE_FACTOR)
        started_s = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(connect=CONNECT_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            while (passed_s := time.monotonic() - started_s) < duration_s:
                while len(tasks) < passed_s * per_s:
                    number = next(self._numbers)
                    forwarder = self._choose(number, surge_to)
                    task = self._async_call(session, number, forwarder, surge_to is not None)
                    tasks.append(asyncio.create_task(task))
                await asyncio.sleep(1 / per_s)
            await asyncio.gather(*tasks)

    def _choose(self, number: int, surge_to: int | None) -> int:
        if surge_to is None or number % round(1 / (1 - SURGE_SHARE)) == 0:
            return number % self._rig.count
        return surge_to

    async def _async_call(
        self, session: aiohttp.ClientSession, number: int, forwarder: int, surged: bool
    ) -> None:
        kind = KINDS[number % len(KINDS)]
        request_id = f"new-{number}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Api-Key": CALLER_KEY,
        }
        if kind == "quote":
            headers |= {
                "X-Token-Usage": "1400,60",
                "X-Model": "m",
                "X-Prefix-Hash": f"a1:800,b{number % 5}:400,{number:x}:200",
            }
        method = "GET" if kind == "lookup" else "POST"
        sent_s = time.monotonic()
        status, read, error = 0, True, ""
        try:
            async with (
                asyncio.timeout(2 * DEADLINE_MS / 1_000),
                session.request(
                    method, self._rig.url(forwarder, f"/{kind}/{request_id}"), headers=headers
                ) as response,
            ):
                await response.read()
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ServerTimeoutError) as failure:
            read, error = False, type(failure).__name__
        except (aiohttp.ClientError, OSError, TimeoutError) as failure:
            error = type(failure).__name__
        self.tries.append(
            FirstTry(
                forwarder=forwarder,
                sent_s=sent_s,
                surged=surged,
                read=read,
                status=status,
                error=error,
            )
        )


def check_connections(tries: Sequence[FirstTry]) -> Iterator[Violation]:
    """Check that requests are served nearly as often while most connections go to one forwarder."""
    surged = [item for item in tries if item.surged]
    if not surged:
        return
    since_s = min(item.sent_s for item in surged) + SETTLE_S
    usual = _get_served_share([item for item in tries if not item.surged])
    settled = [item for item in surged if item.sent_s >= since_s]
    later = _get_served_share(settled)
    if usual is not None and later is not None and later < MIN_SHARE * usual:
        yield Violation(
            guarantee="served less often on new connections to one forwarder",
            detail=f"{later:.2f} of the requests, {usual:.2f} before: {_count_ends(settled)}",
        )


def _count_ends(tries: Iterable[FirstTry]) -> str:
    """Return how often requests to each forwarder ended with each status or exception."""
    ends = Counter((item.forwarder, item.error or str(item.status)) for item in tries)
    return ", ".join(f"{end} at {number} ({n})" for (number, end), n in sorted(ends.items()))


def _get_served_share(tries: Sequence[FirstTry]) -> float | None:
    read = [item for item in tries if item.read]
    if len(read) < MIN_REQUESTS:
        return None
    return sum(item.status == STATUS_OK for item in read) / len(read)
