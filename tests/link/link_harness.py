"""Test harness: a server and a pool on loopback, with a relay in between that injects faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.instances import Address, Instance
from gypsumrouter.link import (
    Answer,
    AnswerEvent,
    Data,
    End,
    Exchange,
    ExchangeHandler,
    Head,
    Hello,
    LinkPool,
    LinkServer,
    NoticeHub,
    Open,
)
from gypsumrouter.outcomes import Failed, Refused
from gypsumrouter.settings import Link

KEY = b"a key of the links for tests"
SETTINGS = Link(heartbeat_ms=40, silence_ms=160, connect_ms=2_000, resume_ms=4_000)
MEMORY_BYTES = 1024 * 1024
HEAD = Head(status=200, headers=(("Content-Type", "text/event-stream"),))
REQUEST = Open(
    sequence=0,
    request_id="r-1",
    kind=UpstreamKind.ENGINE,
    pool="chat",
    workspace="schools",
    caller_class="parents",
    method="POST",
    path="/v1/chat/completions",
    headers=(("Accept", "*/*"),),
    body=b"{}",
    stream=True,
    deadline_ms=30_000,
    waited_ms=3,
    digest=(1 << 64) - 1,
)


def make_app(name: str, role: Role) -> Application:
    return Application(name=name, role=role, data_centre="dc-1", region="region-1")


class Relay:
    """A TCP relay that can abort connections or silently discard their data."""

    def __init__(self) -> None:
        self.target: Address | None = None
        self.refusing = False
        self.discarding = False
        self.accepted = 0
        self.closed = 0
        self.relayed_bytes = 0
        self.relayed = asyncio.Condition()
        self._silent: set[asyncio.StreamWriter] = set()
        self._target_writers: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def async_start(self) -> Address:
        self._server = await asyncio.start_server(self._async_accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host=host, port=port)

    async def async_stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Discard all further data on the open connections; new ones work."""
        self._silent |= self._writers

    def silence_towards_target(self) -> None:
        """Discard all further data towards the target on the open connections."""
        self._silent |= self._writers & self._target_writers

    async def async_wait_relayed(self, size: int) -> None:
        async with self.relayed:
            await self.relayed.wait_for(lambda: self.relayed_bytes >= size)

    async def async_wait_closed(self, count: int) -> None:
        async with self.relayed:
            await self.relayed.wait_for(lambda: self.closed >= count)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.refusing or self.target is None:
            writer.transport.abort()
            return
        target_reader, target_writer = await asyncio.open_connection(
            self.target.host, self.target.port
        )
        self._writers |= {writer, target_writer}
        self._target_writers.add(target_writer)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._async_relay(source, sink))
            self._tasks.add(task)

    async def _async_relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if writer in self._silent or self.discarding:
                    continue
                writer.write(data)
                await writer.drain()
                async with self.relayed:
                    self.relayed_bytes += len(data)
                    self.relayed.notify_all()
        except OSError:
            pass
        finally:
            if writer not in self._silent:
                writer.close()
            self._writers.discard(writer)
            async with self.relayed:
                self.closed += 1
                self.relayed.notify_all()


@dataclass
class Pair:
    """A dialing and a listening process with a relay between them."""

    server_app: Application
    pool_app: Application
    server: LinkServer
    pool: LinkPool
    server_hub: NoticeHub
    pool_hub: NoticeHub
    relay: Relay
    instance: Instance
    extra: list[Application] = field(default_factory=list)

    def read_answer_memory(self) -> int:
        dump = self.server_app.dump()["link"]
        assert isinstance(dump, dict)
        used = dump["server"]["answer_memory_bytes"]
        assert isinstance(used, int)
        return used

    def require_target(self) -> Address:
        assert self.relay.target is not None
        return self.relay.target

    def make_pool(self, app: Application) -> LinkPool:
        return LinkPool(app=app, settings=SETTINGS, key=KEY, notices=NoticeHub(app=app))

    async def async_exchange(self, request: Open = REQUEST) -> Exchange:
        result = await self.pool.async_open(instance=self.instance, request=request)
        assert isinstance(result, Exchange)
        return result


async def async_read_answer(exchange: Exchange) -> tuple[bytes, AnswerEvent]:
    """Read an answer to its end, and confirm each chunk immediately."""
    body = bytearray()
    while True:
        event = await exchange.async_next()
        match event:
            case Data():
                assert event.offset == len(body)
                body += event.body
                exchange.confirm(len(body))
            case End() | Failed() | Refused():
                return bytes(body), event


async def async_answer_hello(hello: Hello, request: Open, answer: Answer) -> None:
    answer.head(HEAD)
    await answer.async_write(b"hello ")
    await answer.async_write(request.body)
    answer.end()


@asynccontextmanager
async def linked(
    handler: ExchangeHandler | None = async_answer_hello,
    *,
    settings: Link = SETTINGS,
    server_settings: Link | None = None,
    pool_key: bytes = KEY,
    memory_bytes: int = MEMORY_BYTES,
) -> AsyncIterator[Pair]:
    server_app, pool_app = make_app("side-1", Role.SIDE), make_app("router-1", Role.ROUTER)
    server_hub, pool_hub = NoticeHub(app=server_app), NoticeHub(app=pool_app)
    server = LinkServer(
        app=server_app,
        settings=server_settings or settings,
        key=KEY,
        notices=server_hub,
        handler=handler,
        answer_memory_bytes=memory_bytes,
    )
    pool = LinkPool(app=pool_app, settings=settings, key=pool_key, notices=pool_hub)
    relay = Relay()
    relay.target = await server.async_start()
    address = await relay.async_start()
    instance = Instance(
        name="side-1", role=Role.SIDE, address=address, data_centre="dc-1", region="region-1"
    )
    pair = Pair(server_app, pool_app, server, pool, server_hub, pool_hub, relay, instance)
    try:
        yield pair
    finally:
        for app in (pool_app, server_app, *pair.extra):
            await app.async_stop()
        await relay.async_stop()
