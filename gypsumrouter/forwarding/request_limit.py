"""Time limit of one request, which the end of a stop brings forward."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from aiohttp import web

from gypsumrouter.const import MS_PER_S

# Rounds of the event loop from the arrival of an answer to the request that waits for it.
READING_ROUNDS: Final = 6


class RequestLimit:
    """Ends one request at its deadline, or before that as its process stops."""

    __slots__ = ("_answered_at_s", "_ends_at_s", "_scope", "_timer", "is_stopped")

    def __init__(self) -> None:
        self._scope: asyncio.Timeout | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ends_at_s = 0.0
        # The limit once an answer has begun, by the clock of the event loop.
        self._answered_at_s = 0.0
        # Whether the end of a stop has ended the request.
        self.is_stopped = False

    async def async_run(
        self,
        attempts: Coroutine[Any, Any, web.StreamResponse],
        *,
        remaining_ms: int,
        unanswered_ms: int,
    ) -> web.StreamResponse:
        """Return the response of the attempts; raises TimeoutError at the limit.

        The limit is `unanswered_ms` until an answer begins, and `remaining_ms` from then on.
        """
        begun_s = asyncio.get_running_loop().time()
        self._answered_at_s = begun_s + max(0, remaining_ms) / MS_PER_S
        try:
            async with asyncio.timeout(None) as self._scope:
                self._set_timer(begun_s + max(0, unanswered_ms) / MS_PER_S)
                return await attempts
        finally:
            self._scope = None
            if self._timer is not None:
                self._timer.cancel()

    def _set_timer(self, ends_at_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._ends_at_s = ends_at_s
        self._timer = asyncio.get_running_loop().call_at(ends_at_s, self._end_after_reading)

    def _end_after_reading(self, rounds: int = READING_ROUNDS) -> None:
        """End the request once what has arrived by now was read: a busy process is late at both."""
        if rounds:
            asyncio.get_running_loop().call_soon(self._end_after_reading, rounds - 1)
        else:
            self._end()

    def _end(self) -> None:
        if self._scope is not None and not self._scope.expired():
            self._scope.reschedule(asyncio.get_running_loop().time())

    def note_answer_begun(self) -> None:
        """Bring the limit forward to that of an answer that has begun."""
        if self._scope is not None and self._ends_at_s > self._answered_at_s:
            self._set_timer(self._answered_at_s)

    def end_for_stop(self) -> None:
        """End the request now, if it runs."""
        if self._scope is not None and not self._scope.expired():
            self.is_stopped = True
            self._end()
