"""The revision to which a list is known, and whether a peer watches it for this router."""

from __future__ import annotations

import random
from typing import Final

from gypsumrouter.util.clock import Clock

# A peer's report that it watches is valid for this long, which is more than three report intervals.
# After that this router watches the store itself.
PEER_WATCH_VALID_MS: Final = 1_000
# Longest time between two responses of the store to a watch of the list, whose changes have to be
# known soon. With the time to notice a silent connection and to open a new one, it is shorter than
# an outage in which entries expire.
LIST_WATCH_TIMEOUT_MS: Final = 1_200
LIST_RESPONSE_TIMEOUT_MS: Final = 800
# A report is valid only for this long after the store's last response to the peer's watch of the
# list, which is when that watch fails. A watch of the configuration that lost its response fails
# up to 2 s later, so that the list shows a cut connection sooner for both.
PEER_RESPONSE_VALID_MS: Final = LIST_WATCH_TIMEOUT_MS + LIST_RESPONSE_TIMEOUT_MS
# A starting router delays its first watch by this time, in which a peer that watches can report.
# Its list was just read in full, so the delay makes no change late.
STARTUP_DEFER_MS: Final = 500
# Jitter for routers that lose their watching peer at the same time and begin to watch themselves.
# With the longest time for which a report is valid after the store's last response (2 s) it is
# shorter than an outage in which entries expire (2.4 s): the loss of the watchers does not look
# like one.
TAKEOVER_JITTER_MS: Final = 150
# A process that has not run for longer may read what was sent to it as long ago.
MAX_PAUSE_MS: Final = 400
# Time of an event that has not happened.
_NEVER_MS: Final = -(1 << 62)


class WatchState:
    """State that a list's follower shares with the exchange between peers.

    `as_of` is the revision up to which all changes of the list are known, None before the first
    read. `available` is whether the store responded to the last request, `responded_ms` is when it
    last responded to this router or, by its own report, to a peer that watches.
    """

    __slots__ = (
        "_clock",
        "_peer_watching_until_ms",
        "_ran_ms",
        "as_of",
        "available",
        "responded_ms",
    )

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._peer_watching_until_ms = 0
        self.as_of: int | None = None
        self.available = True
        self.responded_ms = _NEVER_MS
        self._ran_ms: int | None = None

    @property
    def current(self) -> bool:
        """Return whether this router's own reads of the list are up to date."""
        return self.available and self.as_of is not None

    @property
    def peer_watching(self) -> bool:
        """Return whether a peer recently reported that it watches the list."""
        return self._clock.now_ms() < self._peer_watching_until_ms

    def defer_to_peers(self) -> None:
        """Delay the first watch after the start, so that a watching peer can report first."""
        self._peer_watching_until_ms = self._clock.now_ms() + STARTUP_DEFER_MS

    @property
    def response_age_ms(self) -> int:
        """Return the time since the store last responded."""
        return self._clock.now_ms() - self.responded_ms

    def note_response(self) -> None:
        """Record that the store has responded to this router.

        What is read behind a pause of this process may have come at its beginning.
        """
        now_ms = self._clock.now_ms()
        if self._ran_ms is not None and now_ms - self._ran_ms > MAX_PAUSE_MS:
            now_ms = self._ran_ms
        self.responded_ms = max(self.responded_ms, now_ms)

    def note_running(self) -> None:
        """Record that this process runs; to be called several times a second, or never."""
        self._ran_ms = self._clock.now_ms()

    def note_confirmed(self, asked_ms: int) -> None:
        """Record that the store has answered a question that a peer asked later than `asked_ms`."""
        self.responded_ms = max(self.responded_ms, asked_ms)

    def note_peer_watching(self, *, response_age_ms: int) -> None:
        """Record that a peer watches the list, and when the store last responded to it."""
        now_ms = self._clock.now_ms()
        responded_ms = now_ms - response_age_ms
        until_ms = min(now_ms + PEER_WATCH_VALID_MS, responded_ms + PEER_RESPONSE_VALID_MS)
        # Another peer's watch may have been answered since.
        self._peer_watching_until_ms = max(self._peer_watching_until_ms, until_ms)
        self.responded_ms = max(self.responded_ms, responded_ms)

    def advance(self, as_of: int) -> None:
        """Record that all changes up to `as_of` are known; no effect before the first read."""
        if self.as_of is not None:
            self.as_of = max(self.as_of, as_of)

    async def async_wait_until_needed(self) -> None:
        """Wait until no peer watches the list."""
        while (left_ms := self._peer_watching_until_ms - self._clock.now_ms()) > 0:
            await self._clock.async_sleep(left_ms + random.randint(0, TAKEOVER_JITTER_MS))
