"""Sizes of request heads, and reading of request bodies within limits of size and memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from aiohttp import ClientError, HttpVersion11, http_exceptions, web

from gypsumrouter.callers.connection import CallerConnection
from gypsumrouter.callers.const import DEFAULT_RETRY_AFTER_MS
from gypsumrouter.callers.errors import Rejection, reject, reject_field
from gypsumrouter.callers.limit_timer import LimitTimer
from gypsumrouter.outcomes import Reason

# Colon, space, CR and LF.
HEADER_LINE_BYTES: Final = 4


class MemoryBudget:
    """Limits the total number of bytes that all requests buffer."""

    __slots__ = ("limit", "used")

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False if that would exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes."""
        self.used -= size


class MemoryReservation:
    """The bytes that one request has reserved from a memory budget."""

    __slots__ = ("_budget", "size")

    def __init__(self, *, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` more bytes; return False if that would exceed the limit of the budget."""
        if not self._budget.reserve(size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Release all reserved bytes; further calls have no effect."""
        self._budget.release(self.size)
        self.size = 0


def count_head_bytes(request: web.BaseRequest) -> int:
    """Return the approximate size of a request head on the wire, for comparison with a limit."""
    lines = sum(len(name) + len(value) + HEADER_LINE_BYTES for name, value in request.raw_headers)
    return len(request.raw_path) + lines


CONTINUE_LINE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


async def async_read_body(
    *,
    request: web.BaseRequest,
    reservation: MemoryReservation,
    max_bytes: int,
    get_idle_ms: Callable[[], int],
) -> bytes | Rejection:
    """Return the complete body; `get_idle_ms` limits the time between two received parts.

    A body that is still arriving when its connection is told to refuse it is rejected.
    """
    if (request.content_length or 0) > max_bytes:
        return _reject_size(max_bytes)
    expects = request.headers.get("Expect", "").lower() == "100-continue"
    # HTTP/1.0 has no interim responses.
    if expects and request.version >= HttpVersion11:
        await request.writer.write(CONTINUE_LINE)
        # No byte of the answer is written by that.
        request.writer.output_size = 0
    try:
        return await _async_read_parts(request, reservation, max_bytes, get_idle_ms)
    except TimeoutError:
        if _is_refused(request):
            return reject(Reason.LEAVING, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
        return reject_field("body", "The body did not arrive in time", status=408)
    except (http_exceptions.HttpProcessingError, web.RequestPayloadError, ClientError):
        return reject_field("body", "The body is not framed as HTTP")


async def _async_read_parts(
    request: web.BaseRequest,
    reservation: MemoryReservation,
    max_bytes: int,
    get_idle_ms: Callable[[], int],
) -> bytes | Rejection:
    parts: list[bytes] = []
    async with asyncio.timeout(None) as scope:
        with _limit_body(request, scope), _limit_pauses(scope, get_idle_ms) as timer:
            while part := await request.content.readany():
                if reservation.size + len(part) > max_bytes:
                    return _reject_size(max_bytes)
                if not reservation.reserve(len(part)):
                    message = "Too many request bodies are held in memory"
                    return reject(Reason.QUEUE_FULL, message, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
                parts.append(part)
                timer.start()
    return b"".join(parts)


@contextmanager
def _limit_pauses(scope: asyncio.Timeout, get_idle_ms: Callable[[], int]) -> Iterator[LimitTimer]:
    """End a scope after a pause; yields the timer, which is started."""

    def end() -> None:
        if not scope.expired():
            scope.reschedule(asyncio.get_running_loop().time())

    timer = LimitTimer(get_limit_ms=get_idle_ms, on_end=end)
    timer.start()
    try:
        yield timer
    finally:
        timer.stop()


@contextmanager
def _limit_body(request: web.BaseRequest, scope: asyncio.Timeout) -> Iterator[None]:
    """Let the connection end the reading of a body."""
    connection = request.protocol
    if not isinstance(connection, CallerConnection):
        yield
        return
    connection.limit_body(scope)
    try:
        yield
    finally:
        connection.limit_body(None)


def _is_refused(request: web.BaseRequest) -> bool:
    connection = request.protocol
    return isinstance(connection, CallerConnection) and connection.refused


def _reject_size(max_bytes: int) -> Rejection:
    message = f"The body has more than {max_bytes} bytes"
    return reject(Reason.TOO_LARGE, message, param="body")
