"""Answers whose end is only that of their connection: it must not end like that before they do."""

from __future__ import annotations

import asyncio
import itertools
import resource
import signal
import socket
import ssl
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
import uvloop
from aiohttp import web

from gypsumrouter.callers.closing import ConnectionDrain
from gypsumrouter.callers.connection import CallerConnection
from gypsumrouter.callers.listener import CallerListener, CallerServer
from gypsumrouter.callers.models import ConnectionLimits
from gypsumrouter.settings import Listener
from gypsumrouter.util.clock import SystemClock

PROGRAM = Path(__file__).with_name("unframed_server.py")
TLS_FILES = Path(__file__).parents[1] / "helpers" / "tls_files"
REQUEST = b"GET / HTTP/1.0\r\nHost: a\r\n\r\n"
# A request whose body is not read whole before its answer ends.
HALF_REQUEST = b"POST / HTTP/1.0\r\nHost: a\r\nContent-Length: 8\r\n\r\nhalf"
# Under the write buffer limit of a connection, and more than the kernel takes with small buffers.
ANSWER_BYTES = 30_000
SMALL_ANSWER_BYTES = 100
# More than the transport below that of TLS takes, so that the tail waits in the latter.
TLS_ANSWER_BYTES = 100_000
TLS_TAIL_BYTES = 20_000
LARGE_ANSWER_BYTES = 2_000_000
SMALL_BUFFER_BYTES = 2_048
LARGE_BUFFER_BYTES = 200_000
PART_BYTES = 4_096
SIGNALS = (signal.SIGKILL, signal.SIGABRT)
LOOPS = ("asyncio", "uvloop")
NEW_LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)
LIMIT_MS = 60_000
POLL_MS = 5
TIMEOUT_S = 20
CLOCK = SystemClock()


class Received(NamedTuple):
    """What a caller got: bytes of the body, and whether the connection ended with a reset."""

    size: int
    reset: bool


@pytest.fixture(autouse=True)
def no_core_dumps() -> Iterator[None]:
    """Let processes that a test aborts leave no core dump."""
    limits = resource.getrlimit(resource.RLIMIT_CORE)
    resource.setrlimit(resource.RLIMIT_CORE, (0, limits[1]))
    yield
    resource.setrlimit(resource.RLIMIT_CORE, limits)


