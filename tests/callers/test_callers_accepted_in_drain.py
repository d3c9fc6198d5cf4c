"""Connections that the event loop accepts just as the drain of their listener ends."""

from __future__ import annotations

import asyncio
import itertools
import socket
from http import HTTPStatus

import pytest
import uvloop
from aiohttp import web

from gypsumrouter.callers.closing import ConnectionDrain
from gypsumrouter.callers.listener import CallerListener, CallerServer
from gypsumrouter.callers.models import ConnectionLimits
from gypsumrouter.settings import Listener
from gypsumrouter.util.clock import SystemClock

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 204 "
ANSWER_MS = 50
# More turns of the event loop than an accepted connection takes to be served.
TURNS = 5
LIMIT_MS = 60_000
DRAIN_MS = 5_000
TIMEOUT_S = 10
LIMITS = ConnectionLimits(
    max_bytes=8_192,
    first_byte_timeout_ms=LIMIT_MS,
    head_timeout_ms=LIMIT_MS,
    idle_timeout_ms=LIMIT_MS,
)
CLOCK = SystemClock()


async def async_answer(_request: web.BaseRequest) -> web.StreamResponse:
    await CLOCK.async_sleep(ANSWER_MS)
    return web.Response(status=HTTPStatus.NO_CONTENT)


async def async_turn(turns: int) -> None:
    """Let the event loop turn."""
    for _ in range(turns):
        await asyncio.sleep(0)


def make_listener() -> CallerListener:
    ids = itertools.count()
    server = CallerServer(
        async_answer, get_limits=lambda: LIMITS, generate_request_id=lambda: str(next(ids))
    )
    return CallerListener(settings=Listener(host=HOST, port=0), server=server, tls=None)


async def async_receive_first_bytes(turns: int) -> bytes:
    """Return what a caller receives whose connection opens `turns` of the loop before a drain."""
    listener = make_listener()
    address = await listener.async_start()
    drain = ConnectionDrain(
        clock=CLOCK,
        server=listener,
        limit_at_ms=CLOCK.now_ms() + DRAIN_MS,
        on_closing=lambda _states: None,
    )
    drain.begin()
    with socket.create_connection((address.host, address.port)) as caller:
        caller.setblocking(False)
        caller.send(REQUEST)
        await async_turn(turns)
        await drain.async_run()
        await async_turn(TURNS)
        await listener.async_close()
        async with asyncio.timeout(TIMEOUT_S):
            return await asyncio.get_running_loop().sock_recv(caller, len(ANSWER))


# Guards against the reset of a request that is handled: its connection was not listed yet.
@pytest.mark.parametrize("turns", range(3))
def test_request_of_a_connection_accepted_at_the_end_of_a_drain_is_cut(turns: int) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(async_receive_first_bytes(turns)) == ANSWER
