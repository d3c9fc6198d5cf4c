"""Clocks in milliseconds: the system clock, and a manually advanced one for tests."""

from __future__ import annotations

import asyncio
import heapq
import time
from typing import Protocol

from gypsumrouter.const import MS_PER_S


class Clock(Protocol):
    """Source of time; all values are integer milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time, for measuring durations."""

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch, for values shared with other processes."""

    async def async_sleep(self, delay_ms: int) -> None:
        """Sleep for `delay_ms`."""


class SystemClock:
    """The clock of the operating system."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic time."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""
        return time.time_ns() // 1_000_000

    async def async_sleep(self, delay_ms: int) -> None:
        """Sleep for `delay_ms`."""
        await asyncio.sleep(delay_ms / MS_PER_S)


class ManualClock:
    """A clock for tests that moves only when it is advanced."""

    __slots__ = ("_now_ms", "_order", "_sleepers", "_wall_offset_ms")

    def __init__(self, *, now_ms: int = 0, wall_ms: int = 1_700_000_000_000) -> None:
        self._now_ms = now_ms
        self._wall_offset_ms = wall_ms - now_ms
        self._sleepers: list[tuple[int, int, asyncio.Future[None]]] = []
        self._order = 0

    def now_ms(self) -> int:
        """Return monotonic time."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""
        return self._now_ms + self._wall_offset_ms

    async def async_sleep(self, delay_ms: int) -> None:
        """Sleep until the clock has been advanced by `delay_ms`."""
        if delay_ms <= 0:
            await asyncio.sleep(0)
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._order += 1
        heapq.heappush(self._sleepers, (self._now_ms + delay_ms, self._order, future))
        await future

    def advance(self, delay_ms: int) -> None:
        """Advance both clocks and wake every sleeper that is due."""
        self._now_ms += delay_ms
        while self._sleepers and self._sleepers[0][0] <= self._now_ms:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)

    def shift_wall(self, delay_ms: int) -> None:
        """Shift only the wall clock, as a clock adjustment does."""
        self._wall_offset_ms += delay_ms
