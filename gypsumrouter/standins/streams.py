"""Answers of the stand-in engine: kept while they grow and a while longer, to be resumed."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from enum import StrEnum

from gypsumrouter.util.clock import Clock


class StreamState(StrEnum):
    """Where an answer stands."""

    GROWING = "growing"
    WHOLE = "whole"
    CANCELLED = "cancelled"


class AnswerStream:
    """The body of one answer; any number of readers follow it from any byte on."""

    __slots__ = (
        "_clock",
        "_waiters",
        "body",
        "content_type",
        "ended_ms",
        "readers",
        "request_id",
        "state",
        "unread_since_ms",
    )

    def __init__(self, *, clock: Clock, request_id: str, content_type: str) -> None:
        self._clock = clock
        self._waiters: list[asyncio.Future[None]] = []
        self.request_id = request_id
        self.content_type = content_type
        self.body = bytearray()
        self.state = StreamState.GROWING
        self.readers = 0
        self.unread_since_ms: int | None = None
        self.ended_ms = 0

    def append(self, part: bytes) -> None:
        """Add to the body."""
        self.body += part
        self._wake()

    def end(self, state: StreamState) -> None:
        """End the answer, whole or cancelled; only the first end counts."""
        if self.state is not StreamState.GROWING:
            return
        self.state = state
        self.ended_ms = self._clock.now_ms()
        self._wake()

    def attach(self) -> None:
        """Note that a reader follows."""
        self.readers += 1
        self.unread_since_ms = None

    def detach(self) -> None:
        """Note that a reader has gone."""
        self.readers -= 1
        if self.readers == 0:
            self.unread_since_ms = self._clock.now_ms()

    async def async_wait_beyond(self, offset: int) -> None:
        """Wait until the body is longer than `offset` or has ended."""
        while len(self.body) <= offset and self.state is StreamState.GROWING:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    async def async_wait_end(self) -> None:
        """Wait until the answer has ended."""
        while self.state is StreamState.GROWING:
            await self.async_wait_beyond(len(self.body))

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class StreamTable:
    """Answers by request id; ended ones are dropped after a time or beyond a number."""

    __slots__ = ("_clock", "_keep_ms", "_kept", "_streams")

    def __init__(self, *, clock: Clock, keep_ms: int, kept: int) -> None:
        self._clock = clock
        self._keep_ms = keep_ms
        self._kept = kept
        self._streams: OrderedDict[str, AnswerStream] = OrderedDict()

    def add(self, stream: AnswerStream) -> None:
        """Keep an answer; one with the same request id is replaced."""
        self._drop_old()
        self._streams[stream.request_id] = stream
        self._streams.move_to_end(stream.request_id)

    def get(self, request_id: str) -> AnswerStream | None:
        """Return an answer that is still kept."""
        self._drop_old()
        return self._streams.get(request_id)

    def clear(self) -> None:
        """Cancel and forget everything, as a restart does."""
        for stream in self._streams.values():
            stream.end(StreamState.CANCELLED)
        self._streams.clear()

    def _drop_old(self) -> None:
        expired_ms = self._clock.now_ms() - self._keep_ms
        ended = [
            stream for stream in self._streams.values() if stream.state is not StreamState.GROWING
        ]
        surplus = len(ended) - self._kept
        for index, stream in enumerate(ended):
            if index < surplus or stream.ended_ms <= expired_ms:
                del self._streams[stream.request_id]
