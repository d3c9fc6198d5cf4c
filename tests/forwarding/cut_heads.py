"""Test environment: upstreams whose answers end, or stop, after any of their bytes."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Awaitable, Callable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple, TypeVar

import aiohttp
from ending_connections import reset
from forwarding_world import PROMPT, ForwardingWorld, make_configuration, make_route

from gypsumrouter.instances import Address
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.platform import names
from gypsumrouter.routing import DEFAULT_HEALTH_PATH
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import Bounds

STAMP = "i.07.5a2.600.0.c9f2a4d1"
PROMISES = frozenset({408, 421, 429, 503})
CONCURRENT = 24
# Far more than the tests take, so that a retry is never refused.
RETRIES = 100_000


T = TypeVar("T")


class Ending(StrEnum):
    """What an upstream does after the last byte that it writes."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


class Play(NamedTuple):
    """The beginning of an answer and how it ends; `ending` is None for a whole answer."""

    data: bytes
    ending: Ending | None = None


class Outcome(NamedTuple):
    """What a caller got; `whole` is False if the answer was cut, and `status` 0 without a head."""

    status: int
    whole: bool
    body: bytes
    headers: dict[str, str]


# Returns what is written for a request with these headers.
Script = Callable[[dict[str, str]], Play]


class CuttingRunner:
    """An upstream that writes what the script of a request says.

    The n-th request with an id, at any of the runners that share `scripts`, takes the n-th script;
    requests beyond that, and those without scripts, get a whole answer.
    """

    def __init__(self, *, name: str, scripts: dict[str, list[Script]]) -> None:
        self.name = name
        self.scripts = scripts
        self.arrivals: list[tuple[str, int]] = []
        # While cleared, no answer that is cut ends.
        self.gate = asyncio.Event()
        self.gate.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def async_start(self) -> Address:
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host=host, port=port)

    async def async_stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def write_all(self, data: bytes) -> None:
        """Write bytes to all open connections."""
        for writer in tuple(self._writers):
            writer.write(data)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        exchanges = 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                exchanges += 1
                target, headers = read_head(head)
                await reader.readexactly(int(headers.get("content-length", 0)))
                play = self._take(target, headers, exchanges)
                writer.write(play.data)
                await writer.drain()
                if play.ending is not None:
                    await self._async_end(reader, writer, play.ending)
                    return
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _take(self, target: str, headers: dict[str, str], exchanges: int) -> Play:
        request_id = headers.get("x-request-id", "")
        if target in {names.CALL_REPORT, names.CALL_HELD}:
            document: dict[str, Any] = {"held": []} if target == names.CALL_HELD else {}
            return Play(make_answer("length", body=json.dumps(document).encode(), request_id=""))
        if target == DEFAULT_HEALTH_PATH:
            head = f"HTTP/1.1 200 OK\r\n{names.INSTANCE}: {self.name}\r\nContent-Length: 0\r\n\r\n"
            return Play(head.encode())
        self.arrivals.append((request_id, exchanges))
        scripts = self.scripts.get(request_id)
        if scripts:
            return scripts.pop(0)(headers)
        return Play(make_answer("length", request_id=request_id))

    async def _async_end(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ending: Ending
    ) -> None:
        await self.gate.wait()
        match ending:
            case Ending.SILENCE:
                await reader.read()
            case Ending.RESET:
                reset(writer)


def read_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the target and the headers of a request."""
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first.split(" ")[1], {name.lower(): value.strip() for name, value in pairs}


BODY = b'{"items": ["cloth", 2, 3]}'
WHOLE_EVENTS = 4
MEDIA_TYPE_EVENTS = "text/event-stream"


def make_events(first: int = 1, last: int = WHOLE_EVENTS) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last + 1))


def make_answer(
    framing: str,
    *,
    request_id: str,
    body: bytes = BODY,
    status: str = "200 OK",
    more: str = "",
    media_type: str = "application/json",
) -> bytes:
    """Return a whole answer: with a length, in chunks with a trailer, or with neither."""
    head = f"HTTP/1.1 {status}\r\n{names.STAMP}: {STAMP}\r\n"
    head += f"{names.REQUEST_ID}: {request_id}\r\n" if request_id else ""
    head += f"Content-Type: {media_type}\r\n{more}"
    match framing:
        case "length":
            return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        case "chunked":
            half = len(body) // 2
            parts = (b"%x;a=b\r\n%b\r\n" % (len(p), p) for p in (body[:half], body[half:]) if p)
            head += "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n"
            return head.encode() + b"".join(parts) + b"0\r\nT: v\r\n\r\n"
        case _:
            return f"{head}Connection: close\r\n\r\n".encode() + body


def make_stream(
    framing: str, *, request_id: str, first: int = 1, last: int = WHOLE_EVENTS
) -> bytes:
    """Return a whole answer with events."""
    return make_answer(
        framing, request_id=request_id, body=make_events(first, last), media_type=MEDIA_TYPE_EVENTS
    )


def get_head_size(data: bytes) -> int:
    """Return the size of an answer's head, with interim answers before it."""
    end = data.rindex(b"HTTP/1.1")
    return end + re.search(rb"\r?\n\r?\n", data[end:]).end()  # type: ignore[union-attr]


