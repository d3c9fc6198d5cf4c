"""A router's end of an exchange: the answer as it comes, over as many links as it takes."""

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

# Takes a part of a body at once, or returns False and leaves it to whoever reads the answer.
BodyConsumer = Callable[[bytes], bool]


class ExchangeOwner(Protocol):
    """Whoever sends what an exchange has to say to its server."""

    def confirm(self, exchange: Exchange, offset: int) -> None:
        """Pass on that the bytes below `offset` were taken."""

    def finish(self, exchange: Exchange) -> None:
        """Let the server forget an exchange that came to its end."""

    def cancel(self, exchange: Exchange) -> None:
        """Tell the server that nobody waits any more."""


class Exchange:
    """One request that was sent, and its answer; one task reads it."""

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
        """Return the number that names this exchange on its link."""
        return self.request.sequence

    @property
    def confirmed(self) -> int:
        """Return the offset below which the caller took all bytes."""
        return self._confirmed

    @property
    def has_events(self) -> bool:
        """Return whether a part of the answer is there already."""
        return bool(self._events)

    async def async_next(self) -> AnswerEvent:
        """Return the next part of the answer; `End` or a failure is the last.

        Parts of the body that wait together come as one.
        """
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        event = self._events.popleft()
        if not isinstance(event, Data):
            return event
        return self._merge(event)

    def set_consumer(self, consumer: BodyConsumer) -> None:
        """Offer each part of the body to `consumer` while the reader waits, before it is woken."""
        self._consumer = consumer

    def confirm(self, offset: int) -> None:
        """Note that the caller took all bytes below `offset`, so that more may come."""
        offset = min(offset, self.received)
        if offset <= self._confirmed:
            return
        self._confirmed = offset
        if not self.done:
            self._owner.confirm(self, offset)

    def cancel(self) -> None:
        """Give the request up; whoever waits for its answer gets a failure."""
        if self.done:
            return
        self._end(_CANCELLED)
        self._owner.cancel(self)

    def receive_head(self, head: Head) -> None:
        """Take the head of the answer; after a resume it may come again."""
        if self.has_head:
            return
        self.has_head = True
        self.arrived = True
        self._add(head)

    def receive_data(self, offset: int, body: bytes) -> None:
        """Take a part of the body; one that leaves a gap or was sent before fails the answer."""
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
        """Take the end of the answer, if all of the answer is there."""
        whole = end.length == self.received and end.checksum == self._hash.intdigest()
        self._finish(end if whole else _CORRUPTED)

    def fail(self, failure: Failure) -> None:
        """End without a whole answer; one that has begun cannot be "not run" any more."""
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
        """Return whether the reader waits, so that all that came before has been taken."""
        return self._waiter is not None and not self._waiter.done()

    def _add(self, event: AnswerEvent) -> None:
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
