"""Sinks for an upstream's response: relayed to the caller, or recorded first."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum

from gypsumrouter.exchange.const import MAX_RECORDED_BYTES
from gypsumrouter.link import Answer
from gypsumrouter.link.models import Head


class StopReason(StrEnum):
    """Why a run was stopped."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    YIELD = "yield"
    LIMIT = "limit"


class Relay:
    """Streams a response to the caller.

    The head is held back until the first byte of the body, so that a run can be preempted and
    repeated before that. `cancelled` stops the run, and `stop_reason` is why it was set.
    """

    __slots__ = (
        "_answer",
        "_head",
        "_on_first_body",
        "cancelled",
        "has_body",
        "on_write",
        "stop_reason",
    )

    def __init__(self, *, answer: Answer, on_first_body: Callable[[], None]) -> None:
        self._answer = answer
        self._on_first_body = on_first_body
        self._head: Head | None = None
        # Called for each chunk of the body.
        self.on_write: Callable[[], None] = _ignore
        self.cancelled = asyncio.Event()
        self.has_body = False
        self.stop_reason: StopReason | None = None

    def head(self, head: Head) -> None:
        """Hold the head back until the body begins."""
        self._head = head

    async def async_write(self, body: bytes) -> None:
        """Forward a chunk of the body."""
        self.on_write()
        if not self.has_body:
            self._begin_body()
        await self._answer.async_write(body)

    def flush_head(self) -> None:
        """Forward the head if it has not been sent, as for a response without a body."""
        if self._head is not None:
            self._answer.head(self._head)
            self._head = None

    def request_stop(self, stop_reason: StopReason) -> None:
        """Stop the run; the first reason is kept."""
        if self.stop_reason is None:
            self.stop_reason = stop_reason
            self.cancelled.set()

    def _begin_body(self) -> None:
        self.has_body = True
        self._on_first_body()
        self.flush_head()


class Recorder:
    """Records a response of up to `MAX_RECORDED_BYTES`; a larger one is streamed instead.

    Once the call is `sent`, neither the caller's cancellation nor its deadline stops the run.
    """

    __slots__ = (
        "_answer",
        "_on_first_body",
        "_parts",
        "_size",
        "cancelled",
        "detached",
        "has_body",
        "on_write",
        "recorded_head",
        "sent",
        "stop_reason",
        "too_large",
    )

    def __init__(self, *, answer: Answer, on_first_body: Callable[[], None]) -> None:
        self._answer = answer
        self._on_first_body = on_first_body
        self._parts: list[bytes] = []
        self._size = 0
        self.on_write: Callable[[], None] = _ignore
        self.cancelled = asyncio.Event()
        self.detached = False
        self.sent = False
        self.has_body = False
        self.recorded_head: Head | None = None
        self.stop_reason: StopReason | None = None
        self.too_large = False

    @property
    def body(self) -> bytes:
        """Return the recorded body; empty if the response is too large."""
        return b"".join(self._parts)

    def head(self, head: Head) -> None:
        """Record the head."""
        self.recorded_head = head

    async def async_write(self, body: bytes) -> None:
        """Record a chunk of the body, or forward it if the response is too large."""
        self.on_write()
        if not self.has_body:
            self.has_body = True
            self._on_first_body()
        if self.too_large:
            await self._async_forward(body)
            return
        self._parts.append(body)
        self._size += len(body)
        if self._size > MAX_RECORDED_BYTES:
            await self._async_overflow()

    async def async_deliver(self) -> None:
        """Send the recorded response to the caller, unless it was streamed."""
        if self.too_large:
            return
        self._forward_head()
        for part in self._parts:
            await self._async_forward(part)

    def detach(self) -> None:
        """Forward nothing from now on, since the caller has stopped waiting."""
        self.detached = True

    def request_stop(self, stop_reason: StopReason) -> None:
        """Stop the run; a sent one only stops at its time limit. The first reason is kept."""
        if self.stop_reason is not None:
            return
        if self.sent and stop_reason is not StopReason.LIMIT:
            return
        self.stop_reason = stop_reason
        self.cancelled.set()

    async def _async_overflow(self) -> None:
        self.too_large = True
        parts, self._parts = self._parts, []
        self._forward_head()
        for part in parts:
            await self._async_forward(part)

    def _forward_head(self) -> None:
        if self.recorded_head is not None and not self.detached:
            self._answer.head(self.recorded_head)

    async def _async_forward(self, body: bytes) -> None:
        if not self.detached:
            await self._answer.async_write(body)


def _ignore() -> None:
    """Take no notice of a chunk."""
