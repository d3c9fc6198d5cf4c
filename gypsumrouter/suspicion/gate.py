"""The gate before an upstream: suspects run alone, everything else runs together."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from gypsumrouter.core import Application
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion.const import (
    ALONE_WAIT_MS,
    BUSY_RETRY_MS,
    CLOSED_MS,
    MAX_WAITING,
    OPEN_MS,
    SHARED_WAIT_MS,
)
from gypsumrouter.suspicion.outcomes import Clear, Suspect, Verdict
from gypsumrouter.suspicion.running import ActiveRun, RunningSet

Judge = Callable[[], Verdict]


class Token:
    """The permission to run one request at the upstream; exactly one of its ends follows."""

    __slots__ = ("_died", "_ended", "run")

    def __init__(
        self,
        *,
        run: ActiveRun,
        ended: Callable[[ActiveRun, bool], None],
        died: Callable[[ActiveRun], tuple[SuspectAnnouncement, ...]],
    ) -> None:
        self.run = run
        self._ended = ended
        self._died = died

    def end(self, *, whole: bool) -> None:
        """Say that the run is over, and whether it gave a whole answer; safe to repeat."""
        self._ended(self.run, whole)

    def died(self) -> tuple[SuspectAnnouncement, ...]:
        """Say that the upstream died; the reports of all that ran then count as one death."""
        return self._died(self.run)


class IsolationGate:
    """Decides who may enter the upstream of one side.

    A suspect waits until nothing runs, and nothing enters while it waits and runs. After
    `CLOSED_MS` of this the gate is open to all other work for `OPEN_MS`.
    """

    __slots__ = (
        "_app",
        "_changed",
        "_closed_ms",
        "_open_until_ms",
        "_running",
        "_suspect",
        "_waiting",
    )

    def __init__(self, *, app: Application, running: RunningSet) -> None:
        self._app = app
        self._running = running
        self._changed = asyncio.Event()
        self._suspect: ActiveRun | None = None
        self._waiting: deque[object] = deque()
        self._closed_ms: int | None = None
        self._open_until_ms = 0

    @property
    def waiting(self) -> int:
        """Return the number of suspects that wait."""
        return len(self._waiting)

    @property
    def isolating(self) -> bool:
        """Return whether a suspect runs alone."""
        return self._suspect is not None

    async def async_enter(
        self, *, digest: int, judge: Judge, cancelled: asyncio.Event
    ) -> ActiveRun | Refused:
        """Wait for the turn of a request; the verdict may change while it waits."""
        verdict = judge()
        if isinstance(verdict, Refused):
            return verdict
        if isinstance(verdict, Suspect):
            entered = await self._async_enter_alone(digest, judge, cancelled)
            if not isinstance(entered, Clear):
                return entered
        return await self._async_enter_shared(digest, cancelled)

    def note_changed(self) -> None:
        """Let everyone who waits look again: a run has ended or a verdict may have changed."""
        if self._suspect is not None and (self._suspect.dead or not len(self._running)):
            self._suspect = None
        if self._suspect is None:
            self._settle_phase()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _async_enter_shared(
        self, digest: int, cancelled: asyncio.Event
    ) -> ActiveRun | Refused:
        deadline_ms = self._app.clock.now_ms() + SHARED_WAIT_MS
        while self._is_closed():
            if cancelled.is_set() or self._app.clock.now_ms() >= deadline_ms:
                return _make_busy()
            await self._async_wait_for_change(cancelled, deadline_ms)
        return self._running.start(digest)

    async def _async_enter_alone(
        self, digest: int, judge: Judge, cancelled: asyncio.Event
    ) -> Clear | Refused | ActiveRun:
        if len(self._waiting) >= MAX_WAITING:
            return _make_busy()
        ticket = object()
        self._waiting.append(ticket)
        try:
            return await self._async_wait_alone(ticket, digest, judge, cancelled)
        finally:
            self._waiting.remove(ticket)
            self.note_changed()

    async def _async_wait_alone(
        self, ticket: object, digest: int, judge: Judge, cancelled: asyncio.Event
    ) -> Clear | Refused | ActiveRun:
        deadline_ms = self._app.clock.now_ms() + ALONE_WAIT_MS
        while True:
            verdict = judge()
            if not isinstance(verdict, Suspect):
                return verdict
            now_ms = self._app.clock.now_ms()
            if self._may_isolate(ticket, now_ms):
                self._suspect = self._running.start(digest)
                return self._suspect
            if cancelled.is_set() or now_ms >= deadline_ms:
                return _make_busy()
            wake_ms = self._open_until_ms if self._open_until_ms > now_ms else deadline_ms
            await self._async_wait_for_change(cancelled, min(wake_ms, deadline_ms))

    def _may_isolate(self, ticket: object, now_ms: int) -> bool:
        if self._suspect is not None or now_ms < self._open_until_ms:
            return False
        if self._closed_ms is None:
            self._closed_ms = now_ms
        return self._waiting[0] is ticket and not len(self._running)

    def _is_closed(self) -> bool:
        if self._suspect is not None:
            return True
        return bool(self._waiting) and self._app.clock.now_ms() >= self._open_until_ms

    def _settle_phase(self) -> None:
        """Open the gate for a while if it was closed for long, or if no suspect waits."""
        now_ms = self._app.clock.now_ms()
        if self._closed_ms is None:
            return
        if not self._waiting:
            self._closed_ms = None
        elif not len(self._running) and now_ms - self._closed_ms >= CLOSED_MS:
            self._closed_ms = None
            self._open_until_ms = now_ms + OPEN_MS

    async def _async_wait_for_change(self, cancelled: asyncio.Event, until_ms: int) -> None:
        delay_ms = max(0, until_ms - self._app.clock.now_ms())
        waits = (self._changed.wait(), cancelled.wait(), self._app.clock.async_sleep(delay_ms))
        tasks = [asyncio.ensure_future(wait) for wait in waits]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()


def _make_busy() -> Refused:
    return Refused(
        reason=Reason.SUSPECT_BUSY,
        message="a request that may crash the upstream runs alone there",
        retry_after_ms=BUSY_RETRY_MS,
        elsewhere=True,
    )
