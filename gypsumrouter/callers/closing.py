"""Closing of callers' connections at a planned stop: none is closed while a request arrives on it.

What becomes of a connection is decided from its state alone.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Final, Protocol

from gypsumrouter.callers.connection import CallerConnection, ConnectionState
from gypsumrouter.util.clock import Clock

POLL_MS: Final = 20


class Closing(StrEnum):
    """How a connection is closed.

    NOW: without an answer, as none is owed. AFTER_ANSWER: behind the answer to its request.
    REFUSE: the request that is still arriving is refused, and the connection closed behind that.
    """

    NOW = "now"
    AFTER_ANSWER = "after_answer"
    REFUSE = "refuse"


def decide_closing(state: ConnectionState, *, out_of_time: bool) -> Closing:
    """Return how to close a connection; `out_of_time`: no arriving request is waited for now."""
    match state:
        case ConnectionState.IDLE:
            return Closing.NOW
        case ConnectionState.HEAD | ConnectionState.BODY if out_of_time:
            return Closing.REFUSE
        case ConnectionState.DISCARDING if out_of_time:
            return Closing.NOW
        case _:
            return Closing.AFTER_ANSWER


class DrainedServer(Protocol):
    """A server whose connections are closed; `connection_closed` is set whenever one has closed."""

    connection_closed: asyncio.Event

    def close_after_answers(self) -> None:
        """Close each connection, new ones too, after its next answer."""

    def list_connections(self) -> list[CallerConnection]:
        """Return the open connections."""

    async def async_stop_listening(self) -> None:
        """Stop accepting; open connections and those that the kernel has accepted are kept."""


class ConnectionDrain:
    """Closes all connections of a server, and waits until they are closed.

    Requests that are still arriving at `limit_at_ms` (monotonic milliseconds) are refused, and no
    new connections are accepted from then on. Requests that have arrived whole are waited for, and
    so are those of connections that have just opened.
    """

    __slots__ = ("_clock", "_limit_at_ms", "_on_closing", "_server")

    def __init__(
        self,
        *,
        clock: Clock,
        server: DrainedServer,
        limit_at_ms: int,
        on_closing: Callable[[Counter[ConnectionState]], None],
    ) -> None:
        self._clock = clock
        self._server = server
        self._limit_at_ms = limit_at_ms
        self._on_closing = on_closing

    def begin(self) -> None:
        """Let connections close after their answers from now on; idle ones stay open."""
        self._server.close_after_answers()

    async def async_run(self) -> None:
        """Close idle connections now and the others after their answers, then the listener."""
        connections = self._server.list_connections()
        self._on_closing(Counter(connection.state for connection in connections))
        self._close()
        while self._is_busy() and not self._is_out_of_time:
            await self._async_wait()
        await self._server.async_stop_listening()
        self._close()
        while self._is_open():
            await self._async_wait()
            self._close()

    async def _async_wait(self) -> None:
        """Wait until a connection has closed, at most for `POLL_MS`."""
        closed = asyncio.ensure_future(self._server.connection_closed.wait())
        poll = asyncio.ensure_future(self._clock.async_sleep(POLL_MS))
        try:
            await asyncio.wait((closed, poll), return_when=asyncio.FIRST_COMPLETED)
        finally:
            closed.cancel()
            poll.cancel()

    @property
    def _is_out_of_time(self) -> bool:
        return self._clock.now_ms() >= self._limit_at_ms

    def _is_busy(self) -> bool:
        """Return whether a connection is not idle; one that closes from now on is noticed."""
        self._server.connection_closed.clear()
        connections = self._server.list_connections()
        return any(connection.state is not ConnectionState.IDLE for connection in connections)

    def _is_open(self) -> bool:
        """Return whether a connection is open; one that closes from now on is noticed."""
        self._server.connection_closed.clear()
        return bool(self._server.list_connections())

    def _close(self) -> None:
        for connection in self._server.list_connections():
            match decide_closing(connection.state, out_of_time=self._is_out_of_time):
                case Closing.NOW:
                    connection.close_idle()
                case Closing.REFUSE:
                    connection.refuse_arriving()
                case Closing.AFTER_ANSWER:
                    pass
