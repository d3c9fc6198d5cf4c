"""Interruption of runs at an upstream: silence and cancellation.

A sound upstream may stand still for a while and go on. So silence alone interrupts no run: the
upstream is probed, and a run that another connection can't go on with is waited for.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from msgspec import Struct

from gypsumrouter.core import Application, Remove
from gypsumrouter.upstream.const import SWEEPS_PER_SILENCE
from gypsumrouter.upstream.models import Cause, Interrupted, Liveness


class SilenceLimits(Struct, frozen=True, kw_only=True):
    """When a silent run is interrupted: after this many failed probes of the upstream.

    With `interrupts_answering` also after a probe that was answered, since another connection can
    go on with the run.
    """

    max_failed_probes: int
    interrupts_answering: bool


class Watch:
    """Silence and cancellation of one run; the run increments `progress` for received data.

    `is_unanswered` is set if it was interrupted since the upstream answers no probes.
    """

    __slots__ = (
        "_cause",
        "_failed_probes",
        "_scope",
        "_seen_progress",
        "_since_ms",
        "is_unanswered",
        "progress",
        "reading",
    )

    def __init__(self) -> None:
        self.progress = 0
        self.reading = False
        self.is_unanswered = False
        self._cause: Cause | None = None
        self._failed_probes = 0
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
        self.is_unanswered = False
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

    def is_silent(self, now_ms: int, silence_ms: int) -> bool:
        """Return whether the run has waited for data for `silence_ms`; counts progress."""
        if not self.reading or self.progress != self._seen_progress:
            self._seen_progress = self.progress
            self._since_ms = now_ms
            self._failed_probes = 0
            return False
        return now_ms - self._since_ms >= silence_ms

    @property
    def silence(self) -> tuple[int, int]:
        """Return what tells one silence of the run from another one."""
        return self._seen_progress, self._since_ms

    def note_probe(
        self, silence: tuple[int, int], *, answered: bool, limits: SilenceLimits, now_ms: int
    ) -> None:
        """Interrupt the run, if it is still in that silence, where waiting is of no use."""
        if not self.reading or silence != (self.progress, self._since_ms):
            return
        self._failed_probes = 0 if answered else self._failed_probes + 1
        self.is_unanswered = self._failed_probes >= limits.max_failed_probes
        if self.is_unanswered or (answered and limits.interrupts_answering):
            self.interrupt(Cause.SILENT)
            return
        self._since_ms = now_ms


class Watchdog:
    """Check all runs of one upstream in one task, which avoids a timer for each chunk."""

    __slots__ = (
        "_app",
        "_limits",
        "_probe",
        "_probing",
        "_silence_ms",
        "_sweep_ms",
        "_watches",
    )

    def __init__(
        self,
        *,
        app: Application,
        silence_ms: int,
        limits: SilenceLimits,
        probe: Callable[[], Awaitable[Liveness]],
    ) -> None:
        self._app = app
        self._silence_ms = silence_ms
        self._limits = limits
        self._probe = probe
        self._probing = False
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
            silent = {
                watch: watch.silence
                for watch in self._watches
                if watch.is_silent(now_ms, self._silence_ms)
            }
            if silent and not self._probing:
                self._probing = True
                self._app.async_create_task(self._async_probe(silent), "upstream probe")

    async def _async_probe(self, silent: dict[Watch, tuple[int, int]]) -> None:
        """Probe the upstream once for all silent runs."""
        try:
            answered = await self._probe() is Liveness.ANSWERS
        finally:
            self._probing = False
        now_ms = self._app.clock.now_ms()
        for watch, silence in silent.items():
            watch.note_probe(silence, answered=answered, limits=self._limits, now_ms=now_ms)


async def _async_interrupt(watch: Watch, cancelled: asyncio.Event) -> None:
    await cancelled.wait()
    watch.interrupt(Cause.CANCELLED)
