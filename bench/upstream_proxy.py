"""A process that forwards TCP connections to an upstream, and outlives it."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from enum import StrEnum
from typing import Final

import msgspec
import uvloop
from msgspec import Struct

from bench.forked_child import async_serve_commands, prepare
from gypsumrouter.standins.listener import PortReservation

READ_BYTES: Final = 65_536
# A connection over which nothing came for so long has no answer under way.
IDLE_S: Final = 0.25
STALLED_S: Final = 3.0
# What writing on a connection raises that is closed; uvloop raises RuntimeError.
CLOSED: Final = (OSError, RuntimeError)


class Forwarding(StrEnum):
    """What a proxy does with connections whose upstream is gone.

    SILENT: accepts new ones and says nothing. CLOSES: accepts new ones and closes them. ONE_WAY:
    closes only the direction to the caller, and accepts new ones silently. STALLS: passes the end
    of idle ones on seconds later, and accepts new ones silently.
    """

    SILENT = "silent"
    CLOSES = "closes"
    ONE_WAY = "one way"
    STALLS = "stalls"


class ProxyPlan(Struct, frozen=True, kw_only=True):
    """The port of a proxy, that of its upstream, and what it does when that is gone."""

    port: int
    target: int
    forwarding: Forwarding


class UpstreamProxy:
    """Relays each connection to a new one to the upstream."""

    def __init__(self, *, plan: ProxyPlan) -> None:
        self._plan = plan

    async def async_listen(self) -> None:
        """Accept connections."""
        listener = PortReservation(host="127.0.0.1", port=self._plan.port).open_listener()
        await asyncio.start_server(self._async_relay, sock=listener)

    async def _async_relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self._plan.target)
        except OSError as error:
            # An upstream that resets a connection beyond its limit is not gone.
            is_gone = isinstance(error, ConnectionRefusedError)
            if is_gone and self._plan.forwarding is not Forwarding.CLOSES:
                await _async_drop(reader)
            await _async_close(writer)
            return
        requests = asyncio.create_task(_async_pass_requests(reader, upstream[1]))
        last_s = await _async_pump(upstream[0], writer)
        if self._plan.forwarding is Forwarding.STALLS and time.monotonic() - last_s > IDLE_S:
            await asyncio.sleep(STALLED_S)
        if self._plan.forwarding is Forwarding.ONE_WAY:
            with suppress(*CLOSED):
                writer.write_eof()
            await _async_drop(reader, after=requests)
        requests.cancel()
        await _async_close(writer)
        await _async_close(upstream[1])


async def _async_pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> float:
    """Pass bytes on until an end of either connection, and return when the last ones came."""
    last_s = time.monotonic()
    with suppress(*CLOSED):
        while data := await reader.read(READ_BYTES):
            last_s = time.monotonic()
            writer.write(data)
            await writer.drain()
    return last_s


async def _async_pass_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Pass the bytes of a caller on; its end is that of the connection to the upstream."""
    await _async_pump(reader, writer)
    await _async_close(writer)


async def _async_drop(
    reader: asyncio.StreamReader, *, after: asyncio.Task[None] | None = None
) -> None:
    """Read what comes until its end."""
    if after is not None:
        await after
    with suppress(OSError):
        while await reader.read(READ_BYTES):
            pass


async def _async_close(writer: asyncio.StreamWriter) -> None:
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()


def run_proxy(plan: bytes, commands: socket.socket, _listener: socket.socket | None) -> None:
    """Run a proxy in a process of its own."""
    prepare()
    uvloop.run(_async_proxy(msgspec.json.decode(plan, type=ProxyPlan), commands))


async def _async_proxy(plan: ProxyPlan, commands: socket.socket) -> None:
    proxy = UpstreamProxy(plan=plan)
    await proxy.async_listen()

    async def async_handle() -> None:
        return None

    await async_serve_commands(commands, "listens", async_handle)
