"""For how long upstreams want nothing from this router, by their own word.

Answers this load: an upstream that is full turns requests away and names a time to come back. Each
request that is offered to it meanwhile costs it a connection and the caller a round trip.
"""

from __future__ import annotations

from typing import Final

from gypsumrouter.journal import Journal, UpstreamResting
from gypsumrouter.util.clock import Clock

# No upstream is left alone for longer by one answer; one that still wants a rest says so again.
MAX_REST_MS: Final = 600_000


class BackoffTracker:
    """Until when each upstream is to be left alone by this router; other routers have their own."""

    __slots__ = ("_clock", "_journal", "_until_ms")

    def __init__(self, *, clock: Clock, journal: Journal) -> None:
        self._clock = clock
        self._journal = journal
        self._until_ms: dict[str, int] = {}

    def note(self, upstream: str, *, backoff_ms: int) -> None:
        """Note that an upstream wants nothing for so long; a shorter word shortens no earlier one.

        Answers of requests that were under way together come in any order.
        """
        backoff_ms = min(backoff_ms, MAX_REST_MS)
        until_ms = self._clock.now_ms() + backoff_ms
        if until_ms <= self._until_ms.get(upstream, 0):
            return
        self._until_ms[upstream] = until_ms
        self._journal.record(UpstreamResting(upstream=upstream, rest_ms=backoff_ms))

    def is_backing_off(self, upstream: str) -> bool:
        """Return whether an upstream is to be left alone now."""
        return self.get_remaining_ms(upstream) > 0

    def get_remaining_ms(self, upstream: str) -> int:
        """Return for how much longer an upstream is to be left alone."""
        until_ms = self._until_ms.get(upstream)
        return 0 if until_ms is None else max(0, until_ms - self._clock.now_ms())

    def sweep(self) -> None:
        """Forget rests that are over; call it about once a second.

        That an upstream's entry is gone ends no rest: the entry may only have lapsed.
        """
        now_ms = self._clock.now_ms()
        for upstream, until_ms in tuple(self._until_ms.items()):
            if until_ms <= now_ms:
                del self._until_ms[upstream]
