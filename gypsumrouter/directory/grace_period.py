"""Grace period after an outage or a restore of the store, in which its list may lack upstreams."""

from __future__ import annotations

from typing import Final

from gypsumrouter.journal import GracePeriodChanged, Journal
from gypsumrouter.util.clock import Clock

# Upstreams whose entries expired or were lost register again within about two seconds after an
# outage or a restore of the store.
RECOVERY_GRACE_MS: Final = 2_300


class GracePeriod:
    """Whether upstreams may be missing from the store's list although they are running.

    It begins with a restore of the store, or when it was silent for as long as it takes an entry to
    expire. Only the time in which the store responds counts, because upstreams cannot register
    otherwise; a short loss of the connection interrupts the period, but does not start it anew.
    """

    __slots__ = (
        "_began_ms",
        "_clock",
        "_counting_since_ms",
        "_journal",
        "_left_ms",
        "_shortest_expiry_ms",
    )

    def __init__(self, *, clock: Clock, journal: Journal, shortest_expiry_ms: int) -> None:
        self._clock = clock
        self._journal = journal
        self._shortest_expiry_ms = shortest_expiry_ms
        self._began_ms = 0
        # Time left when counting began; None outside a grace period.
        self._left_ms: int | None = None
        # None while the store is unavailable.
        self._counting_since_ms: int | None = clock.now_ms()

    @property
    def active(self) -> bool:
        """Return whether upstreams may be missing, or the store is unavailable."""
        return self._left_ms is not None or self.in_outage

    @property
    def in_outage(self) -> bool:
        """Return whether the store is unavailable."""
        return self._counting_since_ms is None

    def note_outage(self) -> None:
        """Record that the store is unavailable."""
        if self._left_ms is not None:
            self._left_ms = self._get_left_ms()
        self._counting_since_ms = None

    def note_recovered(self, *, silent_ms: int) -> None:
        """Record that the store is available again, after it was silent for `silent_ms`."""
        if not self.in_outage:
            return
        self._counting_since_ms = self._clock.now_ms()
        if silent_ms >= self._shortest_expiry_ms:
            self._begin("outage")

    def note_restored(self) -> None:
        """Record that the store was restored from a backup."""
        if not self.in_outage:
            self._counting_since_ms = self._clock.now_ms()
        self._begin("restored")

    def end_if_over(self, *, deferred: int) -> bool:
        """End the period if its time is over, and return whether deferred changes may be applied.

        `deferred` is the number of changes that waited for it.
        """
        if self.in_outage or self._get_left_ms() > 0:
            return False
        if self._left_ms is not None:
            self._left_ms = None
            self._record(active=False, reason="over", deferred=deferred)
        return True

    def _get_left_ms(self) -> int:
        if self._left_ms is None:
            return 0
        if self._counting_since_ms is None:
            return self._left_ms
        return self._left_ms - (self._clock.now_ms() - self._counting_since_ms)

    def _begin(self, reason: str) -> None:
        if self._left_ms is None:
            self._began_ms = self._clock.now_ms()
            self._record(active=True, reason=reason)
        self._left_ms = RECOVERY_GRACE_MS

    def _record(self, *, active: bool, reason: str, deferred: int = 0) -> None:
        self._journal.record(
            GracePeriodChanged(
                active=active,
                reason=reason,
                lasted_ms=self._clock.now_ms() - self._began_ms,
                deferred=deferred,
            )
        )
