"""Gate in front of an upstream: suspects run alone, other requests run concurrently."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from gypsumrouter.core import Application
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion.const import (
    BUSY_RETRY_MS,
    GATE_CLOSED_MS,
    GATE_OPEN_MS,
    ISOLATED_WAIT_MS,
    MAX_WAITING_SUSPECTS,
    SHARED_WAIT_MS,
)
from gypsumrouter.suspicion.outcomes import Clear, Suspect, Verdict
from gypsumrouter.suspicion.running import ActiveRun, RunningSet

GetVerdict = Callable[[], Verdict]


class RunPermit:
    """Permission to run one request at the upstream, ended by `end`."""

    __slots__ = ("_on_crash", "_on_end", "run")

    def __init__(
        self,
        *,
        run: ActiveRun,
        on_end: Callable[[ActiveRun, bool], None],
        on_crash: Callable[[ActiveRun], tuple[SuspectAnnouncement, ...]],
    ) -> None:
        self.run = run
        self._on_end = on_end
        self._on_crash = on_crash

    def end(self, *, complete: bool) -> None:
        """End the run and record whether its response was complete; idempotent."""
        self._on_end(self.run, complete)

    def report_crash(self) -> tuple[SuspectAnnouncement, ...]:
        """Report that the upstream crashed; the reports of concurrent runs count as one crash."""
        return self._on_crash(self.run)


class IsolationGate:
    """Decides when a request may run at the upstream of a side.

    A suspect waits until no request runs, and no other request is admitted while it waits or runs.
    When the gate has been closed for `GATE_CLOSED_MS`, it admits other requests for `GATE_OPEN_MS`.
    """

    __slots__ = (
        "_app",
        "_changed",
        "_closed_since_ms",
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
        self._closed_since_ms: int | None = None
        self._open_until_ms = 0

    @property
    def waiting(self) -> int:
        """Return the number of waiting suspects."""
        return len(self._waiting)

    @property
    def isolating(self) -> bool:
        """Return whether a suspect is running in isolation."""
        return self._suspect is not None

    async def async_enter(
        self, *, digest: int, get_verdict: GetVerdict, cancelled: asyncio.Event
    ) -> ActiveRun | Refused:
        """Wait until a request may run; its verdict is re-evaluated while it waits."""
        verdict = get_verdict()
        if isinstance(verdict, Refused):
            return verdict
        if isinstance(verdict, Suspect):
            entered = await self._async_enter_isolated(digest, get_verdict, cancelled)
            if not isinstance(entered, Clear):
                return entered
        return await self._async_enter_shared(digest, cancelled)

    def notify_waiters(self) -> None:
        """Wake up all waiters after the end of a run or a possible change of verdicts."""
        if self._suspect is not None and (self._suspect.crashed or not len(self._running)):
            self._suspect = None
        if self._suspect is None:
            self._update_phase()
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

    async def _async_enter_isolated(
        self, digest: int, get_verdict: GetVerdict, cancelled: asyncio.Event
    ) -> Clear | Refused | ActiveRun:
        if len(self._waiting) >= MAX_WAITING_SUSPECTS:
            return _make_busy()
        ticket = object()
        self._waiting.append(ticket)
        try:
            return await self._async_wait_isolated(ticket, digest, get_verdict, cancelled)
        finally:
            self._waiting.remove(ticket)
            self.notify_waiters()

    async def _async_wait_isolated(
        self, ticket: object, digest: int, get_verdict: GetVerdict, cancelled: asyncio.Event
    ) -> Clear | Refused | ActiveRun:
        deadline_ms = self._app.clock.now_ms() + ISOLATED_WAIT_MS
        while True:
            verdict = get_verdict()
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
        if self._closed_since_ms is None:
            self._closed_since_ms = now_ms
        return self._waiting[0] is ticket and not len(self._running)

    def _is_closed(self) -> bool:
        if self._suspect is not None:
            return True
        return bool(self._waiting) and self._app.clock.now_ms() >= self._open_until_ms

    def _update_phase(self) -> None:
        """Open the gate if no suspect waits, or after `GATE_CLOSED_MS` for `GATE_OPEN_MS`."""
        now_ms = self._app.clock.now_ms()
        if self._closed_since_ms is None:
            return
        if not self._waiting:
            self._closed_since_ms = None
        elif not len(self._running) and now_ms - self._closed_since_ms >= GATE_CLOSED_MS:
            self._closed_since_ms = None
            self._open_until_ms = now_ms + GATE_OPEN_MS

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
        reason=Reason.SUSPECT_ISOLATED,
        message="a request that may crash the upstream runs alone there",
        retry_after_ms=BUSY_RETRY_MS,
        elsewhere=True,
    )
