"""Test environment: an upstream that accepts connections and states a start, without HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.forwarding.ends.starts import UpstreamStarts
from gypsumrouter.forwarding.responders import Responder
from gypsumrouter.helpers.http_connection import HttpConnection
from gypsumrouter.helpers.http_response import ConnectionBroken
from gypsumrouter.instances import Address

STARTED_MS = 1_700_000_000_000
LATER_MS = 5_000


class StatingUpstream:
    """Accepts connections, closes those that a test names, and states a start that it sets."""

    def __init__(self) -> None:
        # None for one whose answer has none.
        self.started_ms: int | None = STARTED_MS
        self.is_silent = False
        # Cleared while connections wait for a start that accepts them.
        self.answering = asyncio.Event()
        self.answering.set()
        # Who answers a question for its id.
        self.responder = Responder.UPSTREAM
        # Whether it resets each connection that it accepts, and answers no question.
        self.drops = False
        # Whether it resets further connections only.
        self.is_full = False
        self._kept_ports: set[int] = set()
        self.questions = 0
        self.accepted: list[asyncio.StreamWriter] = []
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
            started_ms=STARTED_MS,
        )

    def start_again(self) -> None:
        """State a later start than the entry does."""
        self.started_ms = STARTED_MS + LATER_MS

    async def _async_accept(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted.append(writer)
        if self.drops or self.is_full:
            writer.transport.abort()
        else:
            self._kept_ports.add(writer.get_extra_info("peername")[1])

    async def async_read_start(self, connection: HttpConnection) -> int:
        """Return the start, as the upstream states it."""
        await self._async_note_question(connection)
        if self.started_ms is None:
            raise ConnectionBroken("closed")
        return self.started_ms

    async def async_read_responder(
        self, connection: HttpConnection, *, path: str, upstream: str
    ) -> Responder:
        """Return who answers a question for the upstream's id."""
        assert (path, upstream) == ("/health", "i-0")
        await self._async_note_question(connection)
        return self.responder

    async def _async_note_question(self, connection: HttpConnection) -> None:
        self.questions += 1
        if self.is_silent:
            await asyncio.Event().wait()
        await self.answering.wait()
        if self.drops or not await self._async_is_kept(connection):
            await async_until(lambda: not connection.open)
            raise ConnectionBroken("reset")

    async def _async_is_kept(self, connection: HttpConnection) -> bool:
        """Return whether a connection that has been opened was not reset."""
        if connection.transport is None:
            return False
        port = connection.transport.get_extra_info("sockname")[1]
        await async_until(lambda: port in self._kept_ports or not connection.open)
        return port in self._kept_ports

    def refuse(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    def end_connections(self) -> None:
        """Close all connections, as the end of the process does."""
        for writer in self.accepted:
            writer.close()

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        self.refuse()
        for writer in self.accepted:
            writer.transport.abort()


def make_pool(app: Application, upstream: StatingUpstream, directory: Directory) -> ConnectionPool:
    """Return a pool whose list is of this moment."""
    starts = UpstreamStarts(clock=app.clock, directory=directory, get_list_age_ms=lambda: 0)
    return ConnectionPool(
        app=app,
        read_start=upstream.async_read_start,
        read_responder=upstream.async_read_responder,
        starts=starts,
    )


async def async_begin_answer(connection: HttpConnection, peer: asyncio.StreamWriter) -> None:
    """Begin an answer that ends with its connection."""
    connection.send_request(method="GET", data=b"GET / HTTP/1.1\r\n\r\n")
    peer.write(b"HTTP/1.1 200 OK\r\n\r\na")
    await connection.async_read_response()


async def async_until(condition: Callable[[], Any]) -> None:
    """Wait up to 10 s until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.get_running_loop().run_in_executor(None, lambda: None)
