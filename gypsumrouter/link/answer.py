"""The server's end of an exchange: buffers the part of an answer that is not confirmed yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import xxhash

from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.link.codec import encode_end, encode_failure, encode_head
from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import Kind
from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.memory import AnswerMemory
from gypsumrouter.link.models import End, Head
from gypsumrouter.outcomes import Failure, Refused


class Answer:
    """An answer that one task writes; it is sent over the router's link and resent after a loss.

    `cancelled` is set when the router cancels the exchange; the handler should then stop.
    """

    __slots__ = (
        "_base",
        "_buffer",
        "_connection",
        "_ending",
        "_ending_sent",
        "_hash",
        "_head",
        "_head_sent",
        "_length",
        "_memory",
        "_on_dropped",
        "_sent",
        "_waiter",
        "_window_bytes",
        "cancelled",
        "detached_ms",
        "dropped",
        "sequence",
    )

    def __init__(
        self,
        *,
        sequence: int,
        window_bytes: int,
        memory: AnswerMemory,
        on_dropped: Callable[[Answer], None],
    ) -> None:
        self.sequence = sequence
        self.cancelled = asyncio.Event()
        self.detached_ms: int | None = None
        self.dropped = False
        self._window_bytes = window_bytes
        self._memory = memory
        self._on_dropped = on_dropped
        self._connection: Connection | None = None
        self._buffer = bytearray()
        self._base = 0
        self._sent = 0
        self._length = 0
        self._hash = xxhash.xxh3_64()
        self._head: bytes | None = None
        self._head_sent = False
        self._ending: tuple[Kind, bytes] | None = None
        self._ending_sent = False
        self._waiter: asyncio.Future[None] | None = None
        memory.add_answer()

    @property
    def ended(self) -> bool:
        """Return whether `end` or `fail` has been called."""
        return self._ending is not None

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that the router has not confirmed."""
        return len(self._buffer)

    def head(self, head: Head) -> None:
        """Send status and headers; must be called once, before the body is written."""
        if self._head is not None or self._ending is not None:
            raise InvariantBroken("head() must be called once, before end() or fail()")
        self._head = encode_head(head)
        self._mark()

    async def async_write(self, body: bytes) -> None:
        """Write a chunk of the body; waits for window and memory, returns early if cancelled."""
        if self._head is None or self._ending is not None:
            raise InvariantBroken("async_write() must be called after head() and before the end")
        begin = 0
        while begin < len(body) and not self.cancelled.is_set():
            room = self._get_room()
            if room <= 0:
                await self._async_wait()
                continue
            part = body if begin == 0 and len(body) <= room else body[begin : begin + room]
            self._append(part)
            begin += len(part)

    def end(self) -> None:
        """End a complete answer; its length and checksum are sent with the end."""
        if self._head is None:
            raise InvariantBroken("end() must be called after head()")
        end = End(length=self._length, checksum=self._hash.intdigest())
        self._finish(Kind.END, encode_end(end))

    def fail(self, failure: Failure) -> None:
        """End an answer that is not complete; `Refused` is allowed only before the head."""
        if isinstance(failure, Refused) and self._head is not None:
            raise InvariantBroken("fail() must not be called with Refused after head()")
        self._finish(*encode_failure(failure))

    def attach(self, connection: Connection, *, offset: int = 0, has_head: bool = False) -> None:
        """Send the answer over `connection` from byte `offset` on; raises FrameError."""
        if not self._base <= offset <= self._length:
            raise FrameError(f"an answer is asked for at {offset}, where it has no byte")
        self._connection = connection
        self.detached_ms = None
        self._sent = offset
        self._head_sent = has_head
        self._ending_sent = False
        self._mark()

    def detach(self, now_ms: int) -> None:
        """Stop sending, and keep the unconfirmed bytes until the router resumes the exchange."""
        self._connection = None
        self.detached_ms = now_ms

    def confirm(self, offset: int) -> None:
        """Discard the bytes below `offset`; raises FrameError if they were not sent yet."""
        if offset > self._sent:
            raise FrameError(f"byte {offset} is confirmed and was never sent")
        freed = offset - self._base
        if freed <= 0:
            return
        del self._buffer[:freed]
        self._base = offset
        self._wake()
        self._memory.release(freed)

    def drop(self) -> None:
        """Discard the answer, and cancel its handler if it is still running."""
        if self.dropped:
            return
        self.dropped = True
        self._connection = None
        held = len(self._buffer)
        self._buffer.clear()
        self._memory.remove_answer(held)
        if self._ending is None:
            self.cancelled.set()
        self._wake()
        self._on_dropped(self)

    def pump(self, connection: Connection) -> None:
        """Send what has not been sent on this connection yet."""
        if connection is not self._connection:
            return
        if self._head is not None and not self._head_sent:
            connection.send(Kind.HEAD, stream=self.sequence, body=self._head)
            self._head_sent = True
        if self._sent < self._length:
            begin = self._sent - self._base
            connection.send_data(self.sequence, self._sent, bytes(self._buffer[begin:]))
            self._sent = self._length
        if self._ending is not None and not self._ending_sent:
            kind, body = self._ending
            connection.send(kind, stream=self.sequence, body=body)
            self._ending_sent = True

    def _get_room(self) -> int:
        held = len(self._buffer)
        return min(self._window_bytes - held, self._memory.get_room(held))

    async def _async_wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        if len(self._buffer) < self._window_bytes:
            self._memory.add_waiter(self._waiter)
        await self._waiter

    def _append(self, part: bytes) -> None:
        self._buffer += part
        self._length += len(part)
        self._hash.update(part)
        self._memory.reserve(len(part))
        self._mark()

    def _finish(self, kind: Kind, body: bytes) -> None:
        if self._ending is not None:
            raise InvariantBroken("end() or fail() was called on an answer that has already ended")
        self._ending = (kind, body)
        self._mark()

    def _mark(self) -> None:
        if self._connection is not None:
            self._connection.mark_ready(self)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
