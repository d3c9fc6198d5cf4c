"""Fixtures with an engine and a service behind fault proxies, and clients for them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from upstream_fakes import POOL, SILENCE_MS, Caller, MakeClient, Serve

from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.instances import Address
from gypsumrouter.settings import Upstream
from gypsumrouter.standins import Engine, EngineSettings, FaultProxy, Service
from gypsumrouter.upstream import UpstreamClient, make_client
from gypsumrouter.util.clock import SystemClock

POLLED = b'{"data": [{"id": "gypsum-chat"}], "running": 0, "as_of_ms": 1}'
POLL_PATHS = (b"/load", b"/v1/load", b"/v1/models")


@pytest.fixture
async def app() -> AsyncIterator[Application]:
    application = Application(name="side-1", role=Role.SIDE, data_centre="dc-1", region="region-1")
    yield application
    await application.async_stop()


@pytest.fixture
async def make_started(app: Application) -> MakeClient:
    async def async_make(address: Address, kind: UpstreamKind) -> UpstreamClient:
        settings = Upstream(
            pool=POOL,
            kind=kind,
            host=address.host,
            port=address.port,
            silence_ms=SILENCE_MS,
            load_poll_ms=20,
        )
        client = make_client(app=app, settings=settings)
        came_up = asyncio.Event()
        client.on_up(lambda up: came_up.set() if up else None)
        await client.async_start()
        async with asyncio.timeout(10):
            await came_up.wait()
        return client

    return async_make


@pytest.fixture
async def engine() -> AsyncIterator[Engine]:
    settings = EngineSettings(crash_marker="boiler-burst", restart_ms=60_000)
    standin = Engine(clock=SystemClock(), settings=settings)
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
async def service() -> AsyncIterator[Service]:
    standin = Service(clock=SystemClock(), crash_marker="boiler-burst", restart_ms=60_000)
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
async def engine_proxy(engine: Engine) -> AsyncIterator[FaultProxy]:
    proxy = FaultProxy(target=engine.address)
    await proxy.async_start()
    yield proxy
    await proxy.async_stop()


@pytest.fixture
async def service_proxy(service: Service) -> AsyncIterator[FaultProxy]:
    proxy = FaultProxy(target=service.address)
    await proxy.async_start()
    yield proxy
    await proxy.async_stop()


@pytest.fixture
async def engine_caller(engine_proxy: FaultProxy, make_started: MakeClient) -> Caller:
    return Caller(client=await make_started(engine_proxy.address, UpstreamKind.ENGINE))


@pytest.fixture
async def service_caller(service_proxy: FaultProxy, make_started: MakeClient) -> Caller:
    return Caller(client=await make_started(service_proxy.address, UpstreamKind.SERVICE))


@pytest.fixture
async def serve(make_started: MakeClient) -> AsyncIterator[Serve]:
    """Return a factory of callers for an upstream that sends fixed bytes and disconnects."""
    servers: list[asyncio.Server] = []

    async def async_serve(answer: bytes, kind: UpstreamKind) -> Caller:
        polled = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(POLLED) + POLLED

        async def async_handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(polled if head.split(b" ")[1] in POLL_PATHS else answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(async_handle, "127.0.0.1", 0)
        servers.append(server)
        address = Address(host="127.0.0.1", port=server.sockets[0].getsockname()[1])
        return Caller(client=await make_started(address, kind))

    yield async_serve
    for server in servers:
        server.close()
