"""Callers of the soak test, which reuse connections and record every response."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Final

import aiohttp
from msgspec import Struct
from msgspec.structs import replace

from bench.soak_configuration import CALLER_KEY, HOST
from bench.soak_rig import EVENTS, SoakRig
from gypsumrouter.platform import names

CALLERS: Final = 12
MEAN_PAUSE_MS: Final = 25
DEADLINE_MS: Final = 2_000
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
KINDS: Final = ("lookup", "reserve", "draft", "quote")
REPEATABLE_KINDS: Final = frozenset({"lookup", "quote"})
MS_PER_S: Final = 1_000


class CallRecord(Struct, frozen=True, kw_only=True):
    """One request as seen by its caller; `status` is 0 if no response arrived.

    `complete` is whether the whole response was read, `id_matches` whether it carried the id of the
    request, `forwarder` the number of the forwarder, `stamp` the stamp of the upstream that
    responded, and `draining` whether the response announced a drain of that upstream. Times are
    monotonic seconds.
    """

    request_id: str
    kind: str
    path: str
    status: int = 0
    body: bytes = b""
    complete: bool = False
    id_matches: bool = False
    forwarder: int = 0
    sent_s: float = 0.0
    answered_s: float = 0.0
    stamp: str = ""
    draining: bool = False

    @property
    def refused(self) -> bool:
        """Return whether the status guarantees that the request did not run."""
        return self.status in NOT_RUN_STATUSES

    @property
    def streamed(self) -> bool:
        """Return whether the response is an event stream."""
        return self.kind in {"draft", "quote"}


class Callers:
    """A fixed number of callers, each with one request in flight."""

    def __init__(self, *, rig: SoakRig, seed: int) -> None:
        self._rig = rig
        self._seed = seed
        self._stopping = asyncio.Event()
        self._calls = 0
        self.records: list[CallRecord] = []

    def stop(self) -> None:
        """Stop each caller after its current request."""
        self._stopping.set()

    async def async_run(self) -> None:
        """Send requests until stopped."""
        await asyncio.gather(*(self._async_run_caller(number) for number in range(CALLERS)))

    async def async_probe(self, *, count: int) -> int:
        """Send requests in sequence and return how many succeeded."""
        async with _make_session() as session:
            records = [
                await self._async_call(session, number % self._rig.count, "lookup")
                for number in range(count)
            ]
        return sum(record.status == 200 for record in records)

    async def _async_run_caller(self, caller: int) -> None:
        rng = random.Random(f"{self._seed}/{caller}")
        async with _make_session() as session:
            while not self._stopping.is_set():
                kind = rng.choice(KINDS)
                self.records.append(
                    await self._async_call(session, rng.randrange(self._rig.count), kind)
                )
                await asyncio.sleep(rng.uniform(0, 2 * MEAN_PAUSE_MS) / MS_PER_S)

    async def _async_call(
        self, session: aiohttp.ClientSession, forwarder: int, kind: str
    ) -> CallRecord:
        self._calls += 1
        request_id = f"{self._seed}-{self._calls}"
        path = f"/{kind}/{request_id}"
        sent_s = time.monotonic()
        record = CallRecord(
            request_id=request_id, kind=kind, path=path, forwarder=forwarder, sent_s=sent_s
        )
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Api-Key": CALLER_KEY,
        }
        if record.streamed:
            headers |= {
                "X-Token-Usage": "1400,60",
                "X-Model": "m",
                "X-Prefix-Hash": f"a1:800,b{self._calls % 5}:400,{self._calls:x}:200",
            }
        method = "GET" if kind == "lookup" else "POST"
        body = None if method == "GET" else b"a body of some bytes"
        try:
            async with (
                asyncio.timeout(2 * DEADLINE_MS / MS_PER_S),
                session.request(
                    method, self._rig.url(forwarder, path), headers=headers, data=body
                ) as answer,
            ):
                return replace(
                    record,
                    status=answer.status,
                    body=await answer.read(),
                    complete=True,
                    id_matches=answer.headers.get("X-Request-Id") == request_id,
                    answered_s=time.monotonic(),
                    stamp=answer.headers.get(names.STAMP, ""),
                    draining=names.is_leaving(answer.headers.get(names.SERVER_LEAVING)),
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return record


def _make_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
    return aiohttp.ClientSession(connector=connector, middlewares=(_disable_retries,))


async def _disable_retries(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from retrying a request on its own."""
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientPayloadError(str(error)) from error


def make_expected_stream() -> bytes:
    """Return the complete event stream of a runner without faults."""
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
