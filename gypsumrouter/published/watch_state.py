"""How far one list of the store is known, and whether this router has to watch it itself."""

from __future__ import annotations

import random
from typing import Final

from gypsumrouter.util.clock import Clock

# A peer's word that it watches counts for this long: three of its periods and some. A change is in
# force within two seconds of its acknowledgement at the tightest, so that a router whose peers fell
# silent has as long again to ask the store itself.
PEER_WATCH_VALID_MS: Final = 1_000
# A router that starts hears of its neighbours within this time, and need not watch if one of them
# does. Nothing is late by it: what it read of the list a moment ago is as new as its neighbours'.
STARTUP_DEFER_MS: Final = 500
# Routers whose watchers are lost at the same moment turn to the store over this span.
TAKEOVER_JITTER_MS: Final = 300


class WatchState:
    """What the follower of a list and its peers know together.

    `as_of` is the revision up to which every change of the list is known; None before it was read.
    `available` says that the store answered the last call.
    """

    __slots__ = ("_clock", "_peer_watching_until_ms", "as_of", "available")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._peer_watching_until_ms = 0
        self.as_of: int | None = None
        self.available = True

    @property
    def current(self) -> bool:
        """Return whether this router knows by its own calls what the list says now."""
        return self.available and self.as_of is not None

    @property
    def peer_watching(self) -> bool:
        """Return whether a peer said a moment ago that it watches."""
        return self._clock.now_ms() < self._peer_watching_until_ms

    def defer_to_peers(self) -> None:
        """Give peers time to vouch, where this router has just started and may have some."""
        self._peer_watching_until_ms = self._clock.now_ms() + STARTUP_DEFER_MS

    def note_peer_watching(self) -> None:
        """Note that a peer watches the list and tells what changes."""
        self._peer_watching_until_ms = self._clock.now_ms() + PEER_WATCH_VALID_MS

    def advance(self, as_of: int) -> None:
        """Note that every change up to `as_of` is known; a list that was not read stays unread."""
        if self.as_of is not None:
            self.as_of = max(self.as_of, as_of)

    async def async_wait_until_needed(self) -> None:
        """Return once no peer vouches for the list."""
        while (left_ms := self._peer_watching_until_ms - self._clock.now_ms()) > 0:
            await self._clock.async_sleep(left_ms + random.randint(0, TAKEOVER_JITTER_MS))
