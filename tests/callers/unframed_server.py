"""A process that answers callers of HTTP/1.0 without a length.

Arguments: event loop (`asyncio` or `uvloop`), bytes of an answer, size of the send buffer of its
connections, and `whole`, `held` for answers that never end, or `sent` to wait until the kernel
holds an answer. It prints its port, and a line for each answer that is written or sent.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import sys

import uvloop
from aiohttp import web

from gypsumrouter.callers import CallerListener, CallerServer, ConnectionLimits
from gypsumrouter.settings import Listener
from gypsumrouter.util.clock import SystemClock

LIMIT_MS = 60_000
POLL_MS = 5
CLOCK = SystemClock()


async def async_serve(*, size: int, buffer_bytes: int, mode: str) -> None:
    """Serve until the process is killed."""
    ids = itertools.count()
    limits = ConnectionLimits(
        max_bytes=8_192,
        first_byte_timeout_ms=LIMIT_MS,
        head_timeout_ms=LIMIT_MS,
        idle_timeout_ms=LIMIT_MS,
    )

    async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
        assert request.transport is not None
        accepted = request.transport.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"x" * size)
        if mode != "held":
            await response.write_eof()
        while mode == "sent" and request.transport.get_write_buffer_size():
            await CLOCK.async_sleep(POLL_MS)
        print("written", flush=True)
        if mode == "held":
            await asyncio.Event().wait()
        return response

    server = CallerServer(
        async_handle, get_limits=lambda: limits, generate_request_id=lambda: str(next(ids))
    )
    listener = CallerListener(settings=Listener(), server=server, tls=None)
    print((await listener.async_start()).port, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    new_loop = uvloop.new_event_loop if sys.argv[1] == "uvloop" else asyncio.new_event_loop
    with asyncio.Runner(loop_factory=new_loop) as runner:
        size, buffer_bytes = int(sys.argv[2]), int(sys.argv[3])
        runner.run(async_serve(size=size, buffer_bytes=buffer_bytes, mode=sys.argv[4]))
