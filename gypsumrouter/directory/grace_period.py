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
    expire. It is measured in responsive time, that is the time in which the store responds, because
    upstreams cannot register otherwise. What was deferred once does not wait longer because the
    period begins anew.
    """

    __slots__ = (
        "_began_ms",
        "_clock",
        "_counted_ms",
        "_counting_since_ms",
        "_ends_at",
        "_journal",
        "_lost_ms",
        "_shortest_expiry_ms",
    )

    def __init__(self, *, clock: Clock, journal: Journal, shortest_expiry_ms: int) -> None:
        self._clock = clock
        self._journal = journal
        self._shortest_expiry_ms = shortest_expiry_ms
        self._began_ms = 0
        # Responsive time when the period ends; None outside a period.
        self._ends_at: int | None = None
        self._counted_ms = 0
        self._lost_ms = 0
        # None while the store is unavailable.
        self._counting_since_ms: int | None = clock.now_ms()

    @property
    def active(self) -> bool:
        """Return whether upstreams may be missing, or the store is unavailable."""
        return self._ends_at is not None or self.in_outage

    @property
    def in_outage(self) -> bool:
        """Return whether the store is unavailable."""
        return self._counting_since_ms is None

    @property
    def responsive_ms(self) -> int:
        """Return the time for which the store has responded since the start."""
        if self._counting_since_ms is None:
            return self._counted_ms
        return self._counted_ms + self._clock.now_ms() - self._counting_since_ms

    @property
    def due_at(self) -> int:
        """Return the responsive time at which a change that is deferred now may be applied."""
        return self.responsive_ms + RECOVERY_GRACE_MS if self._ends_at is None else self._ends_at

    def note_outage(self) -> None:
        """Record that the store is unavailable."""
        self._counted_ms = self.responsive_ms
        self._counting_since_ms = None
        self._lost_ms = self._clock.now_ms()

    def note_recovered(self, *, silent_ms: int) -> None:
        """Record that the store is available again, after it was silent for `silent_ms`."""
        if not self.in_outage:
            return
        now_ms = self._clock.now_ms()
        self._counting_since_ms = now_ms
        if silent_ms >= self._shortest_expiry_ms:
            # The store was already silent for a time when the outage was noticed.
            unnoticed_ms = silent_ms - (now_ms - self._lost_ms)
            self._counted_ms = max(0, self._counted_ms - max(0, unnoticed_ms))
            self._begin("outage")

    def note_restored(self) -> None:
        """Record that the store was restored from a backup."""
        self._begin("restored")

    def end_if_over(self, *, deferred: int) -> None:
        """End the period if its time is over; `deferred` is the number of changes that wait."""
        if self._ends_at is not None and self.responsive_ms >= self._ends_at:
            self._ends_at = None
            self._record(active=False, reason="over", deferred=deferred)

    def _begin(self, reason: str) -> None:
        if self._ends_at is None:
            self._began_ms = self._clock.now_ms()
            self._record(active=True, reason=reason)
        self._ends_at = self.responsive_ms + RECOVERY_GRACE_MS

    def _record(self, *, active: bool, reason: str, deferred: int = 0) -> None:
        self._journal.record(
            GracePeriodChanged(
                active=active,
                reason=reason,
                lasted_ms=self._clock.now_ms() - self._began_ms,
                deferred=deferred,
            )
        )
