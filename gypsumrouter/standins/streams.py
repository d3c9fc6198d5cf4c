"""Response bodies of the stand-in engine, kept for a time so that they can be resumed."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from enum import StrEnum

from gypsumrouter.util.clock import Clock


class StreamState(StrEnum):
    """The state of a response."""

    ACTIVE = "growing"
    COMPLETE = "whole"
    CANCELLED = "cancelled"


class ResponseStream:
    """A response body that any number of readers can read from any offset."""

    __slots__ = (
        "_clock",
        "_waiters",
        "body",
        "content_type",
        "ended_ms",
        "no_reader_since_ms",
        "readers",
        "request_id",
        "state",
    )

    def __init__(self, *, clock: Clock, request_id: str, content_type: str) -> None:
        self._clock = clock
        self._waiters: list[asyncio.Future[None]] = []
        self.request_id = request_id
        self.content_type = content_type
        self.body = bytearray()
        self.state = StreamState.ACTIVE
        self.readers = 0
        self.no_reader_since_ms: int | None = None
        self.ended_ms = 0

    def append(self, part: bytes) -> None:
        """Append bytes to the body and wake the readers."""
        self.body += part
        self._wake()

    def end(self, state: StreamState) -> None:
        """End the response as complete or cancelled; later calls have no effect."""
        if self.state is not StreamState.ACTIVE:
            return
        self.state = state
        self.ended_ms = self._clock.now_ms()
        self._wake()

    def attach(self) -> None:
        """Register a reader."""
        self.readers += 1
        self.no_reader_since_ms = None

    def detach(self) -> None:
        """Unregister a reader."""
        self.readers -= 1
        if self.readers == 0:
            self.no_reader_since_ms = self._clock.now_ms()

    async def async_wait_for_data(self, offset: int) -> None:
        """Wait until there is data after `offset` or the response has ended."""
        while len(self.body) <= offset and self.state is StreamState.ACTIVE:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class StreamTable:
    """Responses by request id; ended ones are evicted by age and by number."""

    __slots__ = ("_clock", "_max_ended", "_retention_ms", "_streams")

    def __init__(self, *, clock: Clock, retention_ms: int, max_ended: int) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        self._max_ended = max_ended
        self._streams: OrderedDict[str, ResponseStream] = OrderedDict()

    def add(self, stream: ResponseStream) -> None:
        """Add a response, replacing one with the same request id."""
        self._evict_ended()
        self._streams[stream.request_id] = stream
        self._streams.move_to_end(stream.request_id)

    def get(self, request_id: str) -> ResponseStream | None:
        """Return a response, or None if it is unknown or evicted."""
        self._evict_ended()
        return self._streams.get(request_id)

    def clear(self) -> None:
        """Cancel and remove all responses, as a restart does."""
        for stream in self._streams.values():
            stream.end(StreamState.CANCELLED)
        self._streams.clear()

    def _evict_ended(self) -> None:
        expired_ms = self._clock.now_ms() - self._retention_ms
        ended = [
            stream for stream in self._streams.values() if stream.state is not StreamState.ACTIVE
        ]
        excess = len(ended) - self._max_ended
        for index, stream in enumerate(ended):
            if index < excess or stream.ended_ms <= expired_ms:
                del self._streams[stream.request_id]
