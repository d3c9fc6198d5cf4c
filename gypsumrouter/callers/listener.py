"""The listener for callers: connections, their limits, and errors of the HTTP layer."""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

from aiohttp import http_exceptions, web

from gypsumrouter.callers.const import KEEPALIVE_TIMEOUT_S, MAX_HEADERS, WRITE_BUFFER_BYTES
from gypsumrouter.callers.errors import (
    Rejection,
    make_error_response,
    reject_field,
    reject_head_size,
)
from gypsumrouter.const import MS_PER_S
from gypsumrouter.fleet.models import Address
from gypsumrouter.helpers.listening import BACKLOG, make_listening_socket
from gypsumrouter.outcomes import Failed, Reason
from gypsumrouter.settings import Limits, Listener

_LOGGER = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
SHUTDOWN_TIMEOUT_S: Final = 0.5


class MintRequestId(Protocol):
    """Gives each request its id."""

    def __call__(self) -> str:
        """Return a new id."""


class CallerConnection(web.RequestHandler):
    """One connection of a caller; whatever is wrong with its HTTP is answered as JSON."""

    __slots__ = ("_head_timer", "_server")

    def __init__(self, server: CallerServer, **options: Any) -> None:
        super().__init__(server, **options)
        self._server = server
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what the connection buffers and how long its first head may take."""
        super().connection_made(transport)
        if isinstance(transport, asyncio.WriteTransport):
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(self._server.head_timeout_s, self.force_close)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the timer of the connection."""
        self.note_request()
        super().connection_lost(exc)

    def note_request(self) -> None:
        """Note that the first head has arrived whole."""
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def close_politely(self) -> None:
        """Close now if no request has arrived, or else after the answer.

        The library's own `close` leaves an idle connection open, on which nothing is served.
        """
        idle = self._waiter is not None and not self._waiter.done() and not self._messages
        self.close()
        if idle and self.transport is not None:
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer an error of the HTTP layer, or a fault of the gateway itself."""
        self.note_request()
        request_id = self._server.mint_request_id()
        if status >= 500:
            _LOGGER.error("Request %s hit a fault of the router", request_id, exc_info=exc)
        else:
            _LOGGER.debug("Request %s is not valid HTTP: %s", request_id, message or exc)
        rejection = _reject_http(status, exc)
        response = make_error_response(rejection=rejection, request_id=request_id)
        response.force_close()
        return response


class CallerServer(web.Server):
    """Makes a connection object for each connection of a caller."""

    def __init__(self, handler: Handler, *, limits: Limits, mint_request_id: MintRequestId) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.mint_request_id = mint_request_id
        self.head_timeout_s = limits.caller_idle_ms / MS_PER_S
        self._max_head_bytes = limits.max_head_bytes

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            access_log=None,
            max_line_size=self._max_head_bytes,
            max_field_size=self._max_head_bytes,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
        )


class CallerListener:
    """Listens for callers until it is closed."""

    __slots__ = ("_runner", "_settings", "_site", "_tls")

    def __init__(
        self, *, settings: Listener, server: CallerServer, tls: ssl.SSLContext | None
    ) -> None:
        self._settings = settings
        self._tls = tls
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self._site: web.SockSite | None = None

    async def async_start(self) -> Address:
        """Begin to listen and return the address."""
        listening = make_listening_socket(host=self._settings.host, port=self._settings.port)
        await self._runner.setup()
        site = web.SockSite(self._runner, listening, ssl_context=self._tls, backlog=BACKLOG)
        await site.start()
        self._site = site
        host, port = listening.getsockname()[:2]
        return Address(host=host, port=port)

    async def async_stop_listening(self) -> None:
        """Take no new connections; those that are open stay."""
        site, self._site = self._site, None
        if site is not None:
            await site.stop()

    async def async_close(self) -> None:
        """Close the listener and all connections."""
        await self._runner.cleanup()


def _reject_http(status: int, exc: BaseException | None) -> Rejection:
    if status >= 500:
        failure = Failed(reason=Reason.STOPPED, message="The router failed on this request")
        return Rejection(failure=failure, status=status)
    if isinstance(exc, http_exceptions.LineTooLong):
        return reject_head_size()
    return reject_field("head", "The request is not valid HTTP", status=status)
