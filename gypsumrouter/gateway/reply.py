"""The answer to one caller: buffered while it can still be retried, then written as received."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from gypsumrouter.callers import (
    WRITE_BUFFER_BYTES,
    MemoryReservation,
    abort_connection,
    render_error_event,
)
from gypsumrouter.const import HEADER_PLACEMENT, HEADER_REPLAYED, HEADER_REQUEST_ID
from gypsumrouter.gateway.const import (
    CONTENT_TYPE_EVENTS,
    EXCLUDED_HEADERS,
    MAX_BUFFER_BYTES,
    ROUTER_HEADER_PREFIX,
)
from gypsumrouter.gateway.events import EventBuffer
from gypsumrouter.gateway.request_monitor import MonitoredRequest
from gypsumrouter.helpers.numbers import read_number
from gypsumrouter.link.models import Head
from gypsumrouter.outcomes import Failure
from gypsumrouter.util.clock import Clock

STATUS_MIN: Final = 200
STATUS_MAX: Final = 599
BODILESS_STATUSES: Final = frozenset({204, 304})
METHOD_HEAD: Final = "HEAD"
TRANSFER_ENCODING: Final = "Transfer-Encoding"
CHUNKED: Final = "chunked"
# Hexadecimal length and two line ends of a chunk.
CHUNK_OVERHEAD_BYTES: Final = 20


class CallerDisconnected(ConnectionError):
    """The caller closed the connection while the answer was being written."""


class Reply:
    """Writes one answer to its caller.

    Nothing is sent to the caller before `sent` is true. A streamed answer is sent from its first
    part on, any other one when it is complete or exceeds the buffer.
    """

    __slots__ = (
        "_can_write_directly",
        "_chunked",
        "_clock",
        "_event_buffer",
        "_head",
        "_memory",
        "_monitored",
        "_parts",
        "_placement_hint",
        "_request",
        "_request_id",
        "_response",
        "_streamed",
        "closes_connection",
        "first_data_ms",
        "status",
    )

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        request_id: str,
        monitored: MonitoredRequest,
        reservation: MemoryReservation,
        clock: Clock,
        closes_connection: bool,
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._monitored = monitored
        self._memory = reservation
        self._clock = clock
        self._event_buffer: EventBuffer | None = None
        self._head: Head | None = None
        self._placement_hint = ""
        self._parts: list[bytes] = []
        self._response: web.StreamResponse | None = None
        self._streamed = False
        self._chunked = False
        self._can_write_directly = False
        self.closes_connection = closes_connection
        self.first_data_ms: int | None = None
        self.status = 0

    @property
    def sent(self) -> bool:
        """Return whether any part of the answer may have reached the caller."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """Return the response object if the answer has been started."""
        return self._response

    @property
    def inside_event(self) -> bool:
        """Return whether an event of the answer has begun and is incomplete."""
        return self._event_buffer is not None and self._event_buffer.inside_event

    @property
    def replayed(self) -> bool:
        """Return whether the instance replayed a stored answer to an idempotency key."""
        return self._head is not None and self._head.replayed

    def start(self, *, head: Head, hint: str, buffers_events: bool) -> bool:
        """Start an answer with its head; return False if the head is invalid or not the first.

        With `buffers_events`, only complete server-sent events are sent, so that an interrupted
        stream can be ended by an error event.
        """
        if not STATUS_MIN <= head.status <= STATUS_MAX or self._head is not None:
            return False
        self._head = head
        self._placement_hint = hint
        self.status = head.status
        self._streamed = _is_event_stream(head.headers)
        self._event_buffer = EventBuffer() if self._streamed and buffers_events else None
        return True

    def discard(self) -> None:
        """Discard a buffered answer before a retry."""
        self._head = None
        self.status = 0
        self._parts.clear()
        self._memory.release()
        self.first_data_ms = None

    async def async_write(self, body: bytes) -> None:
        """Buffer or send a part of the body; wait until the connection accepts more data."""
        if self.first_data_ms is None:
            self.first_data_ms = self._clock.now_ms()
        if self._response is None and not self._streamed and self._buffer(body):
            return
        if self._event_buffer is not None:
            body = self._event_buffer.feed(body)
        if self._response is None:
            await self._async_send_buffered()
        await self._async_write(body)

    def write_nowait(self, body: bytes) -> bool:
        """Send a part of the body without waiting; return False if it needs `async_write`.

        Writes the chunk to the transport directly: the overhead of the HTTP library would be the
        largest cost of a token. A part that could fill the buffer of the connection is left to
        `async_write`, which waits for the caller.
        """
        if not self._can_write_directly or not body:
            return False
        if self._event_buffer is not None and not self._event_buffer.is_complete(body):
            return False
        transport = self._request.transport
        if transport is None or transport.is_closing() or self._request.protocol.writing_paused:
            return False
        size = len(body)
        if transport.get_write_buffer_size() + size + CHUNK_OVERHEAD_BYTES > WRITE_BUFFER_BYTES:
            return False
        transport.write(b"%x\r\n%b\r\n" % (size, body))
        return True

    async def async_finish(self) -> None:
        """Finish a complete answer."""
        if self._response is None:
            await self._async_send_complete()
            return
        await self._async_end(self._response)

    async def async_fail(self, failure: Failure) -> None:
        """End a started answer with an error event if possible, else reset the connection."""
        response = self._response
        if response is None:
            return
        if not self._can_send_event():
            self.abort()
            return
        await self._async_write(render_error_event(failure=failure, request_id=self._request_id))
        await self._async_end(response)

    def _can_send_event(self) -> bool:
        if self._event_buffer is None or self._event_buffer.partly_returned:
            return False
        return self._monitored.blocked_since_ms is None

    def abort(self) -> None:
        """Reset the caller's connection."""
        abort_connection(self._request.transport)

    def _buffer(self, body: bytes) -> bool:
        if self._memory.size + len(body) > MAX_BUFFER_BYTES or not self._memory.reserve(len(body)):
            return False
        self._parts.append(body)
        return True

    async def _async_send_complete(self) -> None:
        headers = self._make_headers()
        has_body = self._request.method != METHOD_HEAD and self.status not in BODILESS_STATUSES
        body = b"".join(self._parts) if has_body else None
        response = web.Response(status=self.status, headers=headers, body=body)
        if self._request.method == METHOD_HEAD:
            _copy_content_length(self._head, response)
        await self._async_prepare(response)
        await self._async_end(response)

    async def _async_send_buffered(self) -> None:
        response = web.StreamResponse(status=self.status, headers=self._make_headers())
        await self._async_prepare(response)
        buffered = b"".join(self._parts)
        self._parts.clear()
        self._memory.release()
        await self._async_write(buffered)

    async def _async_prepare(self, response: web.StreamResponse) -> None:
        if self.closes_connection:
            response.force_close()
        self._response = response
        try:
            await response.prepare(self._request)
        except ConnectionError:
            raise CallerDisconnected from None
        self._chunked = response.headers.get(TRANSFER_ENCODING) == CHUNKED

    async def _async_write(self, body: bytes) -> None:
        response = self._response
        if response is None or not body:
            return
        self._monitored.start_write(self._clock.now_ms())
        try:
            await response.write(body)
        except ConnectionError:
            raise CallerDisconnected from None
        self._monitored.finish_write()
        self._can_write_directly = self._chunked

    async def _async_end(self, response: web.StreamResponse) -> None:
        self._monitored.start_write(self._clock.now_ms())
        try:
            await response.write_eof()
        except ConnectionError:
            raise CallerDisconnected from None
        self._monitored.finish_write()

    def _make_headers(self) -> CIMultiDict[str]:
        headers: CIMultiDict[str] = CIMultiDict()
        head = self._head
        for name, value in head.headers if head is not None else ():
            if _is_forwarded(name):
                headers.add(name, value)
        headers[HEADER_REQUEST_ID] = self._request_id
        if self._placement_hint:
            headers[HEADER_PLACEMENT] = self._placement_hint
        if self.replayed:
            headers[HEADER_REPLAYED] = "true"
        return headers


def _is_forwarded(name: str) -> bool:
    lower = name.lower()
    return lower not in EXCLUDED_HEADERS and not lower.startswith(ROUTER_HEADER_PREFIX)


def _is_event_stream(headers: Iterable[tuple[str, str]]) -> bool:
    return any(
        name.lower() == "content-type" and value.lower().startswith(CONTENT_TYPE_EVENTS)
        for name, value in headers
    )


def _copy_content_length(head: Head | None, response: web.Response) -> None:
    for name, value in head.headers if head is not None else ():
        if name.lower() == "content-length" and read_number(value) is not None:
            response.headers["Content-Length"] = value
