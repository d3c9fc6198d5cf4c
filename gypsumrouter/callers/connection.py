"""One connection of a caller: its limits, its state, and responses to invalid HTTP."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import struct
from collections.abc import Callable
from enum import StrEnum
from http import HTTPStatus
from typing import Any, Final, Protocol

from aiohttp import http_exceptions, web
from aiohttp.http_parser import HttpRequestParser
from msgspec import Struct

from gypsumrouter.callers.const import CONTENT_TYPE_JSON, MAX_HEADERS, WRITE_BUFFER_BYTES
from gypsumrouter.callers.errors import (
    Rejection,
    make_error_response,
    reject,
    reject_field,
    reject_head_size,
    render_error,
)
from gypsumrouter.callers.limit_timer import LimitTimer
from gypsumrouter.callers.writer import make_request
from gypsumrouter.const import MS_PER_S
from gypsumrouter.outcomes import Failed, Reason

_LOGGER = logging.getLogger(__name__)

# How long what still arrives after the last answer of a connection is read for nothing. A socket
# that is closed with unread bytes is reset, which takes the end of an answer from a slow caller.
DISCARD_MS: Final = 2_000

# A connection that has opened so recently is expected to bring a request. The kernel accepts it
# before the bytes of the request arrive.
OPENED_MS: Final = 250

# SO_LINGER with a timeout of 0: closing the socket sends RST instead of FIN.
LINGER_RESET: Final = struct.pack("ii", 1, 0)


class RequestIdGenerator(Protocol):
    """Generates an id for each request."""

    def __call__(self) -> str:
        """Return a new id."""


class ConnectionLimits(Struct, frozen=True, kw_only=True):
    """Limits of caller connections; those of an open connection change with the configuration.

    `max_bytes` limits each line of a request head. `first_byte_timeout_ms` limits the time from the
    opening to the first byte received. `head_timeout_ms` limits the time from the first to the last
    byte of a request head. `idle_timeout_ms` limits the time between the end of an answer and the
    next request.
    """

    max_bytes: int
    first_byte_timeout_ms: int
    head_timeout_ms: int
    idle_timeout_ms: int


GetLimits = Callable[[], ConnectionLimits]


class ConnectionState(StrEnum):
    """What a connection is doing.

    OPENED: it has opened less than `OPENED_MS` ago, and no byte has arrived. IDLE: no byte of a
    request has arrived since the last answer. HEAD, BODY: a part of a request's head or body has
    arrived, a head perhaps only in the kernel. ANSWERING: its request has arrived whole.
    DISCARDING: its request is answered, and the rest of its body, or what comes behind its last
    request, is read for nothing.
    """

    OPENED = "opened"
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"
    DISCARDING = "discarding"


class CallerConnection(web.RequestHandler):
    """One connection of a caller; invalid HTTP is answered with a JSON error."""

    __slots__ = (
        "_answered",
        "_body_scope",
        "_closes_after_answer",
        "_discard_timer",
        "_discarding",
        "_generate_request_id",
        "_get_limits",
        "_head_started",
        "_head_timer",
        "_opened_idle_timeout_ms",
        "_opened_s",
        "refused",
        "request_id",
        "was_cut",
    )

    def __init__(
        self,
        server: web.Server,
        *,
        get_limits: GetLimits,
        generate_request_id: RequestIdGenerator,
        closes_after_answer: bool,
        **options: Any,
    ) -> None:
        limits = get_limits()
        super().__init__(
            server,
            keepalive_timeout=limits.idle_timeout_ms / MS_PER_S,
            max_line_size=limits.max_bytes,
            max_field_size=limits.max_bytes,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
            **options,
        )
        self._request_factory = make_request
        self._generate_request_id = generate_request_id
        self._get_limits = get_limits
        # The HTTP library counts with this one for as long as the connection is open.
        self._opened_idle_timeout_ms = limits.idle_timeout_ms
        self._head_started = False
        self._head_timer: LimitTimer | None = None
        self._opened_s = asyncio.get_running_loop().time()
        self._closes_after_answer = closes_after_answer
        # Whether the latest request is answered, though its body may not have arrived whole.
        self._answered = False
        self._body_scope: asyncio.Timeout | None = None
        # Set once the connection has sent its end; done when it is closed.
        self._discarding: asyncio.Future[None] | None = None
        self._discard_timer: asyncio.TimerHandle | None = None
        # Id of the latest request, as its caller sent it.
        self.request_id = ""
        # Whether the request that is arriving is refused since the process stops.
        self.refused = False
        # Whether this process has ended it with a request under way.
        self.was_cut = False

    @property
    def state(self) -> ConnectionState:
        """Return what the connection is doing."""
        if self._discarding is not None:
            return ConnectionState.DISCARDING
        if self._request_in_progress or self._messages:
            request = self._current_request
            arriving = request is not None and not request.content.is_eof()
            return ConnectionState.BODY if arriving else ConnectionState.ANSWERING
        if self._is_awaiting_head:
            if self._head_started or self._has_unread_bytes:
                return ConnectionState.HEAD
            return ConnectionState.OPENED if self._has_just_opened else ConnectionState.IDLE
        return ConnectionState.DISCARDING if self._answered else ConnectionState.ANSWERING

    @property
    def _has_just_opened(self) -> bool:
        age_s = asyncio.get_running_loop().time() - self._opened_s
        return self._request_count == 0 and age_s < OPENED_MS / MS_PER_S

    @property
    def _has_unread_bytes(self) -> bool:
        """Return whether the kernel has received bytes, or an end, that are not read yet."""
        transport = self.transport
        connection = None
        if transport is not None and not transport.is_closing():
            connection = transport.get_extra_info("socket")
        if connection is None:
            return False
        poll = select.poll()
        poll.register(connection.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    @property
    def unsent_bytes(self) -> int:
        """Return the size of what was written and has not been passed to the kernel."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the write buffer limit and start the timeout for the first byte."""
        super().connection_made(transport)
        # Not asked for by type: uvloop's transports are not subclasses of asyncio.WriteTransport.
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._start_head_timer(lambda: self._get_limits().first_byte_timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Start the head timeout at the first byte of a request head."""
        if self._discarding is not None:
            return
        if self._is_awaiting_head and not self._head_started:
            self._update_parser()
        super().data_received(data)
        # Data received while no head is awaited belongs to a request body.
        if self._is_awaiting_head and not self._head_started:
            self._head_started = True
            self._start_head_timer(lambda: self._get_limits().head_timeout_ms)

    @property
    def _is_awaiting_head(self) -> bool:
        """Return whether the connection waits for a request head or has received part of one."""
        if self._messages or self._request_in_progress:
            return False
        if self._request_count == 0:
            return True
        return self._waiter is not None and not self._waiter.done()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer of the connection."""
        self.stop_head_timer()
        self._end_discarding()
        super().connection_lost(exc)

    def stop_head_timer(self) -> None:
        """Cancel the head timeout after a complete head, or when the connection ends."""
        self._head_started = False
        self._answered = False
        if self._head_timer is not None:
            self._head_timer.stop()
            self._head_timer = None

    def _start_head_timer(self, get_limit_ms: Callable[[], int]) -> None:
        if self._head_timer is not None:
            self._head_timer.stop()
        self._head_timer = LimitTimer(get_limit_ms=get_limit_ms, on_end=self.force_close)
        self._head_timer.start()

    def _update_parser(self) -> None:
        """Parse the next head within the newest limit, which the parser can't change."""
        max_bytes = self._get_limits().max_bytes
        if max_bytes == self.max_line_size:
            return
        self.max_line_size = self.max_field_size = max_bytes
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=max_bytes,
            max_field_size=max_bytes,
            max_headers=MAX_HEADERS,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=self._max_msg_queue_size,
        )

    def close_now(self) -> None:
        """Close the connection; `close` of the HTTP library leaves an idle one open."""
        self.close()
        if self.transport is not None:
            self.transport.close()

    def cut(self) -> None:
        """End the connection; reset it unless its answers are sent, so that none looks complete."""
        unused = self.state in (ConnectionState.OPENED, ConnectionState.IDLE)
        if unused or (self._discarding and not self.unsent_bytes):
            self.close_now()
            return
        self.was_cut = True
        abort_connection(self.transport)

    def close_after_answer(self) -> None:
        """Close the connection after the next answer, or after those to requests behind it."""
        self._closes_after_answer = True

    def limit_body(self, scope: asyncio.Timeout | None) -> None:
        """Set the time limit that bounds the reading of the present body; None after it."""
        self._body_scope = scope

    def refuse_arriving(self) -> None:
        """Refuse the request that is arriving: a body at once, half a head by a response."""
        match self.state:
            case ConnectionState.BODY if self._body_scope is not None and not self.refused:
                self.refused = True
                self._body_scope.reschedule(asyncio.get_running_loop().time())
            case ConnectionState.HEAD if self.transport is not None:
                self.transport.write(render_stopping(request_id=self._generate_request_id()))
                self.close()
                if not self._begin_discarding():
                    self.close_now()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the response; while the process stops, it announces the end of the connection."""
        # A response whose head is sent can announce nothing; its connection serves another request.
        if self._closes_after_answer and not self._messages and not resp.prepared:
            resp.force_close()
        result = await super().finish_response(request, resp, start_time)
        self._answered = True
        if not resp.keep_alive and request.content.is_eof():
            await self._async_discard()
        return result

    async def _async_discard(self) -> None:
        """Send the end of the connection, and discard what arrives until its caller closes it."""
        if self._begin_discarding() and self._discarding is not None:
            await self._discarding

    def _begin_discarding(self) -> bool:
        """Send the end of the connection; return False if only closing it does that."""
        transport = self.transport
        if transport is None or transport.is_closing() or not transport.can_write_eof():
            return False
        loop = asyncio.get_running_loop()
        self._discarding = loop.create_future()
        transport.write_eof()
        self._discard_timer = loop.call_later(DISCARD_MS / MS_PER_S, self._end_discarding)
        return True

    def _end_discarding(self) -> None:
        if self._discarding is None or self._discarding.done():
            return
        if self._discard_timer is not None:
            self._discard_timer.cancel()
        self._discarding.set_result(None)
        if self.transport is not None:
            self.transport.close()

    def _process_keepalive(self) -> None:
        """Close the connection after the idle timeout, unless a part of a head has arrived."""
        self._keepalive_handle = None
        if self.state is ConnectionState.HEAD:
            return
        loop = asyncio.get_running_loop()
        grown_ms = self._get_limits().idle_timeout_ms - self._opened_idle_timeout_ms
        ends_s = self._next_keepalive_close_time + grown_ms / MS_PER_S
        if loop.time() < ends_s:
            self._keepalive_handle = loop.call_at(ends_s, self._process_keepalive)
            return
        super()._process_keepalive()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to invalid HTTP or to an exception in the request handler."""
        self.stop_head_timer()
        request_id = self._generate_request_id()
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


def abort_connection(transport: asyncio.Transport | None) -> None:
    """Reset a connection, so that a truncated answer cannot look complete to the caller."""
    if transport is None:
        return
    # After a close, the file descriptor may have been reused by another connection.
    connection = None if transport.is_closing() else transport.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        except OSError:
            pass
    transport.abort()


def render_stopping(*, request_id: str) -> bytes:
    """Return the whole HTTP response to a request of which only a part of the head has arrived."""
    body = render_error(rejection=reject(Reason.LEAVING), request_id=request_id)
    head = (
        f"HTTP/1.1 {HTTPStatus.SERVICE_UNAVAILABLE.value} Service Unavailable",
        f"Content-Type: {CONTENT_TYPE_JSON}",
        f"Content-Length: {len(body)}",
        "Retry-After: 1",
        "Connection: close",
    )
    return "\r\n".join((*head, "", "")).encode() + body


def _reject_http(status: int, exc: BaseException | None) -> Rejection:
    if status >= 500:
        failure = Failed(reason=Reason.STOPPED, message="The router failed on this request")
        return Rejection(failure=failure, status=status)
    if isinstance(exc, http_exceptions.LineTooLong):
        return reject_head_size()
    return reject_field("head", "The request is not valid HTTP", status=status)
