"""Waiting for a change, for a time that the stand-in's clock measures."""

from __future__ import annotations

import asyncio

from gypsumrouter.util.clock import Clock


class ChangeNotifier:
    """Wake whoever waits when something has changed."""

    __slots__ = ("_clock", "_waiters")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def waiting(self) -> int:
        """Return how many wait now."""
        return len(self._waiters)

    def notify(self) -> None:
        """Wake everyone that waits."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def async_wait(self, timeout_ms: int) -> None:
        """Wait for the next change, but not longer than `timeout_ms`."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        timer = loop.create_task(self._clock.async_sleep(timeout_ms))
        self._waiters.add(waiter)
        try:
            await asyncio.wait({waiter, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            self._waiters.discard(waiter)
