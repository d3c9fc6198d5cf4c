"""HTTP/1.1 client connection that carries one exchange at a time.

Parsing is done by aiohttp. This module tracks what was sent, which request a response belongs to,
and whether the connection can be reused. The client of aiohttp is not used because it retries some
requests by itself and parses surplus bytes of one response as the start of the next.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from enum import StrEnum
from typing import Final

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser
from aiohttp.streams import StreamReader

from gypsumrouter.const import MS_PER_S
from gypsumrouter.helpers.http_response import (
    ConnectionBroken,
    HttpResponse,
    ResponseBounds,
    is_valid_status,
)
from gypsumrouter.helpers.listening import USER_TIMEOUT_MS, set_keepalive_options, set_user_timeout
from gypsumrouter.helpers.socket_state import WatchedProtocol
from gypsumrouter.instances import Address

# Size of the parts in which received bytes are parsed; other work of the event loop goes between.
PARSED_BYTES: Final = 16 * 1024
READ_BUFFER_BYTES: Final = 64 * 1024
MAX_HEAD_BYTES: Final = 32 * 1024
# The first receive window of a peer; a larger request may have to wait until the peer reads. The
# kernel's timeout for unacknowledged data also ends that wait, though the peer acknowledges probes.
FIRST_WINDOW_BYTES: Final = 64 * 1024
NO_USER_TIMEOUT: Final = 0
METHOD_HEAD: Final = "HEAD"
# A body without a length ends when the connection is closed. An upstream that crashes also closes
# its connection and resets it shortly after; only the reset shows that the body is incomplete.
RESET_WAIT_MS: Final = 10
CLOSED_BY_PEER: Final = "closed by the peer"
STATUS_CONTINUE: Final = 100
STATUS_SUCCESS: Final = 200


class ConnectFailed(Exception):
    """The connection could not be established, so nothing was sent.

    `refused` is set if the host refused the connection because nothing listens on the port,
    `silent` if there is a connection and the peer did not answer a question on it in time,
    `other_start` if the peer stated another start or id than the upstream, `dropped` if it closed
    or reset a connection that it had accepted, `unnamed` if its answer does not say who it is.
    """

    def __init__(
        self,
        message: str,
        *,
        refused: bool = False,
        silent: bool = False,
        other_start: bool = False,
        dropped: bool = False,
        unnamed: bool = False,
    ) -> None:
        super().__init__(message)
        self.unnamed = unnamed
        self.other_start = other_start
        self.dropped = dropped
        self.refused = refused
        self.silent = silent


class StartSource(StrEnum):
    """How it is known which start of a process a connection leads to.

    ENTRY: not known, but taken from its entry in the list. LIST: the list still showed it when an
    ended start would have been removed. CONNECTION: no end had come of another connection whose
    start was known; a proxy may keep that open behind the end of its process. ANSWER: the process
    itself stated it on this connection.
    """

    UNKNOWN = ""
    ENTRY = "entry"
    LIST = "list"
    CONNECTION = "connection"
    ANSWER = "answer"


class HttpConnection(WatchedProtocol):
    """One connection; after `send_request`, `async_read_response` returns the response."""

    __slots__ = (
        "_bodiless",
        "_body",
        "_bounds",
        "_broken",
        "_ends_with_close",
        "_expects_close",
        "_parse_handle",
        "_parsing",
        "_responses",
        "_unparsed",
        "_user_timeout_ms",
        "_waiter",
        "_was_reset",
        "address",
        "ended_by_peer",
        "exchanges",
        "idle_since_ms",
        "keep_alive_ms",
        "lost_unexpectedly",
        "opened_ms",
        "peer_started_ms",
        "start_source",
    )

    def __init__(self, *, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        super().__init__(loop)
        self.address = address
        self.exchanges = 0
        # When it was open at the latest (monotonic milliseconds), set by who opened it.
        self.opened_ms = 0
        self.idle_since_ms = 0
        # Idle timeout that the peer announced in its Keep-Alive header, if any.
        self.keep_alive_ms: int | None = None
        # Whether the peer closed or reset it without having announced that.
        self.lost_unexpectedly = False
        # Whether the peer ended it before this process did, set by who opened it.
        self.ended_by_peer = False
        # When the process at the other end started, None if unknown, and how that is known.
        self.peer_started_ms: int | None = None
        self.start_source = StartSource.UNKNOWN
        self._responses: deque[HttpResponse] = deque()
        self._body: StreamReader | None = None
        self._bodiless = False
        self._bounds = ResponseBounds()
        self._unparsed = b""
        self._parse_handle: asyncio.Handle | None = None
        self._expects_close = False
        self._broken: str | None = None
        # Whether the peer has ended the connection, and a body with it.
        self._ends_with_close = False
        self._was_reset = False
        self._parsing = False
        self._waiter: asyncio.Future[None] | None = None
        self._user_timeout_ms = USER_TIMEOUT_MS

    @property
    def open(self) -> bool:
        """Return whether the connection is open."""
        return self._broken is None

    @property
    def was_reset(self) -> bool:
        """Return whether the peer has reset the connection, until this process closes it.

        A reset may come behind the end of a body that ends with the connection.
        """
        transport = self.transport
        if not self._was_reset and transport is not None and not transport.is_closing():
            # Reading the error clears it. The loop reports no error behind the end.
            connection = transport.get_extra_info("socket")
            self._was_reset = bool(connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        return self._was_reset

    @property
    def reusable(self) -> bool:
        """Return whether the last exchange is complete and the connection is open and clean.

        One whose peer has announced its end isn't.
        """
        return (
            self._broken is None
            and not self._expects_close
            and self.transport is not None
            and not self.transport.is_closing()
            and not self._responses
            and not self._unparsed
            and (self._body is None or self._body.is_eof())
            and self.transport.get_write_buffer_size() == 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the keepalive options of the socket, so that the kernel detects dead peers."""
        super().connection_made(transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            set_keepalive_options(connection)

    def send_request(self, *, method: str, data: bytes) -> None:
        """Write a complete request; raises ConnectionBroken if the connection is closed."""
        transport = self.transport
        if self._broken is not None or transport is None or transport.is_closing():
            raise ConnectionBroken(self._broken or "the connection is closed")
        self.exchanges += 1
        self._bodiless = method == METHOD_HEAD
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            response_with_body=not self._bodiless,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._parsing = True
        self._bounds = ResponseBounds()
        self._body = None
        self._limit_unacknowledged(transport, size=len(data))
        transport.write(data)

    def _limit_unacknowledged(self, transport: asyncio.BaseTransport, *, size: int) -> None:
        """Let the kernel end the connection to a peer that acknowledges nothing of a request."""
        timeout_ms = NO_USER_TIMEOUT if size > FIRST_WINDOW_BYTES else USER_TIMEOUT_MS
        if timeout_ms == self._user_timeout_ms:
            return
        self._user_timeout_ms = timeout_ms
        connection = transport.get_extra_info("socket")
        if connection is not None:
            set_user_timeout(connection, timeout_ms)

    async def async_read_response(self) -> HttpResponse:
        """Return the next final response, skipping interim ones; raises ConnectionBroken."""
        while True:
            if self._responses:
                return self._responses.popleft()
            if self._broken is not None:
                raise ConnectionBroken(self._broken)
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    def finish(self) -> None:
        """End an exchange after its response was read completely."""
        self._parsing = False
        self._parser = None
        if not self.open:
            self.close()

    def close(self) -> None:
        """Abort the connection."""
        self._expects_close = True
        self._mark_broken("closed")
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes outside an exchange invalidate the connection."""
        if data:
            self._unparsed += data
            if self.on_part is not None:
                self.on_part()
        elif self._parsing:
            # The reader of the body has made room, and the parser has kept some bytes back.
            self._parse(b"")
        if self._parse_handle is None:
            self._parse_next()

    def _parse_next(self) -> None:
        """Parse the next part of what was received, and leave the others for later."""
        self._parse_handle = None
        if self._reading_paused:
            return
        part, self._unparsed = self._unparsed[:PARSED_BYTES], self._unparsed[PARSED_BYTES:]
        self._parse(part)
        if self._unparsed and self.open:
            self._pause_reading_for_buffer()
            self._parse_handle = self._loop.call_soon(self._parse_next)
        elif self._buffer_paused:
            self._resume_reading_for_buffer()

    def _parse_all(self) -> None:
        """Parse what was received, before the end of the connection is handled."""
        while self._unparsed and self.open and not self._reading_paused:
            self._parse_next()

    def _parse(self, data: bytes) -> None:
        if not self._parsing or self._parser is None:
            if data:
                self._invalidate("bytes that belong to no request")
            return
        in_body = self._body is not None and not self._body.is_eof()
        excess = None if in_body else self._bounds.note_head(len(data))
        if excess is not None:
            self._invalidate(excess)
            return
        try:
            messages, upgraded, tail = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._invalidate(f"no HTTP: {type(error).__name__}")
            return
        except Exception as error:  # the parser raises various errors for a malformed body
            self._invalidate(f"no HTTP: {error!r}")
            return
        for message, body in messages:
            if not is_valid_status(message.code):
                self._invalidate(f"no HTTP: status {message.code}")
                return
            self._expects_close = self._expects_close or message.should_close
            if STATUS_CONTINUE <= message.code < STATUS_SUCCESS:
                excess = excess or self._bounds.note_interim()
                continue
            self._responses.append(
                HttpResponse(message=message, body=body, bodiless=self._bodiless)
            )
            self._body = body
            self._bounds.begin_body()
        if in_body and not messages and self._body is not None:
            excess = self._bounds.note_body(len(data), content_bytes=self._body.total_bytes)
        if upgraded or tail:
            self._invalidate("bytes after the answer")
        elif excess is not None:
            self._invalidate(excess)
        elif messages:
            self._wake()

    def eof_received(self) -> bool:
        """Wait for a possible reset before a body without a length counts as complete."""
        self._note_end()
        if self._ends_with_close:
            # The reader of the body has resumed reading, so that the end was read again.
            return True
        self._parse_all()
        body = self._body
        if body is None or body.is_eof() or not self._parsing:
            return False
        self._ends_with_close = True
        self._loop.call_later(RESET_WAIT_MS / MS_PER_S, self._end_unless_reset)
        return True

    def _end_unless_reset(self) -> None:
        """Complete the body unless a reset followed; a later one can be seen until the close."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self.was_reset:
            self._invalidate("reset after its end")
            return
        if transport.get_write_buffer_size():
            # The peer has not taken the whole request yet.
            self._loop.call_later(RESET_WAIT_MS / MS_PER_S, self._end_unless_reset)
            return
        self._end_body(None)
        self._mark_broken(CLOSED_BY_PEER)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Complete or fail the body that is being read."""
        self._note_end()
        self._parse_all()
        super().connection_lost(None)
        self._was_reset = self._was_reset or exc is not None
        self.lost_unexpectedly = exc is not None or not self._expects_close
        self._end_body(exc)
        self._mark_broken(CLOSED_BY_PEER if exc is None else f"reset: {type(exc).__name__}")

    def _end_body(self, exc: BaseException | None) -> None:
        body = self._body
        if body is None or body.is_eof() or body.exception() is not None:
            return
        if exc is None and self._parser is not None:
            try:
                self._parser.feed_eof()
            except Exception as error:  # the body is shorter than its length
                body.set_exception(ConnectionBroken(f"ended early: {type(error).__name__}"))
                return
            if body.is_eof():
                return
        body.set_exception(ConnectionBroken("broken off"))

    def _invalidate(self, reason: str) -> None:
        body = self._body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(ConnectionBroken(reason))
        self._mark_broken(reason)
        if self.transport is not None:
            self.transport.abort()

    def _mark_broken(self, reason: str) -> None:
        if self._broken is None:
            self._broken = reason
        self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


async def async_connect(*, address: Address, timeout_ms: int) -> HttpConnection:
    """Return a new connection; raises ConnectFailed.

    After a timeout or a cancellation the attempt continues in the background and its connection is
    closed unused, because uvloop closes a file descriptor twice if an attempt is cancelled.
    """
    loop = asyncio.get_running_loop()
    connecting = loop.create_task(_async_open(loop, address))
    try:
        # In halves: after a pause of this process that is longer than the timeout, a connection
        # that the kernel made meanwhile is still noticed in the second one.
        for _ in range(2):
            if not connecting.done():
                await asyncio.wait((connecting,), timeout=timeout_ms / 2 / MS_PER_S)
    except asyncio.CancelledError:
        connecting.add_done_callback(_close_unused)
        raise
    if not connecting.done():
        connecting.add_done_callback(_close_unused)
        raise ConnectFailed(f"no connection within {timeout_ms} ms")
    error = connecting.exception()
    if error is not None:
        refused = isinstance(error, ConnectionRefusedError)
        raise ConnectFailed(type(error).__name__, refused=refused) from error
    return connecting.result()


async def _async_open(loop: asyncio.AbstractEventLoop, address: Address) -> HttpConnection:
    _, connection = await loop.create_connection(
        lambda: HttpConnection(loop=loop, address=address), address.host, address.port
    )
    return connection


def _close_unused(connecting: asyncio.Task[HttpConnection]) -> None:
    if connecting.cancelled() or connecting.exception() is not None:
        return
    connecting.result().close()
