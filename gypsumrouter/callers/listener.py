"""Listener for caller connections: connection limits, and error responses of the HTTP layer."""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

from aiohttp import http_exceptions, web
from msgspec import Struct

from gypsumrouter.callers.const import MAX_HEADERS, WRITE_BUFFER_BYTES
from gypsumrouter.callers.errors import (
    Rejection,
    make_error_response,
    reject_field,
    reject_head_size,
)
from gypsumrouter.const import MS_PER_S
from gypsumrouter.helpers.listening import BACKLOG, make_listening_socket
from gypsumrouter.instances import Address
from gypsumrouter.outcomes import Failed, Reason
from gypsumrouter.settings import Listener

_LOGGER = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
SHUTDOWN_TIMEOUT_S: Final = 0.5


class RequestIdGenerator(Protocol):
    """Generates an id for each request."""

    def __call__(self) -> str:
        """Return a new id."""


class ConnectionLimits(Struct, frozen=True, kw_only=True):
    """Limits of one caller connection, fixed when the connection is opened.

    `first_byte_timeout_ms` limits the time from the opening to the first byte received.
    `head_timeout_ms` limits the time from the first to the last byte of a request head.
    `idle_timeout_ms` limits the time between the end of an answer and the next request.
    """

    max_bytes: int
    first_byte_timeout_ms: int
    head_timeout_ms: int
    idle_timeout_ms: int


class CallerConnection(web.RequestHandler):
    """One connection of a caller; invalid HTTP is answered with a JSON error."""

    __slots__ = ("_head_started", "_head_timer", "_limits", "_server")

    def __init__(self, server: CallerServer, *, limits: ConnectionLimits, **options: Any) -> None:
        super().__init__(server, keepalive_timeout=limits.idle_timeout_ms / MS_PER_S, **options)
        self._server = server
        self._limits = limits
        self._head_started = False
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the write buffer limit and start the timeout for the first byte."""
        super().connection_made(transport)
        if isinstance(transport, asyncio.WriteTransport):
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._start_head_timer(self._limits.first_byte_timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Start the head timeout at the first byte of a request head."""
        super().data_received(data)
        # Data received while no head is awaited belongs to a request body.
        if self._is_awaiting_head and not self._head_started:
            self._head_started = True
            self._start_head_timer(self._limits.head_timeout_ms)

    @property
    def _is_awaiting_head(self) -> bool:
        """Return whether the connection waits for a request head or has received part of one."""
        return self._waiter is not None and not self._waiter.done() and not self._messages

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer of the connection."""
        self.stop_head_timer()
        super().connection_lost(exc)

    def stop_head_timer(self) -> None:
        """Cancel the head timeout after a complete head, or when the connection ends."""
        self._head_started = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _start_head_timer(self, limit_ms: int) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(limit_ms / MS_PER_S, self.force_close)

    def close_gracefully(self) -> None:
        """Close an idle connection now, or a busy one after its current answer.

        `close` of the HTTP library leaves the transport of an idle connection open.
        """
        idle = self._is_awaiting_head
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
        """Return the response to invalid HTTP or to an exception in the request handler."""
        self.stop_head_timer()
        request_id = self._server.generate_request_id()
        if status >= 500:
            _LOGGER.error(
                "Request %s failed with an unexpected exception; responding with an error",
                request_id,
                exc_info=exc,
            )
        else:
            _LOGGER.debug(
                "Request %s is invalid HTTP (%s); responding with an error and closing",
                request_id,
                message or exc,
            )
        rejection = _reject_http(status, exc)
        response = make_error_response(rejection=rejection, request_id=request_id)
        response.force_close()
        return response


class CallerServer(web.Server):
    """Creates the protocol object of each new connection, with the limits in force at that time."""

    def __init__(
        self,
        handler: Handler,
        *,
        get_limits: Callable[[], ConnectionLimits],
        generate_request_id: RequestIdGenerator,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.generate_request_id = generate_request_id
        self._get_limits = get_limits

    def __call__(self) -> CallerConnection:
        """Return the protocol object for a new connection."""
        limits = self._get_limits()
        return CallerConnection(
            self,
            limits=limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            max_line_size=limits.max_bytes,
            max_field_size=limits.max_bytes,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
        )


class CallerListener:
    """Accepts caller connections until it is closed."""

    __slots__ = ("_runner", "_settings", "_site", "_tls")

    def __init__(
        self, *, settings: Listener, server: CallerServer, tls: ssl.SSLContext | None
    ) -> None:
        self._settings = settings
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

    async def async_stop_listening(self) -> None:
        """Stop accepting new connections; open connections are kept."""
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
