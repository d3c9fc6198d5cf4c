"""Listener for caller connections, and the server that creates them."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from gypsumrouter.callers.connection import CallerConnection
from gypsumrouter.callers.models import BrokenAnswer, GetLimits, OnBroken, RequestIdGenerator
from gypsumrouter.helpers.listening import BACKLOG, make_listening_socket
from gypsumrouter.instances import Address
from gypsumrouter.settings import Listener

_LOGGER = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
SHUTDOWN_TIMEOUT_S: Final = 0.5
# Time for the TLS handshake of a connection that waited in the backlog when the listener closed.
LAST_HANDSHAKE_S: Final = 1.0


def _ignore_broken(_: BrokenAnswer) -> None:
    """Do nothing about a broken answer."""


class CallerServer(web.Server):
    """Creates the protocol object of each new connection, and tells it the limits in force."""

    def __init__(
        self,
        handler: Handler,
        *,
        get_limits: GetLimits,
        generate_request_id: RequestIdGenerator,
        on_broken: OnBroken = _ignore_broken,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._on_broken = on_broken
        self._generate_request_id = generate_request_id
        self._get_limits = get_limits
        self._closes_after_answers = False
        self.connection_closed = asyncio.Event()

    def list_connections(self) -> list[CallerConnection]:
        """Return the open connections."""
        return [c for c in self.connections if isinstance(c, CallerConnection) and c.connected]

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Tell a new connection to close after its next answer, if all others do."""
        super().connection_made(handler, transport)
        if self._closes_after_answers and isinstance(handler, CallerConnection):
            handler.close_after_answer()

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Notify who waits for connections to close."""
        super().connection_lost(handler, exc)
        self.connection_closed.set()

    def close_after_answers(self) -> None:
        """Close each connection, new ones too, after its next answer."""
        self._closes_after_answers = True
        for connection in self.list_connections():
            connection.close_after_answer()

    def __call__(self) -> CallerConnection:
        """Return the protocol object for a new connection."""
        return CallerConnection(
            self,
            get_limits=self._get_limits,
            generate_request_id=self._generate_request_id,
            on_broken=self._on_broken,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )


class CallerListener:
    """Accepts caller connections until it is closed."""

    __slots__ = (
        "_listening",
        "_runner",
        "_server",
        "_settings",
        "_site",
        "_tls",
        "connection_closed",
    )

    def __init__(
        self, *, settings: Listener, server: CallerServer, tls: ssl.SSLContext | None
    ) -> None:
        self._settings = settings
        self._server = server
        self.connection_closed = server.connection_closed
        self._tls = tls
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self._site: web.SockSite | None = None
        # Keeps the backlog when the event loop closes its own descriptor of the listener.
        self._listening: socket.socket | None = None

    async def async_start(self) -> Address:
        """Start listening and return the bound address."""
        listening = make_listening_socket(host=self._settings.host, port=self._settings.port)
        await self._runner.setup()
        site = web.SockSite(self._runner, listening, ssl_context=self._tls, backlog=BACKLOG)
        await site.start()
        self._site = site
        self._listening = listening.dup()
        host, port = listening.getsockname()[:2]
        return Address(host=host, port=port)

    def close_after_answers(self) -> None:
        """Close each connection, new ones too, after its next answer."""
        self._server.close_after_answers()

    def list_connections(self) -> list[CallerConnection]:
        """Return the open connections."""
        return self._server.list_connections()

    async def async_stop_listening(self) -> None:
        """Stop accepting; open connections and those that the kernel has accepted are kept."""
        site, self._site = self._site, None
        listening, self._listening = self._listening, None
        if site is None or listening is None:
            return
        await site.stop()
        waiting = _accept_waiting(listening)
        listening.close()
        await asyncio.gather(*map(self._async_serve, waiting))
        # uvloop accepts a connection one turn before its protocol is connected and listed.
        await asyncio.sleep(0)

    async def _async_serve(self, connection: socket.socket) -> None:
        """Serve a connection that was accepted here instead of by the event loop."""
        loop = asyncio.get_running_loop()
        handshake_s = None if self._tls is None else LAST_HANDSHAKE_S
        try:
            await loop.connect_accepted_socket(
                self._server, connection, ssl=self._tls, ssl_handshake_timeout=handshake_s
            )
        except OSError as err:
            connection.close()
            _LOGGER.debug("Connection from the backlog ended before it was served: %s", err)

    def pass_to_kernel(self) -> None:
        """Let the kernel take what was written to all connections."""
        for connection in self._server.list_connections():
            connection.pass_to_kernel()

    async def async_close(self) -> None:
        """Close the listener and all connections; what is under way ends broken."""
        await self.async_stop_listening()
        for connection in self._server.list_connections():
            connection.cut()
        await self._runner.cleanup()


def _accept_waiting(listening: socket.socket) -> list[socket.socket]:
    """Return the connections of the backlog; those that come meanwhile are bounded in number.

    The event loop accepts one connection an iteration, so at a load there are some.
    """
    waiting: list[socket.socket] = []
    while len(waiting) < 2 * BACKLOG:
        try:
            connection, _ = listening.accept()
        except BlockingIOError:
            break
        except OSError as err:
            _LOGGER.warning("Cannot accept the connections of the backlog: %s", err)
            break
        connection.setblocking(False)
        waiting.append(connection)
    return waiting
