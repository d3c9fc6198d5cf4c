"""Grace period after an outage or a restore of the store, in which its list may lack upstreams."""

from __future__ import annotations

from typing import Final

from gypsumrouter.journal import GracePeriodChanged, Journal
from gypsumrouter.util.clock import Clock

# Upstreams whose entries expired or were lost register again within about two seconds after an
# outage or a restore of the store.
RECOVERY_GRACE_MS: Final = 2_300
# End of the grace period while the outage lasts.
_NO_DEADLINE: Final = 1 << 62


class GracePeriod:
    """Whether upstreams may be missing from the store's list although they are running."""

    __slots__ = ("_began_ms", "_clock", "_journal", "_until_ms")

    def __init__(self, *, clock: Clock, journal: Journal) -> None:
        self._clock = clock
        self._journal = journal
        self._began_ms = 0
        self._until_ms: int | None = None

    @property
    def active(self) -> bool:
        """Return whether upstreams may be missing."""
        return self._until_ms is not None

    @property
    def in_outage(self) -> bool:
        """Return whether the store is unavailable."""
        return self._until_ms == _NO_DEADLINE

    def note_outage(self) -> None:
        """Record that the store is unavailable."""
        self._begin("outage")
        self._until_ms = _NO_DEADLINE

    def note_recovered(self) -> None:
        """Record that the store is available again."""
        if self.in_outage:
            self._until_ms = self._clock.now_ms() + RECOVERY_GRACE_MS

    def note_restored(self) -> None:
        """Record that the store was restored from a backup."""
        if not self.in_outage:
            self._begin("restored")
            self._until_ms = self._clock.now_ms() + RECOVERY_GRACE_MS

    def end_if_over(self, *, deferred: int) -> bool:
        """End the period if its time is over, and return whether it ended.

        `deferred` is the number of changes that waited for it.
        """
        if self._until_ms is None or self._clock.now_ms() < self._until_ms:
            return False
        self._until_ms = None
        self._record(active=False, reason="over", deferred=deferred)
        return True

    def _begin(self, reason: str) -> None:
        if not self.active:
            self._began_ms = self._clock.now_ms()
            self._record(active=True, reason=reason)

    def _record(self, *, active: bool, reason: str, deferred: int = 0) -> None:
        self._journal.record(
            GracePeriodChanged(
                active=active,
                reason=reason,
                lasted_ms=self._clock.now_ms() - self._began_ms,
                deferred=deferred,
            )
        )
