"""The start of an upstream that its entry states is checked on its connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.forwarding.connections import ConnectionPool, StartCheck
from gypsumrouter.helpers.http_connection import ConnectFailed, HttpConnection
from gypsumrouter.instances import Address

STARTED_MS = 1_700_000_000_000


class Upstream:
    """Accepts connections, and states a start that the test sets."""

    def __init__(self) -> None:
        self.started_ms = STARTED_MS
        self.questions = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def async_start(self) -> Entry:
        """Listen; return the entry of the upstream."""
        self._server = await asyncio.start_server(self._async_accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return Entry(
            upstream="i-1",
            state=EntryState.READY,
            service="models",
            address=Address(host=host, port=port),
            started_ms=self.started_ms,
        )

    async def _async_accept(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)

    async def async_read_start(self, _connection: HttpConnection) -> int:
        """Return the start, as the upstream states it."""
        self.questions += 1
        return self.started_ms

    def stop(self) -> None:
        """Close the listener and all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


@pytest.fixture
async def upstream() -> AsyncIterator[Upstream]:
    upstream = Upstream()
    yield upstream
    upstream.stop()


@pytest.fixture
async def app() -> AsyncIterator[Application]:
    app = Application(name="r1", role=Role.FORWARDER, data_centre="dc", region="r")
    yield app
    await app.async_stop()


async def async_connect(pool: ConnectionPool, entry: Entry, check: StartCheck) -> HttpConnection:
    pooled = await pool.async_acquire(entry, repeatable=True, timeout_ms=500, start_check=check)
    return pooled.connection


async def test_connection_that_is_still_open_vouches_for_a_later_one(
    app: Application, upstream: Upstream
) -> None:
    entry = await upstream.async_start()
    pool = ConnectionPool(app=app, read_start=upstream.async_read_start)
    for _ in range(3):
        await async_connect(pool, entry, StartCheck.ALWAYS)
    assert upstream.questions == 1


async def test_stream_goes_on_only_where_the_upstream_itself_stated_its_start(
    app: Application, upstream: Upstream
) -> None:
    entry = await upstream.async_start()
    pool = ConnectionPool(app=app, read_start=upstream.async_read_start)
    await async_connect(pool, entry, StartCheck.ALWAYS)
    # The loss of the first connection has not been noticed yet.
    upstream.started_ms += 5_000
    with pytest.raises(ConnectFailed):
        await async_connect(pool, entry, StartCheck.CONFIRMED)


async def test_upstream_is_asked_after_a_lost_connection_only(
    app: Application, upstream: Upstream
) -> None:
    entry = await upstream.async_start()
    pool = ConnectionPool(app=app, read_start=upstream.async_read_start)
    first = await async_connect(pool, entry, StartCheck.IF_LOST)
    assert upstream.questions == 0
    first.connection_lost(ConnectionResetError())
    await async_connect(pool, entry, StartCheck.IF_LOST)
    assert upstream.questions == 1
    second = await async_connect(pool, entry, StartCheck.IF_LOST)
    second.close()
    assert upstream.questions == 1
