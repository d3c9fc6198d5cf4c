"""The end of a connection, also where it comes while nothing is read of it."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Final

from aiohttp.base_protocol import BaseProtocol

# The kernel reports POLLHUP and POLLERR in any case.
END_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# While reading is paused, the end is looked for at this interval.
END_LOOK_S: Final = 0.02


def has_peer_ended(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer has closed or reset a connection, even behind unread bytes."""
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(connection.fileno(), END_EVENTS)
    return bool(poller.poll(0))


class WatchedProtocol(BaseProtocol):
    """A connection that notes when its peer ends it."""

    __slots__ = ("_look_handle", "_on_pause", "ended_ms", "on_end", "on_part", "was_paused")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        # When the peer closed or reset it (monotonic milliseconds), 0 before. `on_end` sets it, and
        # is called once then.
        self.ended_ms = 0
        self.on_end: Callable[[], None] | None = None
        # Called with each part that arrives.
        self.on_part: Callable[[], None] | None = None
        # Whether its reading has been paused: since then, what is read may have been sent long ago.
        self.was_paused = False
        self._on_pause: Callable[[], None] | None = None
        self._look_handle: asyncio.TimerHandle | None = None

    def watch_pauses(self, on_pause: Callable[[], None]) -> None:
        """Look for the end while reading is paused; `on_pause` is called at each pause."""
        self._on_pause = on_pause
        if self._reading_paused:
            self._watch_pause(on_pause)

    def pause_reading(self) -> None:
        """Stop reading until what was received has been taken."""
        super().pause_reading()
        self.was_paused = True
        if self._on_pause is not None:
            self._watch_pause(self._on_pause)

    def _watch_pause(self, on_pause: Callable[[], None]) -> None:
        on_pause()
        if self._look_handle is None:
            self._look_for_end()

    def may_have_ended(self) -> bool:
        """Return whether the peer has ended it, or may have, as reading is paused."""
        return self._reading_paused or self.ended_ms != 0 or has_peer_ended(self.transport)

    def _look_for_end(self) -> None:
        self._look_handle = None
        if not self._reading_paused or self.transport is None or self.ended_ms:
            return
        if has_peer_ended(self.transport):
            self._note_end()
        else:
            self._look_handle = self._loop.call_later(END_LOOK_S, self._look_for_end)

    def _note_end(self) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end()
