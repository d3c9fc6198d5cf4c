"""Connections of a listener that is closed: what the kernel has accepted or received by then."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import AsyncIterator
from http import HTTPStatus

import pytest
from aiohttp import web

from gypsumrouter.callers import connection as connections
from gypsumrouter.callers.connection import ConnectionState
from gypsumrouter.callers.listener import CallerListener, CallerServer
from gypsumrouter.callers.models import ConnectionLimits
from gypsumrouter.instances import Address
from gypsumrouter.settings import Listener
from gypsumrouter.util.clock import SystemClock

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LIMIT_MS = 60_000
LIMITS = ConnectionLimits(
    max_bytes=8_192,
    first_byte_timeout_ms=LIMIT_MS,
    head_timeout_ms=LIMIT_MS,
    idle_timeout_ms=LIMIT_MS,
)
WAITING = 20
TIMEOUT_S = 10
POLL_MS = 1
CLOCK = SystemClock()


class Listening:
    """A listener in the test's event loop, which answers every request."""

    def __init__(self) -> None:
        ids = itertools.count()
        self.server = CallerServer(
            self._async_handle,
            get_limits=lambda: LIMITS,
            generate_request_id=lambda: str(next(ids)),
        )
        self.listener = CallerListener(
            settings=Listener(host=HOST, port=0), server=self.server, tls=None
        )
        self.address = Address(host=HOST, port=0)
        self.sockets: list[socket.socket] = []
        self.requests = 0

    async def _async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.requests += 1
        return web.Response(status=HTTPStatus.NO_CONTENT)

    def connect(self) -> socket.socket:
        """Return a connection that the kernel has accepted, without a turn of the event loop."""
        connection = socket.create_connection((self.address.host, self.address.port))
        connection.setblocking(False)
        self.sockets.append(connection)
        return connection

    async def async_connect(self) -> socket.socket:
        """Return a connection that the listener has accepted."""
        count = len(self.listener.list_connections())
        connection = self.connect()
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.listener.list_connections()) == count:
                await CLOCK.async_sleep(POLL_MS)
        return connection

    async def async_read(self, connection: socket.socket) -> bytes:
        """Return the beginning of an answer; raises OSError if the connection is reset."""
        async with asyncio.timeout(TIMEOUT_S):
            return await asyncio.get_running_loop().sock_recv(connection, 1_000)


@pytest.fixture
async def listening() -> AsyncIterator[Listening]:
    listening = Listening()
    listening.address = await listening.listener.async_start()
    yield listening
    for connection in listening.sockets:
        connection.close()
    await listening.listener.async_close()


def list_states(listening: Listening) -> list[ConnectionState]:
    return [connection.state for connection in listening.listener.list_connections()]


# Guards against connections that the kernel has accepted and the close of the listener resets.
async def test_connections_of_the_backlog_are_served_when_the_listener_closes(
    listening: Listening,
) -> None:
    waiting = [listening.connect() for _ in range(WAITING)]
    for connection in waiting:
        connection.send(REQUEST)
    await listening.listener.async_stop_listening()
    assert len(listening.listener.list_connections()) == WAITING
    answers = [await listening.async_read(connection) for connection in waiting]
    assert all(answer.startswith(b"HTTP/1.1 204") for answer in answers)
    with pytest.raises(ConnectionRefusedError):
        listening.connect()


# Guards against a close of a kept connection whose next request the kernel has received.
async def test_connection_with_unread_bytes_is_not_idle(listening: Listening) -> None:
    connection = await listening.async_connect()
    connection.send(REQUEST)
    await listening.async_read(connection)
    assert list_states(listening) == [ConnectionState.IDLE]
    connection.send(REQUEST)
    assert list_states(listening) == [ConnectionState.HEAD]


# Guards against a close of a connection right before the first bytes of its request arrive.
async def test_connection_that_has_just_opened_is_not_idle(
    listening: Listening, monkeypatch: pytest.MonkeyPatch
) -> None:
    await listening.async_connect()
    assert list_states(listening) == [ConnectionState.OPENED]
    monkeypatch.setattr(connections, "OPENED_MS", 0)
    assert list_states(listening) == [ConnectionState.IDLE]


# Guards against a request that is read and counts as the rest of the answered one before it, so
# that a stop which is out of time closes its connection.
async def test_request_whose_handler_has_not_begun_counts_as_answered(
    listening: Listening,
) -> None:
    connection = await listening.async_connect()
    connection.send(REQUEST)
    await listening.async_read(connection)
    connection.send(REQUEST)
    states: list[ConnectionState] = []
    async with asyncio.timeout(TIMEOUT_S):
        while listening.requests < 2:
            states += list_states(listening)
            await asyncio.sleep(0)
    assert ConnectionState.ANSWERING in states
    assert ConnectionState.DISCARDING not in states
