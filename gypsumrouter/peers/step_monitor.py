"""Records when this router falls out of step with the store, or has stood still, and its return."""

from __future__ import annotations

from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.journal import Journal, ListOutdated, ListRefreshed, ProcessPaused
from gypsumrouter.published import WatchState

CHECK_INTERVAL_MS: Final = 100
# A watch of the list returns within 1.2 s while the store responds.
OUTDATED_MS: Final = 1_500
# A process that is merely busy wakes up sooner.
PAUSED_MS: Final = 300


class StepMonitor:
    """Watches the age of the list of upstreams, and for how long this process did not run."""

    __slots__ = ("_app", "_checked_ms", "_journal", "_list", "_outdated_since_ms")

    def __init__(self, *, app: Application, journal: Journal, upstreams: WatchState) -> None:
        self._app = app
        self._journal = journal
        self._list = upstreams
        self._checked_ms = app.clock.now_ms()
        self._outdated_since_ms: int | None = None

    def async_start(self) -> None:
        """Start to watch."""
        self._checked_ms = self._app.clock.now_ms()
        self._app.async_create_task(self._async_run(), "watch for lost steps")

    async def _async_run(self) -> None:
        while True:
            await self._app.clock.async_sleep(CHECK_INTERVAL_MS)
            self.check()

    def check(self) -> None:
        """Compare the clock and the age of the list with those of the last check."""
        now_ms = self._app.clock.now_ms()
        paused_ms = now_ms - self._checked_ms - CHECK_INTERVAL_MS
        self._checked_ms = now_ms
        self._list.note_running()
        if paused_ms >= PAUSED_MS:
            self._journal.record(ProcessPaused(paused_ms=paused_ms))
        if self._list.as_of is not None:
            self._check_list(now_ms)

    def _check_list(self, now_ms: int) -> None:
        age_ms = self._list.response_age_ms
        if age_ms > OUTDATED_MS and self._outdated_since_ms is None:
            self._outdated_since_ms = self._list.responded_ms
            self._journal.record(ListOutdated(list_age_ms=age_ms))
        elif age_ms <= OUTDATED_MS and self._outdated_since_ms is not None:
            lasted_ms = now_ms - self._outdated_since_ms
            self._outdated_since_ms = None
            self._journal.record(ListRefreshed(list_age_ms=age_ms, lasted_ms=lasted_ms))
