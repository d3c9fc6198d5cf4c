"""Listener for caller connections, and the server that creates them."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from gypsumrouter.callers.connection import (
    CallerConnection,
    GetLimits,
    RequestIdGenerator,
)
from gypsumrouter.helpers.listening import BACKLOG, make_listening_socket
from gypsumrouter.instances import Address
from gypsumrouter.settings import Listener

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
SHUTDOWN_TIMEOUT_S: Final = 0.5


class CallerServer(web.Server):
    """Creates the protocol object of each new connection, and tells it the limits in force."""

    def __init__(
        self,
        handler: Handler,
        *,
        get_limits: GetLimits,
        generate_request_id: RequestIdGenerator,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._generate_request_id = generate_request_id
        self._get_limits = get_limits
        self._closes_after_answers = False
        self.connection_closed = asyncio.Event()

    def list_connections(self) -> list[CallerConnection]:
        """Return the open connections."""
        return [c for c in self.connections if isinstance(c, CallerConnection) and c.connected]

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
            closes_after_answer=self._closes_after_answers,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )


class CallerListener:
    """Accepts caller connections until it is closed."""

    __slots__ = ("_runner", "_server", "_settings", "_site", "_tls", "connection_closed")

    def __init__(
        self, *, settings: Listener, server: CallerServer, tls: ssl.SSLContext | None
    ) -> None:
        self._settings = settings
        self._server = server
        self.connection_closed = server.connection_closed
        self._tls = tls
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self._site: web.SockSite | None = None

    async def async_start(self) -> Address:
        """Start listening and return the bound address."""
        listening = make_listening_socket(host=self._settings.host, port=self._settings.port)
        await self._runner.setup()
        site = web.SockSite(self._runner, listening, ssl_context=self._tls, backlog=BACKLOG)
        await site.start()
        self._site = site
        host, port = listening.getsockname()[:2]
        return Address(host=host, port=port)

    def close_after_answers(self) -> None:
        """Close each connection, new ones too, after its next answer."""
        self._server.close_after_answers()

    def list_connections(self) -> list[CallerConnection]:
        """Return the open connections."""
        return self._server.list_connections()

    async def async_stop_listening(self) -> None:
        """Stop accepting new connections; open connections are kept."""
        site, self._site = self._site, None
        if site is not None:
            await site.stop()

    async def async_close(self) -> None:
        """Close the listener and all connections; what is under way ends broken."""
        await self.async_stop_listening()
        for connection in self._server.list_connections():
            connection.cut()
        await self._runner.cleanup()
