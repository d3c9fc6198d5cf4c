"""HTTP client connection against a server with scripted responses."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
import uvloop
from ending_connections import reset

from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    HttpConnection,
    async_connect,
)
from gypsumrouter.helpers.http_response import ConnectionBroken, HttpResponse, async_read_body
from gypsumrouter.instances import Address

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Connect = Callable[[Script], Awaitable[HttpConnection]]

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CONNECT_MS = 200
LATE_RESET_S = 0.05
PAUSE_S = 1.25 * CONNECT_MS / 1_000


def write_and_close(answer: bytes) -> Script:
    async def async_script(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(answer)
        writer.close()

    return async_script


async def async_ask(connection: HttpConnection) -> HttpResponse:
    connection.send_request(method="GET", data=REQUEST)
    return await connection.async_read_response()


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


async def test_reset_after_a_close_delimited_body_is_an_error(
    connect: Connect,
) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
        writer.write_eof()
        await asyncio.get_running_loop().run_in_executor(None, lambda: None)
        reset(writer)

    connection = await connect(script)
    answer = await async_ask(connection)
    with pytest.raises(ConnectionBroken):
        await answer.body.read()


# Guards against a reset that goes unseen, as the connection is closed once its body has ended.
@pytest.mark.parametrize(
    "make_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"]
)
@pytest.mark.parametrize("resets", [True, False])
def test_reset_behind_the_end_of_a_body_is_not_seen(
    make_loop: Callable[[], asyncio.AbstractEventLoop], resets: bool
) -> None:
    async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
        writer.write_eof()
        await asyncio.sleep(LATE_RESET_S)
        if resets:
            reset(writer)
        writer.close()

    async def async_look() -> bool:
        async with await asyncio.start_server(async_serve, "127.0.0.1", 0) as server:
            host, port = server.sockets[0].getsockname()[:2]
            address = Address(host=host, port=port)
            connection = await async_connect(address=address, timeout_ms=1_000)
            answer = await async_ask(connection)
            assert await answer.body.read() == b"half"
            assert not connection.was_reset
            await asyncio.sleep(2 * LATE_RESET_S)
            seen = connection.was_reset
            connection.finish()
            assert connection.transport is None or connection.transport.is_closing()
            return seen

    with asyncio.Runner(loop_factory=make_loop) as runner:
        assert runner.run(async_look()) is resets


# Guards against the beginning of a body that counts as whole, since the error of its reset was met
# by the request that is still being written.
@pytest.mark.parametrize(
    "make_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"]
)
@pytest.mark.parametrize("request_bytes", [1, 70_000, 8_000_000])
def test_answer_that_is_reset_while_its_request_is_written_counts_as_whole(
    make_loop: Callable[[], asyncio.AbstractEventLoop], request_bytes: int
) -> None:
    async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
        await writer.drain()
        reset(writer)

    async def async_look() -> None:
        async with await asyncio.start_server(async_serve, "127.0.0.1", 0) as server:
            host, port = server.sockets[0].getsockname()[:2]
            address = Address(host=host, port=port)
            connection = await async_connect(address=address, timeout_ms=1_000)
            connection.send_request(method="POST", data=REQUEST + b"x" * request_bytes)
            answer = await connection.async_read_response()
            with pytest.raises(ConnectionBroken):
                await async_read_body(answer, max_bytes=100)
            connection.close()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(async_look())


async def test_close_delimited_body_is_complete_on_orderly_close(connect: Connect) -> None:
    connection = await connect(
        write_and_close(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")
    )
    answer = await async_ask(connection)
    assert await answer.body.read() == b"all of it"


async def test_body_shorter_than_content_length_is_an_error(connect: Connect) -> None:
    connection = await connect(
        write_and_close(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    )
    answer = await async_ask(connection)
    with pytest.raises(ConnectionBroken):
        await answer.body.read()


async def test_chunked_body_without_last_chunk_is_an_error(connect: Connect) -> None:
    connection = await connect(
        write_and_close(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
    )
    answer = await async_ask(connection)
    with pytest.raises(ConnectionBroken):
        await answer.body.read()


async def test_connection_with_a_second_response_is_not_reusable(connect: Connect) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        writer.write(answer + answer)
        await writer.drain()

    connection = await connect(script)
    answer = await async_ask(connection)
    assert await answer.body.read() == b"ok"
    connection.finish()
    assert not connection.reusable


async def test_unsolicited_response_makes_an_idle_connection_unusable(connect: Connect) -> None:
    send_second = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        writer.write(answer)
        await send_second.wait()
        writer.write(answer)
        await writer.drain()

    connection = await connect(script)
    await (await async_ask(connection)).body.read()
    connection.finish()
    assert connection.reusable
    send_second.set()
    while connection.reusable:
        await asyncio.get_running_loop().run_in_executor(None, lambda: None)
    with pytest.raises(ConnectionBroken):
        connection.send_request(method="GET", data=REQUEST)


async def test_interim_responses_are_skipped(connect: Connect) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
        await writer.drain()

    connection = await connect(script)
    assert (await async_ask(connection)).status == 204


@pytest.mark.parametrize("bytes_sent", [b"no http at all\r\n\r\n", b"HTTP/1.1 200\r\nbad\r\n\r\n"])
async def test_malformed_response_breaks_the_exchange(connect: Connect, bytes_sent: bytes) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(bytes_sent)
        await writer.drain()

    connection = await connect(script)
    with pytest.raises(ConnectionBroken):
        await async_ask(connection)


async def test_connecting_to_a_port_without_listener_fails() -> None:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        address = Address(host="127.0.0.1", port=bound.getsockname()[1])
        with pytest.raises(ConnectFailed):
            await async_connect(address=address, timeout_ms=1_000)


# Guards against a sound peer that counts as unreachable, since this process stood still for longer
# than the timeout while the kernel connected.
@pytest.mark.parametrize(
    "make_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"]
)
@pytest.mark.parametrize("iterations", range(1, 7))
def test_connection_that_was_made_during_a_pause_of_this_process_counts(
    make_loop: Callable[[], asyncio.AbstractEventLoop], iterations: int
) -> None:
    async def async_pause(address: Address) -> None:
        connecting = asyncio.create_task(async_connect(address=address, timeout_ms=CONNECT_MS))
        for _ in range(iterations):
            await asyncio.sleep(0)
        time.sleep(PAUSE_S)  # noqa: ASYNC251
        (await connecting).close()

    with socket.create_server(("127.0.0.1", 0)) as listening:
        address = Address(host="127.0.0.1", port=listening.getsockname()[1])
        with asyncio.Runner(loop_factory=make_loop) as runner:
            runner.run(async_pause(address))


# Guards against a timeout that is exceeded without a pause. The shortest of three tries counts,
# since this process may stand still in one of them.
async def test_connecting_to_a_listener_with_a_full_backlog_ends_at_the_timeout() -> None:
    took_ms: list[float] = []
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listening:
        address = Address(host="127.0.0.1", port=listening.getsockname()[1])
        with socket.create_connection((address.host, address.port)):
            for _ in range(3):
                begun_s = time.monotonic()
                with pytest.raises(ConnectFailed, match="no connection within 200 ms"):
                    await async_connect(address=address, timeout_ms=CONNECT_MS)
                took_ms.append((time.monotonic() - begun_s) * 1_000)
    assert CONNECT_MS <= min(took_ms) < 1.5 * CONNECT_MS


@pytest.mark.parametrize("earlier", [False, True])
async def test_large_request_to_a_peer_that_reads_late_is_not_reset(
    earlier: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A sound peer may read nothing for a while; its kernel acknowledges probes meanwhile."""
    monkeypatch.setattr("gypsumrouter.helpers.listening.USER_TIMEOUT_MS", 300)
    monkeypatch.setattr("gypsumrouter.helpers.http_connection.USER_TIMEOUT_MS", 300)
    size = 4_000_000
    lengths = [0, size] if earlier else [size]

    async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for length in lengths:
            await reader.readuntil(b"\r\n\r\n")
            if length:
                await asyncio.sleep(1.5)
                await reader.readexactly(length)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await reader.read()
        writer.close()

    async with await asyncio.start_server(async_serve, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()[:2]
        connection = await async_connect(address=Address(host=host, port=port), timeout_ms=1_000)
        for length in lengths:
            head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n".encode()
            connection.send_request(method="POST", data=head + b"x" * length)
            response = await connection.async_read_response()
            assert await async_read_body(response, max_bytes=10) == b"ok"
            connection.finish()
        connection.close()


async def test_small_request_behind_a_large_one_is_limited_in_its_unacknowledged_time() -> None:
    """A path that fell silent is noticed after the usual time."""

    async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(-1)
        writer.close()

    async with await asyncio.start_server(async_serve, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()[:2]
        connection = await async_connect(address=Address(host=host, port=port), timeout_ms=1_000)
        timeouts_ms = []
        for length in (0, 100_000, 0):
            connection.send_request(method="POST", data=b"x" * length)
            assert connection.transport is not None
            opened = connection.transport.get_extra_info("socket")
            timeouts_ms.append(opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
        assert timeouts_ms == [2_500, 0, 2_500]
        connection.close()
