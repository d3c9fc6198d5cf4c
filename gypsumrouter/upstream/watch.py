"""Interruption of runs at an upstream: idle timeout and cancellation."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from gypsumrouter.core import Application, Remove
from gypsumrouter.upstream.const import SWEEPS_PER_SILENCE
from gypsumrouter.upstream.models import Cause, Interrupted


class Watch:
    """Idle timer and cancellation of one run; the run increments `progress` for received data."""

    __slots__ = ("_cause", "_scope", "_seen_progress", "_since_ms", "progress", "reading")

    def __init__(self) -> None:
        self.progress = 0
        self.reading = False
        self._cause: Cause | None = None
        self._scope: asyncio.Timeout | None = None
        self._seen_progress = -1
        self._since_ms = 0

    @asynccontextmanager
    async def guard(self) -> AsyncIterator[None]:
        """Run a block that raises Interrupted when `interrupt` is called."""
        if self._cause is Cause.CANCELLED:
            raise Interrupted(Cause.CANCELLED)
        self._cause = None
        self._seen_progress = -1
        try:
            async with asyncio.timeout(None) as self._scope:
                yield
        except TimeoutError:
            if self._cause is None:
                raise
            raise Interrupted(self._cause) from None
        finally:
            self._scope = None
            self.reading = False

    def interrupt(self, cause: Cause) -> None:
        """Interrupt the guarded block; a cancellation also interrupts later blocks."""
        if self._cause is Cause.CANCELLED:
            return
        self._cause = cause
        if self._scope is not None and not self._scope.expired():
            self._scope.reschedule(asyncio.get_running_loop().time())

    def sweep(self, now_ms: int, silence_ms: int) -> None:
        """Interrupt the run if it has waited for data for `silence_ms`."""
        if not self.reading or self.progress != self._seen_progress:
            self._seen_progress = self.progress
            self._since_ms = now_ms
            return
        if now_ms - self._since_ms >= silence_ms:
            self.interrupt(Cause.SILENT)


class Watchdog:
    """Check all runs of one upstream in one task, which avoids a timer for each chunk."""

    __slots__ = ("_app", "_silence_ms", "_sweep_ms", "_watches")

    def __init__(self, *, app: Application, silence_ms: int) -> None:
        self._app = app
        self._silence_ms = silence_ms
        self._sweep_ms = max(1, silence_ms // SWEEPS_PER_SILENCE)
        self._watches: set[Watch] = set()

    @property
    def runs(self) -> int:
        """Return the number of watched runs."""
        return len(self._watches)

    def start(self) -> None:
        """Start the periodic check."""
        self._app.async_create_task(self._async_sweep(), "upstream watchdog")

    def watch(self, cancelled: asyncio.Event) -> tuple[Watch, Remove]:
        """Watch a run until the returned function is called."""
        watch = Watch()
        self._watches.add(watch)
        waiter = self._app.async_create_task(
            _async_interrupt(watch, cancelled), "upstream cancellation"
        )

        def remove() -> None:
            self._watches.discard(watch)
            waiter.cancel()

        return watch, remove

    async def _async_sweep(self) -> None:
        while True:
            await self._app.clock.async_sleep(self._sweep_ms)
            now_ms = self._app.clock.now_ms()
            for watch in self._watches:
                watch.sweep(now_ms, self._silence_ms)


async def _async_interrupt(watch: Watch, cancelled: asyncio.Event) -> None:
    await cancelled.wait()
    watch.interrupt(Cause.CANCELLED)
