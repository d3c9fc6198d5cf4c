"""The router's end of an exchange: receives the answer, over several links if one is lost."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

import xxhash

from gypsumrouter.link.models import AnswerEvent, Data, End, Head, Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

_CANCELLED = Failed(reason=Reason.CANCELLED, message="the request was given up")
_CORRUPTED = Failed(reason=Reason.CORRUPTED, message="the answer does not match its end")

# Consumes a chunk of a body, or returns False to leave it to the task that reads the answer.
BodyConsumer = Callable[[bytes], bool]


class ExchangeOwner(Protocol):
    """Sends the frames of an exchange to its server."""

    def confirm(self, exchange: Exchange, offset: int) -> None:
        """Confirm the bytes below `offset`."""

    def finish(self, exchange: Exchange) -> None:
        """Let the server discard an exchange that has ended."""

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange at the server."""


class Exchange:
    """A request that was sent, and its answer, which one task reads.

    `arrived` is set once an answer or an echo shows that the server received the request.
    """

    __slots__ = (
        "_confirmed",
        "_consumer",
        "_events",
        "_hash",
        "_owner",
        "_waiter",
        "arrived",
        "confirm_sent",
        "done",
        "has_head",
        "opened_ms",
        "received",
        "request",
    )

    def __init__(self, *, request: Open, owner: ExchangeOwner, opened_ms: int) -> None:
        self.request = request
        self.opened_ms = opened_ms
        self.received = 0
        self.has_head = False
        self.arrived = False
        self.done = False
        self.confirm_sent = 0
        self._owner = owner
        self._confirmed = 0
        self._hash = xxhash.xxh3_64()
        self._events: deque[AnswerEvent] = deque()
        self._consumer: BodyConsumer | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def sequence(self) -> int:
        """Return the number that identifies this exchange on its link."""
        return self.request.sequence

    @property
    def confirmed(self) -> int:
        """Return the offset below which all bytes are confirmed."""
        return self._confirmed

    @property
    def has_events(self) -> bool:
        """Return whether a received event has not been read yet."""
        return bool(self._events)

    async def async_next(self) -> AnswerEvent:
        """Return the next event of the answer; the last one is `End` or a failure.

        Received chunks of the body are merged into one.
        """
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        event = self._events.popleft()
        if not isinstance(event, Data):
            return event
        return self._merge(event)

    def set_consumer(self, consumer: BodyConsumer) -> None:
        """Offer each chunk of the body to `consumer` before waking the waiting reader."""
        self._consumer = consumer

    def confirm(self, offset: int) -> None:
        """Confirm that all bytes below `offset` were consumed, so that the server can send more."""
        offset = min(offset, self.received)
        if offset <= self._confirmed:
            return
        self._confirmed = offset
        if not self.done:
            self._owner.confirm(self, offset)

    def cancel(self) -> None:
        """Cancel the request; the task that reads its answer receives a failure."""
        if self.done:
            return
        self._end(_CANCELLED)
        self._owner.cancel(self)

    def receive_head(self, head: Head) -> None:
        """Handle the head of the answer, which may be repeated after a resume."""
        if self.has_head:
            return
        self.has_head = True
        self.arrived = True
        self._add(head)

    def receive_data(self, offset: int, body: bytes) -> None:
        """Handle a chunk of the body; fails the answer if the chunk leaves a gap or is a repeat."""
        if offset != self.received or not self.has_head:
            self.fail(_CORRUPTED)
            return
        self.received += len(body)
        self._hash.update(body)
        if self._consumer is not None and self._is_reader_waiting() and self._consumer(body):
            self.confirm(self.received)
            return
        self._add(Data(offset=offset, body=body))

    def receive_end(self, end: End) -> None:
        """Handle the end; fails the answer if its length or checksum does not match."""
        whole = end.length == self.received and end.checksum == self._hash.intdigest()
        self._finish(end if whole else _CORRUPTED)

    def fail(self, failure: Failure) -> None:
        """End the answer with a failure; a refusal after the head is a protocol violation."""
        if isinstance(failure, Refused) and self.has_head:
            failure = _CORRUPTED
        self._finish(failure)

    def _finish(self, event: AnswerEvent) -> None:
        if self.done:
            return
        self._end(event)
        self._owner.finish(self)

    def _end(self, event: AnswerEvent) -> None:
        self.done = True
        self._add(event)

    def _merge(self, first: Data) -> Data:
        if not self._events or not isinstance(self._events[0], Data):
            return first
        bodies = [first.body]
        while self._events and isinstance(event := self._events[0], Data):
            bodies.append(event.body)
            self._events.popleft()
        return Data(offset=first.offset, body=b"".join(bodies))

    def _is_reader_waiting(self) -> bool:
        """Return whether the reader waits, so that all earlier events have been read."""
        return self._waiter is not None and not self._waiter.done()

    def _add(self, event: AnswerEvent) -> None:
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
