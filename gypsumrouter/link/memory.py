"""Memory for answers that routers have not confirmed, bounded for the whole process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

_ELASTIC_SHARE = 2


class AnswerMemory:
    """Share out the memory for unconfirmed bytes among answers.

    The first half goes to whoever writes first. Of the second half each answer gets the same
    part, so that slow callers that hold the first half do not stop the others.
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
        """Return the bytes held by all answers."""
        return self._used

    @property
    def has_waiters(self) -> bool:
        """Return whether an answer waits for memory."""
        return any(not waiter.done() for waiter in self._waiters)

    def add_answer(self) -> None:
        """Count one more answer that shares the memory."""
        self._answers += 1

    def remove_answer(self, held: int) -> None:
        """Take an answer out, with the `held` bytes that it still has."""
        self._answers -= 1
        self.release(held)

    def get_room(self, held: int) -> int:
        """Return how many bytes an answer that already holds `held` may add now."""
        part = self.limit_bytes // _ELASTIC_SHARE
        elastic = part - self._used
        if elastic > 0:
            return elastic
        own = part // max(1, self._answers) - held
        return max(0, min(own, self.limit_bytes - self._used))

    def reserve(self, size: int) -> None:
        """Count `size` bytes more."""
        self._used += size

    def release(self, size: int) -> None:
        """Count `size` bytes less, and let waiting answers try again."""
        self._used -= size
        if not self._waiters:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def add_waiter(self, waiter: asyncio.Future[None]) -> None:
        """Have `waiter` woken when memory comes free, and ask for some."""
        self._waiters.append(waiter)
        self._on_pressure()
