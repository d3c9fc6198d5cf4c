"""Closes of connections whose callers have not taken their last answer, and send meanwhile."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import AsyncIterator
from contextlib import suppress

import pytest
from aiohttp import web

from gypsumrouter.callers.closing import ConnectionDrain
from gypsumrouter.callers.connection import CallerConnection, ConnectionState
from gypsumrouter.callers.listener import CallerListener, CallerServer
from gypsumrouter.callers.models import ConnectionLimits
from gypsumrouter.instances import Address
from gypsumrouter.settings import Listener
from gypsumrouter.util.clock import SystemClock

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
HALF = 10
LIMIT_MS = 60_000
SHORT_MS = 300
# The kernel of the caller takes a small part of an answer, that of the server holds the rest.
SMALL_BUFFER_BYTES = 2_048
LARGE_BUFFER_BYTES = 200_000
ANSWER_BYTES = 100_000
TIMEOUT_S = 10
CLOCK = SystemClock()


class AnsweringServer:
    """A listener in the test's event loop; answers are `size` bytes long."""

    def __init__(self, *, size: int = 0, idle_ms: int = LIMIT_MS, head_ms: int = LIMIT_MS) -> None:
        ids = itertools.count()
        self._size = size
        self.requests = 0
        limits = ConnectionLimits(
            max_bytes=8_192,
            first_byte_timeout_ms=LIMIT_MS,
            head_timeout_ms=head_ms,
            idle_timeout_ms=idle_ms,
        )
        self.server = CallerServer(
            self._async_handle,
            get_limits=lambda: limits,
            generate_request_id=lambda: str(next(ids)),
        )
        self.listener = CallerListener(
            settings=Listener(host=HOST, port=0), server=self.server, tls=None
        )
        self.address = Address(host=HOST, port=0)

    async def async_start(self) -> None:
        self.address = await self.listener.async_start()

    async def _async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        assert isinstance(request.protocol, CallerConnection)
        assert request.transport is not None
        request.protocol.stop_head_timer()
        accepted = request.transport.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGE_BUFFER_BYTES)
        await request.read()
        self.requests += 1
        return web.Response(body=b"x" * self._size)

    async def async_connect(self) -> socket.socket:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            connection, (self.address.host, self.address.port)
        )
        async with asyncio.timeout(TIMEOUT_S):
            while not self.list_states():
                await CLOCK.async_sleep(1)
        return connection

    def list_states(self) -> list[ConnectionState]:
        return [connection.state for connection in self.listener.list_connections()]

    async def async_wait_answered(self, requests: int = 1) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while self.requests < requests or ConnectionState.ANSWERING in self.list_states():
                await CLOCK.async_sleep(1)

    async def async_wait_settled(self, requests: int) -> None:
        """Wait until the connection goes on behind an answer, one turn of the loop later."""
        await self.async_wait_answered(requests)
        async with asyncio.timeout(TIMEOUT_S):
            while ConnectionState.DISCARDING in self.list_states():
                await CLOCK.async_sleep(1)


async def async_read_body(connection: socket.socket) -> int:
    """Return how many bytes of the body of an answer arrive."""
    received = b""
    with suppress(OSError):
        async with asyncio.timeout(TIMEOUT_S):
            while len(received.partition(b"\r\n\r\n")[2]) < ANSWER_BYTES:
                data = await asyncio.get_running_loop().sock_recv(connection, 65_536)
                if not data:
                    break
                received += data
    return len(received.partition(b"\r\n\r\n")[2])


@pytest.fixture
async def servers() -> AsyncIterator[list[AnsweringServer]]:
    servers: list[AnsweringServer] = []
    yield servers
    for server in servers:
        await server.listener.async_close()


async def async_add(servers: list[AnsweringServer], server: AnsweringServer) -> AnsweringServer:
    servers.append(server)
    await server.async_start()
    return server


# Guards against the idle timeout resetting an answer that its caller has not taken.
async def test_idle_timeout_resets_an_untaken_answer(servers: list[AnsweringServer]) -> None:
    server = await async_add(servers, AnsweringServer(size=ANSWER_BYTES, idle_ms=SHORT_MS))
    caller = await server.async_connect()
    caller.send(REQUEST)
    await server.async_wait_answered()
    await CLOCK.async_sleep(2 * SHORT_MS)
    caller.send(REQUEST[:HALF])
    assert await async_read_body(caller) == ANSWER_BYTES
    caller.close()


