"""Turns of streams that have more to relay than their share of a round of the event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

# A longer part is more than the events of a sound stream in a round of the event loop. Streams
# that go on without end bring such parts one behind the other.
MAX_SHARE_BYTES: Final = 4 * 1024
# What is read of a stream at a time, and so relayed in a turn.
MAX_PART_BYTES: Final = 16 * 1024


class RelayTurns:
    """Lets one such stream go on in each round of the event loop, in the order in which they wait.

    All of them together hold up other requests no longer than one of them would.
    """

    __slots__ = ("_is_scheduled", "_waiters")

    def __init__(self) -> None:
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def async_wait(self, relayed_bytes: int) -> None:
        """Wait for a turn if the part that a stream has relayed was more than its share."""
        if relayed_bytes <= MAX_SHARE_BYTES:
            return
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiters.append(turn)
        if not self._is_scheduled:
            self._schedule(loop)
        await turn

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = True
        loop.call_soon(self._begin_turn, loop)

    def _begin_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        while self._waiters:
            turn = self._waiters.popleft()
            # Those of requests that have ended meanwhile are cancelled.
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiters:
            self._schedule(loop)
