"""Time limit of one request, which the end of a stop brings forward."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from aiohttp import web

from gypsumrouter.const import MS_PER_S


class RequestLimit:
    """Ends one request at its deadline, or before that as its process stops."""

    __slots__ = ("_answered_at_s", "_scope", "is_stopped")

    def __init__(self) -> None:
        self._scope: asyncio.Timeout | None = None
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
            async with asyncio.timeout(max(0, unanswered_ms) / MS_PER_S) as self._scope:
                return await attempts
        finally:
            self._scope = None

    def note_answer_begun(self) -> None:
        """Bring the limit forward to that of an answer that has begun."""
        scope = self._scope
        if scope is None or scope.expired():
            return
        present_s = scope.when()
        if present_s is None or present_s > self._answered_at_s:
            scope.reschedule(self._answered_at_s)

    def end_for_stop(self) -> None:
        """End the request now, if it runs."""
        if self._scope is not None and not self._scope.expired():
            self.is_stopped = True
            self._scope.reschedule(asyncio.get_running_loop().time())