async def async_connect(port: int, request: bytes = REQUEST) -> socket.socket:
    """Send a request on a connection whose caller takes little that it does not read."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, ("127.0.0.1", port))
    await loop.sock_sendall(connection, request)
    return connection


async def async_receive(connection: socket.socket, *, pause_ms: int = 0) -> Received:
    """Read an answer to its end, with a pause before each part."""
    data, reset = b"", False
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while part := await asyncio.get_running_loop().sock_recv(connection, PART_BYTES):
                data += part
                await CLOCK.async_sleep(pause_ms)
    except ConnectionError:
        reset = True
    connection.close()
    return Received(len(data.partition(b"\r\n\r\n")[2]), reset)


class ServerProcess:
    """A process of `unframed_server.py`, which a test kills."""

    def __init__(self, process: asyncio.subprocess.Process, port: int) -> None:
        self._process = process
        self.port = port

    @classmethod
    async def async_start(cls, *arguments: object) -> ServerProcess:
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(PROGRAM), *map(str, arguments), stdout=asyncio.subprocess.PIPE
        )
        server = cls(process, 0)
        server.port = int(await server.async_read_line())
        return server

    async def async_read_line(self) -> bytes:
        assert self._process.stdout is not None
        async with asyncio.timeout(TIMEOUT_S):
            return await self._process.stdout.readline()

    async def async_kill(self, number: signal.Signals) -> None:
        self._process.send_signal(number)
        await self._process.wait()


@pytest.fixture
async def started() -> AsyncIterator[list[ServerProcess]]:
    started: list[ServerProcess] = []
    yield started
    for server in started:
        if server._process.returncode is None:
            await server.async_kill(signal.SIGKILL)


# Guards against the beginning of an answer that looks whole since its process was killed.
@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("number", SIGNALS)
async def test_answer_under_way_in_a_process_that_is_killed_looks_whole(
    started: list[ServerProcess], number: signal.Signals, loop: str
) -> None:
    server = await ServerProcess.async_start(loop, ANSWER_BYTES, LARGE_BUFFER_BYTES, "held")
    started.append(server)
    connection = await async_connect(server.port)
    assert await server.async_read_line() == b"written\n"
    await server.async_kill(number)
    assert (await async_receive(connection)).reset


# Guards against an answer that looks whole though a part of it ended with the process, which had
# written it to its end.
@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("number", SIGNALS)
async def test_unsent_part_of_a_written_answer_ends_with_its_process(
    started: list[ServerProcess], number: signal.Signals, loop: str
) -> None:
    server = await ServerProcess.async_start(loop, ANSWER_BYTES, SMALL_BUFFER_BYTES, "whole")
    started.append(server)
    connection = await async_connect(server.port)
    assert await server.async_read_line() == b"written\n"
    await server.async_kill(number)
    received = await async_receive(connection)
    assert received.size < ANSWER_BYTES
    assert received.reset


# Guards against the reset of a whole answer that the kernel holds when its process is killed.
@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("number", SIGNALS)
async def test_whole_answer_is_reset_as_its_process_is_killed(
    started: list[ServerProcess], number: signal.Signals, loop: str
) -> None:
    server = await ServerProcess.async_start(loop, ANSWER_BYTES, LARGE_BUFFER_BYTES, "sent")
    started.append(server)
    connection = await async_connect(server.port)
    assert await server.async_read_line() == b"written\n"
    await server.async_kill(number)
    assert await async_receive(connection) == Received(ANSWER_BYTES, False)


class UnframedServer:
    """A listener in the test's event loop; its answers wait for `goes_on` before their end."""

    def __init__(self, *, size: int, tail: int = 0, tls: ssl.SSLContext | None = None) -> None:
        ids = itertools.count()
        limits = ConnectionLimits(
            max_bytes=8_192,
            first_byte_timeout_ms=LIMIT_MS,
            head_timeout_ms=LIMIT_MS,
            idle_timeout_ms=LIMIT_MS,
        )
        self._size = size
        self._tail = tail
        self.goes_on = asyncio.Event()
        self.goes_on.set()
        self.written = asyncio.Event()
        self.ended = asyncio.Event()
        server = CallerServer(
            self._async_handle,
            get_limits=lambda: limits,
            generate_request_id=lambda: str(next(ids)),
        )
        self.listener = CallerListener(settings=Listener(), server=server, tls=tls)

    async def _async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        assert isinstance(request.protocol, CallerConnection)
        assert request.transport is not None
        request.protocol.stop_head_timer()
        accepted = request.transport.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"x" * self._size)
        await response.write(b"x" * self._tail)
        self.written.set()
        await self.goes_on.wait()
        await response.write_eof()
        self.ended.set()
        return response


def run(new_loop: Callable[[], asyncio.AbstractEventLoop], test: Callable[[], object]) -> None:
    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(test())  # type: ignore[arg-type]


