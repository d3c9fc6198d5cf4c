"""Limit on the memory of a process for answer bytes that routers have not confirmed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

_ELASTIC_SHARE = 2


class AnswerMemory:
    """Divides the memory for unconfirmed bytes among answers.

    The first half is allocated first come, first served. The second half is divided equally, so
    that slow callers that occupy the first half do not block other answers.
    """

    __slots__ = ("_answers", "_on_pressure", "_used", "_waiters", "limit_bytes")

    def __init__(self, *, limit_bytes: int, on_pressure: Callable[[], None]) -> None:
        self.limit_bytes = limit_bytes
        self._on_pressure = on_pressure
        self._answers = 0
        self._used = 0
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def used_bytes(self) -> int:
        """Return the number of bytes that all answers use."""
        return self._used

    @property
    def has_waiters(self) -> bool:
        """Return whether an answer is waiting for memory."""
        return any(not waiter.done() for waiter in self._waiters)

    def add_answer(self) -> None:
        """Add an answer to those that share the memory."""
        self._answers += 1

    def remove_answer(self, held: int) -> None:
        """Remove an answer and release the `held` bytes that it still uses."""
        self._answers -= 1
        self.release(held)

    def get_room(self, held: int) -> int:
        """Return how many bytes an answer that already uses `held` bytes may add now."""
        part = self.limit_bytes // _ELASTIC_SHARE
        elastic = part - self._used
        if elastic > 0:
            return elastic
        own = part // max(1, self._answers) - held
        return max(0, min(own, self.limit_bytes - self._used))

    def reserve(self, size: int) -> None:
        """Reserve `size` bytes; the caller has checked `get_room`."""
        self._used += size

    def release(self, size: int) -> None:
        """Release `size` bytes and wake the waiting answers."""
        self._used -= size
        if not self._waiters:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def add_waiter(self, waiter: asyncio.Future[None]) -> None:
        """Wake `waiter` when memory is released, and call `on_pressure`."""
        self._waiters.append(waiter)
        self._on_pressure()
