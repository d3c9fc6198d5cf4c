"""Notification of changes, with timeouts on the stand-in's clock."""

from __future__ import annotations

import asyncio

from gypsumrouter.util.clock import Clock


class ChangeNotifier:
    """Wakes waiting tasks on a change."""

    __slots__ = ("_clock", "_waiters")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def waiting(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._waiters)

    def notify(self) -> None:
        """Wake all waiting tasks."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def async_wait(self, timeout_ms: int) -> None:
        """Wait for the next change, for at most `timeout_ms`."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        timer = loop.create_task(self._clock.async_sleep(timeout_ms))
        self._waiters.add(waiter)
        try:
            await asyncio.wait({waiter, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            self._waiters.discard(waiter)