# Guards against the reset of a whole answer whose caller reads slowly, behind its last write.
@pytest.mark.parametrize("new_loop", NEW_LOOPS)
@pytest.mark.parametrize("request_bytes", [REQUEST, HALF_REQUEST], ids=["whole", "half"])
@pytest.mark.parametrize("size", [0, ANSWER_BYTES, LARGE_ANSWER_BYTES])
def test_slow_caller_loses_the_end_of_a_whole_answer(
    size: int, request_bytes: bytes, new_loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    async def async_test() -> None:
        server = UnframedServer(size=size)
        port = (await server.listener.async_start()).port
        connection = await async_connect(port, request_bytes)
        assert await async_receive(connection, pause_ms=1) == Received(size, False)
        await server.listener.async_close()

    run(new_loop, async_test)


# Guards against the reset of a whole answer that its caller takes after the drain of its process.
@pytest.mark.parametrize("new_loop", NEW_LOOPS)
def test_drain_resets_a_whole_answer_that_its_caller_takes_late(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    async def async_test() -> None:
        server = UnframedServer(size=ANSWER_BYTES)
        port = (await server.listener.async_start()).port
        connection = await async_connect(port)
        await server.ended.wait()
        drain = ConnectionDrain(
            clock=CLOCK,
            server=server.listener,
            limit_at_ms=CLOCK.now_ms(),
            on_closing=lambda _states: None,
        )
        drain.begin()
        draining = asyncio.create_task(drain.async_run())
        await CLOCK.async_sleep(300)
        assert await async_receive(connection) == Received(ANSWER_BYTES, False)
        async with asyncio.timeout(TIMEOUT_S):
            await draining
        await server.listener.async_close()

    run(new_loop, async_test)


# Guards against the reset of a whole answer that the kernel has taken when its process stops.
@pytest.mark.parametrize("new_loop", NEW_LOOPS)
def test_stop_resets_a_whole_answer_that_the_kernel_has_taken(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    async def async_test() -> None:
        server = UnframedServer(size=ANSWER_BYTES)
        port = (await server.listener.async_start()).port
        connection = await async_connect(port)
        await server.ended.wait()
        async with asyncio.timeout(TIMEOUT_S):
            while any(open_.unsent_bytes for open_ in server.listener.list_connections()):
                server.listener.pass_to_kernel()
                await CLOCK.async_sleep(POLL_MS)
        await server.listener.async_close()
        assert await async_receive(connection) == Received(ANSWER_BYTES, False)

    run(new_loop, async_test)


# Guards against the beginning of an answer that looks whole since its connection was closed.
@pytest.mark.parametrize("new_loop", NEW_LOOPS)
def test_close_of_a_connection_ends_an_answer_under_way_as_whole(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    async def async_test() -> None:
        server = UnframedServer(size=SMALL_ANSWER_BYTES)
        server.goes_on.clear()
        port = (await server.listener.async_start()).port
        connection = await async_connect(port)
        await server.written.wait()
        (open_,) = server.listener.list_connections()
        open_.close_now()
        assert (await async_receive(connection)).reset
        await server.listener.async_close()

    run(new_loop, async_test)


# Guards against the reset of a whole answer over TLS, which closes its transport in its own way.
@pytest.mark.parametrize("new_loop", NEW_LOOPS)
@pytest.mark.parametrize("size", [SMALL_ANSWER_BYTES, TLS_ANSWER_BYTES, LARGE_ANSWER_BYTES])
def test_slow_caller_loses_the_end_of_a_whole_answer_over_tls(
    size: int, new_loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    async def async_test() -> None:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(TLS_FILES / "first.pem", TLS_FILES / "first.key")
        server = UnframedServer(size=size, tail=TLS_TAIL_BYTES, tls=context)
        port = (await server.listener.async_start()).port
        trusting = ssl.create_default_context(cafile=str(TLS_FILES / "ca.pem"))
        trusting.check_hostname = False
        connection = await async_connect(port, b"")
        reader, writer = await asyncio.open_connection(
            sock=connection, ssl=trusting, server_hostname="a", limit=PART_BYTES
        )
        writer.write(REQUEST)
        async with asyncio.timeout(TIMEOUT_S):
            if size <= TLS_ANSWER_BYTES:
                await server.ended.wait()
                await CLOCK.async_sleep(100)
            data = b""
            while part := await reader.read(PART_BYTES):
                data += part
        assert len(data.partition(b"\r\n\r\n")[2]) == size + TLS_TAIL_BYTES
        writer.close()
        await server.listener.async_close()

    run(new_loop, async_test)
