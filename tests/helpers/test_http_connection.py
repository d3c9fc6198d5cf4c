"""A client's connection against a server that sends whatever a test wants."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    async_connect,
)
from gypsumrouter.instances import Address

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Connect = Callable[[Script], Awaitable[HttpConnection]]

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
RESET_LINGER = struct.pack("ii", 1, 0)


def reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()


@pytest.fixture
async def connect() -> AsyncIterator[Connect]:
    servers: list[asyncio.Server] = []
    connections: list[HttpConnection] = []

    async def async_start(script: Script) -> HttpConnection:
        async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await script(reader, writer)

        server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        connection = await async_connect(address=Address(host=host, port=port), timeout_ms=1_000)
        connections.append(connection)
        return connection

    yield async_start
    for connection in connections:
        connection.close()
    for server in servers:
        server.close()


async def test_a_body_without_length_that_is_reset_after_its_end_is_not_whole(
    connect: Connect,
) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
        writer.write_eof()
        await asyncio.get_running_loop().run_in_executor(None, lambda: None)
        reset(writer)

    connection = await connect(script)
    connection.send_request(method="GET", data=REQUEST)
    answer = await connection.async_read_response()
    with pytest.raises(ConnectionBroken):
        await answer.body.read()


async def test_a_body_without_length_is_whole_when_its_connection_closes(connect: Connect) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")
        writer.close()

    connection = await connect(script)
    connection.send_request(method="GET", data=REQUEST)
    answer = await connection.async_read_response()
    assert await answer.body.read() == b"all of it"


async def test_a_body_that_ends_before_its_length_is_broken(connect: Connect) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
        writer.close()

    connection = await connect(script)
    connection.send_request(method="GET", data=REQUEST)
    answer = await connection.async_read_response()
    with pytest.raises(ConnectionBroken):
        await answer.body.read()


async def test_chunks_that_end_without_the_last_one_are_broken(connect: Connect) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
        writer.close()

    connection = await connect(script)
    connection.send_request(method="GET", data=REQUEST)
    answer = await connection.async_read_response()
    with pytest.raises(ConnectionBroken):
        await answer.body.read()


async def test_a_second_answer_spoils_the_connection_for_later_requests(connect: Connect) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        writer.write(answer + answer)
        await writer.drain()

    connection = await connect(script)
    connection.send_request(method="GET", data=REQUEST)
    answer = await connection.async_read_response()
    assert await answer.body.read() == b"ok"
    connection.finish()
    assert not connection.reusable


async def test_an_answer_that_comes_late_spoils_an_idle_connection(connect: Connect) -> None:
    go = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        writer.write(answer)
        await go.wait()
        writer.write(answer)
        await writer.drain()

    connection = await connect(script)
    connection.send_request(method="GET", data=REQUEST)
    await (await connection.async_read_response()).body.read()
    connection.finish()
    assert connection.reusable
    go.set()
    while connection.reusable:
        await asyncio.get_running_loop().run_in_executor(None, lambda: None)
    with pytest.raises(ConnectionBroken):
        connection.send_request(method="GET", data=REQUEST)


async def test_interim_answers_are_passed_over(connect: Connect) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
        await writer.drain()

    connection = await connect(script)
    connection.send_request(method="GET", data=REQUEST)
    assert (await connection.async_read_response()).status == 204


@pytest.mark.parametrize("bytes_sent", [b"no http at all\r\n\r\n", b"HTTP/1.1 200\r\nbad\r\n\r\n"])
async def test_bytes_that_are_no_answer_break_the_exchange(
    connect: Connect, bytes_sent: bytes
) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(bytes_sent)
        await writer.drain()

    connection = await connect(script)
    connection.send_request(method="GET", data=REQUEST)
    with pytest.raises(ConnectionBroken):
        await connection.async_read_response()


async def test_a_connect_to_a_port_without_listener_fails() -> None:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        address = Address(host="127.0.0.1", port=bound.getsockname()[1])
        with pytest.raises(ConnectFailed):
            await async_connect(address=address, timeout_ms=1_000)
