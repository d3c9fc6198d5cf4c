"""A caller that reads slowly: what its process buffers for it, on both kinds of event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from itertools import count

import pytest
import uvloop
from aiohttp import web

from gypsumrouter.callers import WRITE_BUFFER_BYTES
from gypsumrouter.callers.connection import CallerConnection
from gypsumrouter.callers.listener import CallerListener, CallerServer
from gypsumrouter.callers.models import ConnectionLimits
from gypsumrouter.settings import Listener

HANG_S = 20
# The kernel buffers less than this, so that most of the answer has to wait in the process.
KERNEL_BUFFER_BYTES = 8_192
ANSWER_BYTES = 2 * 1024 * 1024
LIMITS = ConnectionLimits(
    max_bytes=8_192, first_byte_timeout_ms=60_000, head_timeout_ms=60_000, idle_timeout_ms=60_000
)


class StreamingServer:
    """Streams an answer in parts of one size, and records what is unsent after each of them."""

    def __init__(self, *, part_bytes: int) -> None:
        self._part = b"x" * part_bytes
        self.paused = asyncio.Event()
        self.most_unsent_bytes = 0
        numbers = count()
        server = CallerServer(
            self.async_handle,
            get_limits=lambda: LIMITS,
            generate_request_id=lambda: f"r-{next(numbers)}",
        )
        self.listener = CallerListener(settings=Listener(), server=server, tls=None)

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        assert connection.transport is not None
        accepted = connection.transport.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
        response = web.StreamResponse()
        response.force_close()
        response.content_length = ANSWER_BYTES
        await response.prepare(request)
        for _ in range(ANSWER_BYTES // len(self._part)):
            writing = asyncio.ensure_future(response.write(self._part))
            await asyncio.sleep(0)
            if not writing.done():
                self.paused.set()
            await writing
            self.most_unsent_bytes = max(self.most_unsent_bytes, connection.unsent_bytes)
        await response.write_eof()
        return response


async def async_read_slowly(server: StreamingServer) -> int:
    """Request the answer, read it once its writer waits, and return the size of its body."""
    address = await server.listener.async_start()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (address.host, address.port))
    reader, writer = await asyncio.open_connection(sock=connection, limit=KERNEL_BUFFER_BYTES)
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    async with asyncio.timeout(HANG_S):
        await reader.readuntil(b"\r\n\r\n")
        await server.paused.wait()
        size = 0
        while part := await reader.read(KERNEL_BUFFER_BYTES):
            size += len(part)
    writer.close()
    await server.listener.async_close()
    return size


# Guards against a limit of the connection that the transport of uvloop or the writer of the HTTP
# library does not apply: slow callers of long streams then take several times its memory.
@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("part_bytes", [256, 16_384, 131_072])
def test_process_buffers_no_more_than_its_limit_for_a_slow_caller(
    part_bytes: int, new_loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    async def async_test() -> None:
        server = StreamingServer(part_bytes=part_bytes)
        assert await async_read_slowly(server) == ANSWER_BYTES
        assert server.most_unsent_bytes <= WRITE_BUFFER_BYTES

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(async_test())