# Guards against the timeout of a head resetting an answer that its caller has not taken.
async def test_head_timeout_resets_an_untaken_answer(servers: list[AnsweringServer]) -> None:
    server = await async_add(servers, AnsweringServer(size=ANSWER_BYTES, head_ms=SHORT_MS))
    caller = await server.async_connect()
    caller.send(REQUEST)
    await server.async_wait_answered()
    caller.send(REQUEST[:HALF])
    await CLOCK.async_sleep(2 * SHORT_MS)
    caller.send(REQUEST[HALF:])
    assert await async_read_body(caller) == ANSWER_BYTES
    caller.close()


# Guards against the end of a drain resetting an answer that ended its connection, untaken.
async def test_end_of_a_drain_resets_an_untaken_answer(servers: list[AnsweringServer]) -> None:
    server = await async_add(servers, AnsweringServer(size=ANSWER_BYTES))
    caller = await server.async_connect()
    drain = ConnectionDrain(
        clock=CLOCK,
        server=server.listener,
        limit_at_ms=CLOCK.now_ms(),
        on_closing=lambda _states: None,
    )
    drain.begin()
    caller.send(REQUEST)
    await server.async_wait_answered()
    assert server.list_states() == [ConnectionState.DISCARDING]
    draining = asyncio.create_task(drain.async_run())
    await CLOCK.async_sleep(SHORT_MS)
    caller.send(REQUEST[:HALF])
    assert await async_read_body(caller) == ANSWER_BYTES
    async with asyncio.timeout(TIMEOUT_S):
        await draining
    caller.close()


# Guards against half a head that counts as none, as it came in one read with the end of a body.
@pytest.mark.parametrize("request_bytes", [POST, CHUNKED])
@pytest.mark.parametrize("split", [0, 1, 30, -1, -2, -3, -5, -6, -8])
async def test_half_a_head_behind_a_body_counts_as_none(
    servers: list[AnsweringServer], request_bytes: bytes, split: int
) -> None:
    server = await async_add(servers, AnsweringServer())
    for more, state in ((b"", ConnectionState.IDLE), (REQUEST[:HALF], ConnectionState.HEAD)):
        before = server.requests
        caller = await server.async_connect()
        if split:
            caller.send(request_bytes[:split])
            await CLOCK.async_sleep(20)
        caller.send((request_bytes[split:] if split else request_bytes) + more)
        await server.async_wait_settled(before + 1)
        assert server.list_states()[-1:] == [state]
        caller.close()
        async with asyncio.timeout(TIMEOUT_S):
            while server.list_states():
                await CLOCK.async_sleep(1)


# Guards against an idle connection that counts as one whose next request arrives, by an empty line.
@pytest.mark.parametrize("request_bytes", [REQUEST, POST, CHUNKED])
async def test_empty_line_behind_a_request_counts_as_half_a_head(
    servers: list[AnsweringServer], request_bytes: bytes
) -> None:
    server = await async_add(servers, AnsweringServer())
    caller = await server.async_connect()
    caller.send(request_bytes + b"\r\n")
    await server.async_wait_settled(1)
    assert server.list_states() == [ConnectionState.IDLE]
    caller.close()


# Guards against an unannounced close of a connection whose transport was not there yet when the
# drain began, though the event loop had accepted it.
async def test_connection_accepted_right_before_a_drain_is_not_told_to_close(
    servers: list[AnsweringServer],
) -> None:
    server = await async_add(servers, AnsweringServer())
    protocol = server.server()
    server.listener.close_after_answers()
    ends = socket.socketpair()
    for end in ends:
        end.setblocking(False)
    caller, accepted = ends
    loop = asyncio.get_running_loop()
    await loop.connect_accepted_socket(lambda: protocol, accepted)
    caller.send(REQUEST)
    async with asyncio.timeout(TIMEOUT_S):
        answer = await loop.sock_recv(caller, 1_000)
    assert b"connection: close" in answer.lower()
    caller.close()
