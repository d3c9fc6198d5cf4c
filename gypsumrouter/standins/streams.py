"""Answers of the stand-in engine: max_ended while they grow and a while longer, to be resumed."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from enum import StrEnum

from gypsumrouter.util.clock import Clock


class StreamState(StrEnum):
    """Where an answer stands."""

    ACTIVE = "growing"
    COMPLETE = "whole"
    CANCELLED = "cancelled"


class ResponseStream:
    """The body of one answer; any number of readers follow it from any byte on."""

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
        """Add to the body."""
        self.body += part
        self._wake()

    def end(self, state: StreamState) -> None:
        """End the answer, whole or cancelled; only the first end counts."""
        if self.state is not StreamState.ACTIVE:
            return
        self.state = state
        self.ended_ms = self._clock.now_ms()
        self._wake()

    def attach(self) -> None:
        """Note that a reader follows."""
        self.readers += 1
        self.no_reader_since_ms = None

    def detach(self) -> None:
        """Note that a reader has gone."""
        self.readers -= 1
        if self.readers == 0:
            self.no_reader_since_ms = self._clock.now_ms()

    async def async_wait_for_data(self, offset: int) -> None:
        """Wait until the body is longer than `offset` or has ended."""
        while len(self.body) <= offset and self.state is StreamState.ACTIVE:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    async def async_wait_end(self) -> None:
        """Wait until the answer has ended."""
        while self.state is StreamState.ACTIVE:
            await self.async_wait_for_data(len(self.body))

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class StreamTable:
    """Answers by request id; ended ones are dropped after a time or beyond a number."""

    __slots__ = ("_clock", "_max_ended", "_retention_ms", "_streams")

    def __init__(self, *, clock: Clock, retention_ms: int, max_ended: int) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        self._max_ended = max_ended
        self._streams: OrderedDict[str, ResponseStream] = OrderedDict()

    def add(self, stream: ResponseStream) -> None:
        """Keep an answer; one with the same request id is replaced."""
        self._evict_ended()
        self._streams[stream.request_id] = stream
        self._streams.move_to_end(stream.request_id)

    def get(self, request_id: str) -> ResponseStream | None:
        """Return an answer that is still max_ended."""
        self._evict_ended()
        return self._streams.get(request_id)

    def clear(self) -> None:
        """Cancel and forget everything, as a restart does."""
        for stream in self._streams.values():
            stream.end(StreamState.CANCELLED)
        self._streams.clear()

    def _evict_ended(self) -> None:
        expired_ms = self._clock.now_ms() - self._retention_ms
        ended = [
            stream for stream in self._streams.values() if stream.state is not StreamState.ACTIVE
        ]
        surplus = len(ended) - self._max_ended
        for index, stream in enumerate(ended):
            if index < surplus or stream.ended_ms <= expired_ms:
                del self._streams[stream.request_id]
