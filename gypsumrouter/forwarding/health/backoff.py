"""Back-off of upstreams at capacity, which named a time before which not to retry.

A request that is sent earlier would be rejected again, at the cost of a round trip.
"""

from __future__ import annotations

from typing import Final

from gypsumrouter.journal import Journal, UpstreamResting
from gypsumrouter.util.clock import Clock

# Upper bound on the back-off requested by one response.
MAX_BACKOFF_MS: Final = 600_000


class BackoffTracker:
    """The end of each upstream's back-off, from responses to this router's requests."""

    __slots__ = ("_clock", "_journal", "_until_ms")

    def __init__(self, *, clock: Clock, journal: Journal) -> None:
        self._clock = clock
        self._journal = journal
        self._until_ms: dict[str, int] = {}

    def note(self, upstream: str, *, backoff_ms: int) -> None:
        """Start or extend the back-off of an upstream; it is never shortened.

        Responses to concurrent requests arrive in any order.
        """
        backoff_ms = min(backoff_ms, MAX_BACKOFF_MS)
        until_ms = self._clock.now_ms() + backoff_ms
        if until_ms <= self._until_ms.get(upstream, 0):
            return
        self._until_ms[upstream] = until_ms
        self._journal.record(UpstreamResting(upstream=upstream, rest_ms=backoff_ms))

    def is_backing_off(self, upstream: str) -> bool:
        """Return whether an upstream must not receive requests now."""
        return self.get_remaining_ms(upstream) > 0

    def get_remaining_ms(self, upstream: str) -> int:
        """Return the remaining back-off of an upstream; 0 if there is none."""
        until_ms = self._until_ms.get(upstream)
        return 0 if until_ms is None else max(0, until_ms - self._clock.now_ms())

    def sweep(self) -> None:
        """Drop back-offs that have ended; call this about once a second.

        Back-offs of removed upstreams stay: the directory entry may only have expired.
        """
        now_ms = self._clock.now_ms()
        for upstream, until_ms in tuple(self._until_ms.items()):
            if until_ms <= now_ms:
                del self._until_ms[upstream]
