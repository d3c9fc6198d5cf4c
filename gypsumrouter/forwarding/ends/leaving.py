"""Ends of answers whose upstream refuses connections: whether its process has gone on behind them.

A refused connection proves that nothing listens, and not that the process has ended: one that
leaves in order closes its listener first and then writes its answers to their ends.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.forwarding.ends.listeners import LeavingListeners
from gypsumrouter.forwarding.ends.timing import EndTiming
from gypsumrouter.forwarding.ends.verdicts import EndVerdict
from gypsumrouter.forwarding.ends.watches import LOSS_MS, SETTLE_MS, EndWatch

# How long others' parts are waited for behind the time within which a process loses all answers.
GOES_ON_MS: Final = 500
LOOK_MS: Final = 20
# Part of a service's whole answers that end in a pause, above which a pause shows nothing.
LATE_SHARE: Final = 0.25
# Ends of a service that are counted; both counts are halved then.
MAX_COUNTED: Final = 64
# Pause between two looks for answers that have ended long ago.
SWEEP_PAUSE_MS: Final = 1_000


class EndCounts(Struct):
    """Whole answers of a service that have ended with their connection, and those in a pause."""

    ends: int = 0
    late: int = 0

    def note(self, timing: EndTiming) -> None:
        """Count one."""
        self.ends += 1
        self.late += timing is EndTiming.IN_PAUSE
        if self.ends >= MAX_COUNTED:
            self.ends, self.late = self.ends // 2, self.late // 2

    @property
    def often_late(self) -> bool:
        """Return whether many ended in a pause."""
        return self.late > self.ends * LATE_SHARE


class RefusedEnds:
    """Knows the answers that end with their connection, and judges ends behind closed listeners."""

    __slots__ = ("_answers", "_app", "_counts", "_listeners", "_swept_ms")

    def __init__(self, *, app: Application, pool: ConnectionPool, directory: Directory) -> None:
        self._app = app
        self._listeners = LeavingListeners(app=app, pool=pool, directory=directory)
        # Answers under way, and those that have ended a moment ago, by incarnation.
        self._answers: dict[str, list[EndWatch]] = {}
        self._counts: dict[str, EndCounts] = {}
        self._swept_ms = 0

    def add(self, watch: EndWatch) -> None:
        """Follow an answer from its head."""
        self._sweep()
        self._answers.setdefault(watch.entry.incarnation, []).append(watch)
        self._listeners.note_unframed(watch.entry)

    def note_whole(self, watch: EndWatch) -> None:
        """Note an answer that is whole by the word of its upstream."""
        if watch.timing is not EndTiming.UNKNOWN:
            self._counts.setdefault(watch.entry.service, EndCounts()).note(watch.timing)

    async def async_judge(self, watch: EndWatch, *, is_leaving: bool, may_wait: bool) -> EndVerdict:
        """Return what an end shows whose upstream has refused a connection behind it.

        With `may_wait` others of its answers are waited for, for about a second at most.
        """
        clock = self._app.clock
        ended_ms = watch.connection.ended_ms or clock.now_ms()
        await clock.async_sleep(max(0, ended_ms + SETTLE_MS - clock.now_ms()))
        if is_leaving and self._has_left(watch, ended_ms):
            return EndVerdict.LEFT
        if may_wait and await self._async_goes_on(watch, ended_ms, is_leaving=is_leaving):
            return EndVerdict.GOES_ON
        return EndVerdict.REFUSED

    def _has_left(self, watch: EndWatch, ended_ms: int) -> bool:
        """Return whether an upstream without a listener has written an answer to its end.

        Answers that end beside it, in a pause, show the end of the process.
        """
        closed_ms = self._listeners.get_closed_ms(watch.entry)
        if closed_ms is None or watch.alive_ms < closed_ms + SETTLE_MS:
            return False
        beside = [
            other
            for other in self._answers.get(watch.entry.incarnation, ())
            if other is not watch and abs(other.connection.ended_ms - ended_ms) <= SETTLE_MS
        ]
        if watch.timing is EndTiming.IN_PAUSE:
            return not beside and self._is_often_late(watch)
        if watch.timing is EndTiming.UNKNOWN:
            return False
        return self._is_often_late(watch) or all(
            other.timing is not EndTiming.IN_PAUSE for other in beside
        )

    def _is_often_late(self, watch: EndWatch) -> bool:
        counts = self._counts.get(watch.entry.service)
        return counts is not None and counts.often_late

    async def _async_goes_on(self, watch: EndWatch, ended_ms: int, *, is_leaving: bool) -> bool:
        """Return whether parts of other answers arrive once a process would have lost them all."""
        clock = self._app.clock
        after_ms = ended_ms + (SETTLE_MS if is_leaving else LOSS_MS)
        # Where reading was paused, what arrives now may have been sent long ago.
        others = [
            other
            for other in self._answers.get(watch.entry.incarnation, ())
            if other is not watch and not other.paused_ms
        ]
        while clock.now_ms() <= after_ms + GOES_ON_MS:
            if any(not other.paused_ms and other.arrivals.last_ms > after_ms for other in others):
                return True
            if not any(other.is_under_way for other in others):
                return False
            await clock.async_sleep(LOOK_MS)
        return False

    def _sweep(self) -> None:
        """Forget answers that have ended, once nothing can end beside them any more."""
        now_ms = self._app.clock.now_ms()
        if now_ms - self._swept_ms < SWEEP_PAUSE_MS:
            return
        self._swept_ms = now_ms
        first_ms = now_ms - LOSS_MS - 2 * GOES_ON_MS
        for incarnation, answers in tuple(self._answers.items()):
            kept = [
                watch
                for watch in answers
                if watch.is_under_way or watch.connection.ended_ms > first_ms
            ]
            if kept:
                self._answers[incarnation] = kept
            else:
                del self._answers[incarnation]
