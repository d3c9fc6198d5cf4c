"""One connection of a caller: what it is doing, its limits, and how it ends."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import StrEnum
from itertools import islice
from typing import Any, Final

from aiohttp import HttpVersion, HttpVersion11, hdrs, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import StreamReader

from gypsumrouter.callers.const import MAX_HEADERS, WRITE_BUFFER_BYTES
from gypsumrouter.callers.errors import make_error_response, reject_http, render_stopping
from gypsumrouter.callers.limit_timer import LimitTimer
from gypsumrouter.callers.lingering_close import LingeringClose, begin_lingering_close
from gypsumrouter.callers.models import BrokenAnswer, GetLimits, OnBroken, RequestIdGenerator
from gypsumrouter.callers.next_head import NextHead
from gypsumrouter.callers.transports import (
    ResetOnClose,
    abort_connection,
    count_untaken_bytes,
    grow_send_buffer,
    has_unread_bytes,
    has_untaken_bytes,
)
from gypsumrouter.callers.writer import CallerWriter
from gypsumrouter.const import MS_PER_S
from gypsumrouter.helpers.http_headers import is_writable

_LOGGER = logging.getLogger(__name__)

# A connection that has opened so recently is expected to bring a request. The kernel accepts it
# before the bytes of the request arrive.
OPENED_MS: Final = 250


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
        "_generate_request_id",
        "_get_limits",
        "_head_started",
        "_head_timer",
        "_lingering",
        "_next_head",
        "_next_head_started",
        "_on_broken",
        "_opened_idle_timeout_ms",
        "_opened_s",
        "_reset_on_close",
        "refused",
        "request_id",
        "upstream",
        "was_cut",
    )

    def __init__(
        self,
        server: web.Server,
        *,
        get_limits: GetLimits,
        generate_request_id: RequestIdGenerator,
        on_broken: OnBroken,
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
        self._request_factory = self._make_request
        self._generate_request_id = generate_request_id
        self._get_limits = get_limits
        self._on_broken = on_broken
        # The HTTP library counts with this one for as long as the connection is open.
        self._opened_idle_timeout_ms = limits.idle_timeout_ms
        self._head_started = False
        self._next_head = NextHead()
        # Whether a part of the next request has arrived behind the one that is answered now.
        self._next_head_started = False
        self._head_timer: LimitTimer | None = None
        self._opened_s = asyncio.get_running_loop().time()
        self._closes_after_answer = False
        # Whether the latest request is answered, though its body may not have arrived whole.
        self._answered = False
        self._body_scope: asyncio.Timeout | None = None
        # Set once the connection has sent its end.
        self._lingering: LingeringClose | None = None
        # Set from the head of an answer on that only the end of the connection ends.
        self._reset_on_close: ResetOnClose | None = None
        # Id of the latest request, as its caller sent it.
        self.request_id = ""
        # Name of the upstream whose answer is written, "" if there is none.
        self.upstream = ""
        # Whether the request that is arriving is refused since the process stops.
        self.refused = False
        # Whether this process has ended it with a request under way.
        self.was_cut = False

    @property
    def state(self) -> ConnectionState:
        """Return what the connection is doing."""
        if self._lingering is not None:
            return ConnectionState.DISCARDING
        if self._request_in_progress or self._messages:
            request = self._current_request
            arriving = request is not None and not request.content.is_eof()
            return ConnectionState.BODY if arriving else ConnectionState.ANSWERING
        if self._is_awaiting_head:
            if self._head_started or has_unread_bytes(self.transport):
                return ConnectionState.HEAD
            return ConnectionState.OPENED if self._has_just_opened else ConnectionState.IDLE
        return ConnectionState.DISCARDING if self._answered else ConnectionState.ANSWERING

    @property
    def has_queued_request(self) -> bool:
        """Return whether the head of another request has arrived behind the one under way."""
        return bool(self._messages)

    @property
    def _is_awaiting_head(self) -> bool:
        """Return whether the connection waits for a request head or has received part of one."""
        if self._messages or self._request_in_progress:
            return False
        if self._request_count == 0:
            return True
        return self._waiter is not None and not self._waiter.done()

    @property
    def _has_just_opened(self) -> bool:
        age_s = asyncio.get_running_loop().time() - self._opened_s
        return self._request_count == 0 and age_s < OPENED_MS / MS_PER_S

    @property
    def unsent_bytes(self) -> int:
        """Return the size of what was written and has not been passed to the kernel."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def untaken_bytes(self) -> int:
        """Return the size of what was written and has not arrived at the caller's host."""
        return count_untaken_bytes(self.transport)

    def pass_to_kernel(self) -> None:
        """Let the kernel take what was written; it sends that when the process has ended."""
        if self.unsent_bytes:
            grow_send_buffer(self.transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the write buffer limit and start the timeout for the first byte."""
        super().connection_made(transport)
        # Not asked for by type: uvloop's transports are not subclasses of asyncio.WriteTransport.
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._start_head_timer(lambda: self._get_limits().first_byte_timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Start the head timeout at the first byte of a request head."""
        if self._lingering is not None:
            return
        if self._is_awaiting_head and not self._head_started:
            self._update_parser()
        queued = len(self._messages)
        self._next_head.begin_read()
        super().data_received(data)
        added = tuple(islice(self._messages, queued, None))
        is_inside_head = self._next_head.end_read(data, added)
        if self._is_awaiting_head and not self._head_started:
            self._start_head()
        elif data:
            # The HTTP library calls this without data to parse what it has kept.
            self._next_head_started = is_inside_head

    def resume_writing(self) -> None:
        """Go on writing; a whole answer that is sent ends its connection regularly."""
        super().resume_writing()
        if self._reset_on_close is not None:
            self._reset_on_close.note_drained()

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Return a request whose answer is written by a `CallerWriter`."""
        # Its handler begins only a turn of the event loop later.
        self._answered = False
        writer = self._make_writer(message.version)
        return web.BaseRequest(message, payload, protocol, writer, task, self._loop)

    def _make_writer(self, version: HttpVersion) -> CallerWriter:
        return CallerWriter(
            self,
            self._loop,
            version=version,
            on_unframed=self._begin_unframed,
            on_unframed_end=self._end_unframed,
        )

    def _begin_unframed(self) -> None:
        """Let the kernel reset the connection if it ends before the answer does."""
        if self.transport is not None and not self.transport.is_closing():
            self._reset_on_close = ResetOnClose(transport=self.transport)

    def _end_unframed(self) -> None:
        if self._reset_on_close is not None:
            self._reset_on_close.end()

    def _start_head(self) -> None:
        """Start the timeout of a head of which a part has arrived."""
        self._head_started = True
        self._next_head_started = False
        self._start_head_timer(lambda: self._get_limits().head_timeout_ms)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer of the connection."""
        self.stop_head_timer()
        if self._lingering is not None:
            self._lingering.end()
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
        self._head_timer = LimitTimer(get_limit_ms=get_limit_ms, on_end=self.close_idle)
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

    def close_idle(self) -> None:
        """Close a connection on which no request arrives, once its caller has its last answer."""
        if has_untaken_bytes(self.transport):
            if self._lingering is not None:
                return
            self.close()
            if self._begin_lingering_close() is not None:
                return
        self.close_now()

    def cut(self) -> None:
        """End the connection; reset it unless its answers are sent, so that none looks complete."""
        unused = self.state in (ConnectionState.OPENED, ConnectionState.IDLE)
        if unused or (self._lingering is not None and not self.unsent_bytes):
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
                if self._begin_lingering_close() is None:
                    self.close_now()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the response; while the process stops, it announces the end of the connection."""
        # A response whose head is sent can announce nothing; its connection serves another request.
        if self._closes_after_answer and not self._messages and not resp.prepared:
            resp.force_close()
        writer = request.writer
        if isinstance(writer, CallerWriter) and writer.output_size and not resp.prepared:
            # The handler raised behind the first byte of an answer: a second head would be read as
            # a part of that, or as the answer to the next request.
            resp.force_close()
            if not writer.has_ended:
                abort_connection(self.transport)
                return resp, True
            result = resp, False
        else:
            try:
                result = await super().finish_response(request, resp, start_time)
            except Exception as error:
                resp, _ = result = await self._async_answer_broken(request, resp, error)
        if request.version < HttpVersion11 and hdrs.CONNECTION not in resp.headers:
            # The HTTP library keeps the connection of an answer that only its close ends.
            resp.force_close()
        self._answered = True
        if self._next_head_started and not self._messages and resp.keep_alive:
            self._start_head()
        if not resp.keep_alive and request.content.is_eof():
            lingering = self._begin_lingering_close()
            if lingering is not None:
                await lingering.async_wait()
        return result

    async def _async_answer_broken(
        self, request: web.BaseRequest, resp: web.StreamResponse, error: Exception
    ) -> tuple[web.StreamResponse, bool]:
        """Answer with an error in place of an answer that could not be written, or reset that."""
        bytes_out = request.writer.output_size
        request_id = self.request_id
        if not request_id or not is_writable(request_id):
            request_id = self._generate_request_id()
        _log_error(request_id, status=500, cause=error)
        self._on_broken(
            BrokenAnswer(
                request_id=request_id,
                upstream=self.upstream,
                reason=f"error: {type(error).__name__}",
                status=resp.status if bytes_out else 0,
                bytes_out=bytes_out,
            )
        )
        if not bytes_out:
            rejection = reject_http(500, None)
            replacement = make_error_response(rejection=rejection, request_id=request_id)
            replacement.force_close()
            request._payload_writer = self._make_writer(request.version)
            try:
                return await super().finish_response(request, replacement, None)
            except Exception as second:
                _log_error(request_id, status=500, cause=second)
        resp.force_close()
        abort_connection(self.transport)
        return resp, True

    def _begin_lingering_close(self) -> LingeringClose | None:
        """Send the end of the connection; return None if only closing it does that."""
        lingering = begin_lingering_close(self.transport)
        if lingering is not None:
            self._lingering = lingering
        return lingering

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
        if self._waiter is not None and not self._waiter.done():
            self.close_idle()

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
        _log_error(request_id, status=status, cause=exc or message)
        rejection = reject_http(status, exc)
        response = make_error_response(rejection=rejection, request_id=request_id)
        response.force_close()
        return response


def _log_error(request_id: str, *, status: int, cause: BaseException | str | None) -> None:
    if status < 500:
        _LOGGER.debug(
            "Request %s is invalid HTTP (%s); responding with an error and closing",
            request_id,
            cause,
        )
        return
    _LOGGER.error(
        "Request %s failed with an unexpected exception; responding with an error",
        request_id,
        exc_info=cause if isinstance(cause, BaseException) else None,
    )