class CuttingWorld(ForwardingWorld):
    """A forwarder with cutting runners, all of one service."""

    def __init__(self, *, runners: int = 3) -> None:
        super().__init__()
        self.scripts: dict[str, list[Script]] = {}
        self.records = []
        self.models = []
        self.cutting = [
            CuttingRunner(name=f"i-{number}", scripts=self.scripts) for number in range(runners)
        ]

    async def async_start_forwarder(self, name: str, **more: Any) -> RunningProcess:
        more.setdefault("bounds", Bounds(retry_slack=RETRIES))
        # Hundreds of answers to the same content break off, which may well be refused as crashing.
        more.setdefault("without", frozenset({Mechanism.SUSPECTS}))
        return await super().async_start_forwarder(name, **more)

    async def async_start(self) -> None:
        for runner in self.cutting:
            self.addresses[runner.name] = await runner.async_start()
        await super().async_start()

    async def async_stop(self) -> None:
        await super().async_stop()
        for runner in self.cutting:
            await runner.async_stop()

    async def async_fill(self, store: Any) -> None:
        for runner in self.cutting:
            address = self.addresses[runner.name]
            await store.async_put_runner(
                runner.name, service="records", address=address, state="ready", slots=90
            )
        await store.async_put_configuration(self.make_document())

    def make_document(self) -> dict[str, Any]:
        routes = [
            make_route("once", "non_idempotent", "records", max_attempts=1, timeout_ms=9_000),
            make_route("one", "idempotent", "records", max_attempts=1, timeout_ms=9_000),
            make_route("two", "idempotent", "records", max_attempts=2, timeout_ms=9_000),
            make_route("three", "idempotent", "records", max_attempts=3, timeout_ms=9_000),
            make_route("draft", "streaming", "records", max_attempts=1, timeout_ms=9_000),
            make_route(
                "quote", "streaming", "records", max_attempts=3, timeout_ms=9_000,
                resumable=True, target_gap_ms=100,
            ),
        ]  # fmt: skip
        service = {"name": "records", "max_connections": 90}
        return make_configuration(routes=routes, services=[service])

    def count_arrivals(self, request_id: str) -> int:
        """Return how often a request has arrived at all runners."""
        return sum(arrived == request_id for r in self.cutting for arrived, _ in r.arrivals)

    async def async_ask(
        self,
        session: aiohttp.ClientSession,
        path: str,
        request_id: str,
        *,
        scripts: Sequence[Script] = (),
        deadline_ms: int = 5_000,
        stream: bool = False,
    ) -> Outcome:
        """Return what a caller gets if the attempts of its request are answered by scripts."""
        self.scripts[request_id] = list(scripts)
        headers = self.headers(request_id) | {"X-Deadline-Ms": str(deadline_ms)}
        status, body, received = 0, b"", {}
        try:
            async with session.post(
                self.url(path), headers=headers | (PROMPT if stream else {}), data=b"p",
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            ) as response:  # fmt: skip
                status, received = response.status, dict(response.headers)
                async for part in response.content.iter_any():
                    body += part
        except aiohttp.ClientError:
            return Outcome(status=status, whole=False, body=body, headers=received)
        return Outcome(status=status, whole=True, body=body, headers=received)


async def async_gather_bounded(calls: Sequence[Callable[[], Awaitable[T]]]) -> list[T]:
    """Return the results of calls, some of which run at the same time."""
    limit = asyncio.Semaphore(CONCURRENT)

    async def async_call(call: Callable[[], Awaitable[T]]) -> T:
        async with limit:
            return await call()

    return list(await asyncio.gather(*map(async_call, calls)))
