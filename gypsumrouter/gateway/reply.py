"""The answer to one caller: held back while it can still be retried, then written as it comes."""

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
    DROPPED_HEADERS,
    MAX_HELD_ANSWER_BYTES,
    OWN_HEADER_PREFIX,
)
from gypsumrouter.gateway.events import EventCutter
from gypsumrouter.gateway.watch import Watched
from gypsumrouter.link.models import Head
from gypsumrouter.outcomes import Failure
from gypsumrouter.util.clock import Clock

STATUS_MIN: Final = 200
STATUS_MAX: Final = 599
BODILESS_STATUSES: Final = frozenset({204, 304})
METHOD_HEAD: Final = "HEAD"
TRANSFER_ENCODING: Final = "Transfer-Encoding"
CHUNKED: Final = "chunked"
# Length in hexadecimal and two line ends.
CHUNK_OVERHEAD_BYTES: Final = 20


class CallerGone(ConnectionError):
    """The caller closed its connection while its answer was written."""


class Reply:
    """Writes one answer to its caller.

    Nothing reaches the caller before `sent` is true. A streamed answer is sent from its first
    bytes on, any other one when it is whole or when it outgrows what is held back.
    """

    __slots__ = (
        "_chunked",
        "_clock",
        "_cutter",
        "_head",
        "_held",
        "_hint",
        "_parts",
        "_request",
        "_request_id",
        "_response",
        "_streamed",
        "_takes_now",
        "_watched",
        "closes",
        "first_data_ms",
        "status",
    )

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        request_id: str,
        watched: Watched,
        reservation: MemoryReservation,
        clock: Clock,
        closes: bool,
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._watched = watched
        self._held = reservation
        self._clock = clock
        self._cutter: EventCutter | None = None
        self._head: Head | None = None
        self._hint = ""
        self._parts: list[bytes] = []
        self._response: web.StreamResponse | None = None
        self._streamed = False
        self._chunked = False
        self._takes_now = False
        self.closes = closes
        self.first_data_ms: int | None = None
        self.status = 0

    @property
    def sent(self) -> bool:
        """Return whether the caller may have got anything of the answer."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """Return the answer that was begun, for the HTTP library."""
        return self._response

    @property
    def replayed(self) -> bool:
        """Return whether the answer comes from a side's memory."""
        return self._head is not None and self._head.replayed

    def begin(self, *, head: Head, hint: str, cuts_events: bool) -> bool:
        """Take the head of an answer; returns False where it cannot be one.

        With `cuts_events` a stream of events that breaks off is ended by an error event.
        """
        if not STATUS_MIN <= head.status <= STATUS_MAX or self._head is not None:
            return False
        self._head = head
        self._hint = hint
        self.status = head.status
        self._streamed = _is_event_stream(head.headers)
        self._cutter = EventCutter() if self._streamed and cuts_events else None
        return True

    def discard(self) -> None:
        """Forget an answer of which nothing was sent, before another try."""
        self._head = None
        self.status = 0
        self._parts.clear()
        self._held.release()
        self.first_data_ms = None

    async def async_take(self, body: bytes) -> None:
        """Take a part of the body; returns when the caller has room for more."""
        if self.first_data_ms is None:
            self.first_data_ms = self._clock.now_ms()
        if self._response is None and not self._streamed and self._hold(body):
            return
        if self._cutter is not None:
            body = self._cutter.cut(body)
        if self._response is None:
            await self._async_send_held()
        await self._async_write(body)

    def take_now(self, body: bytes) -> bool:
        """Take a part of the body without waiting; returns False where that takes `async_take`.

        The chunk is written as the HTTP library would once the head is out, but without its
        layers, which cost more than all else that a token takes. A part that could fill the
        connection's buffer is left to `async_take`, which waits for the caller.
        """
        if not self._takes_now or not body:
            return False
        if self._cutter is not None and not self._cutter.is_whole(body):
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
        """End a whole answer."""
        if self._response is None:
            await self._async_send_whole()
            return
        if self._cutter is not None:
            await self._async_write(self._cutter.flush())
        await self._async_end(self._response)

    async def async_break(self, failure: Failure) -> None:
        """End an answer that was begun and cannot be finished, so that the caller notices."""
        response = self._response
        if response is None:
            return
        if self._cutter is None or self._watched.blocked_since_ms is not None:
            self.abort()
            return
        await self._async_write(render_error_event(failure=failure, request_id=self._request_id))
        await self._async_end(response)

    def abort(self) -> None:
        """Reset the caller's connection."""
        abort_connection(self._request.transport)

    def _hold(self, body: bytes) -> bool:
        if self._held.size + len(body) > MAX_HELD_ANSWER_BYTES or not self._held.reserve(len(body)):
            return False
        self._parts.append(body)
        return True

    async def _async_send_whole(self) -> None:
        headers = self._make_headers()
        has_body = self._request.method != METHOD_HEAD and self.status not in BODILESS_STATUSES
        body = b"".join(self._parts) if has_body else None
        response = web.Response(status=self.status, headers=headers, body=body)
        if self._request.method == METHOD_HEAD:
            _copy_length(self._head, response)
        await self._async_prepare(response)
        await self._async_end(response)

    async def _async_send_held(self) -> None:
        response = web.StreamResponse(status=self.status, headers=self._make_headers())
        await self._async_prepare(response)
        held = b"".join(self._parts)
        self._parts.clear()
        self._held.release()
        await self._async_write(held)

    async def _async_prepare(self, response: web.StreamResponse) -> None:
        if self.closes:
            response.force_close()
        self._response = response
        try:
            await response.prepare(self._request)
        except ConnectionError:
            raise CallerGone from None
        self._chunked = response.headers.get(TRANSFER_ENCODING) == CHUNKED

    async def _async_write(self, body: bytes) -> None:
        response = self._response
        if response is None or not body:
            return
        self._watched.block(self._clock.now_ms())
        try:
            await response.write(body)
            if self._request.protocol.writing_paused:
                await self._request.writer.drain()
        except ConnectionError:
            raise CallerGone from None
        self._watched.unblock()
        self._takes_now = self._chunked

    async def _async_end(self, response: web.StreamResponse) -> None:
        self._watched.block(self._clock.now_ms())
        try:
            await response.write_eof()
        except ConnectionError:
            raise CallerGone from None
        self._watched.unblock()

    def _make_headers(self) -> CIMultiDict[str]:
        headers: CIMultiDict[str] = CIMultiDict()
        head = self._head
        for name, value in head.headers if head is not None else ():
            if _is_passed(name):
                headers.add(name, value)
        headers[HEADER_REQUEST_ID] = self._request_id
        if self._hint:
            headers[HEADER_PLACEMENT] = self._hint
        if self.replayed:
            headers[HEADER_REPLAYED] = "true"
        return headers


def _is_passed(name: str) -> bool:
    lower = name.lower()
    return lower not in DROPPED_HEADERS and not lower.startswith(OWN_HEADER_PREFIX)


def _is_event_stream(headers: Iterable[tuple[str, str]]) -> bool:
    return any(
        name.lower() == "content-type" and value.lower().startswith(CONTENT_TYPE_EVENTS)
        for name, value in headers
    )


def _copy_length(head: Head | None, response: web.Response) -> None:
    for name, value in head.headers if head is not None else ():
        if name.lower() == "content-length" and value.isdecimal():
            response.headers["Content-Length"] = value
