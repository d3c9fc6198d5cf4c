"""What this side has heard of the engines of its pool."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gypsumrouter.link.models import Holding
from gypsumrouter.orders.const import RESTAMP_MS, RESTAMP_MS_PER_MEMBER, STALE_RESTAMPS
from gypsumrouter.util.clock import Clock


@dataclass(slots=True, kw_only=True, frozen=True)
class Heard:
    """What a side said of its engine, and when the newest of it came; times are monotonic."""

    holding: Holding
    at_ms: int


class HoldingTable:
    """The newest holding of each side; it is fresh while its side goes on to stamp it.

    A side that is listed and was never heard is awaited for as long as a silent one counts.
    """

    __slots__ = ("_clock", "_entries", "_listed_ms", "_members")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, Heard] = {}
        self._listed_ms: dict[str, int] = {}
        self._members: tuple[str, ...] = ()

    @property
    def restamp_ms(self) -> int:
        """Return how often a side says anew what its engine holds; longer in a large pool."""
        return max(RESTAMP_MS, RESTAMP_MS_PER_MEMBER * len(self._members))

    def set_members(self, names: tuple[str, ...]) -> None:
        """Say which sides are in the pool now; others are forgotten once they are silent."""
        if names == self._members:
            return
        now_ms = self._clock.now_ms()
        self._members = names
        self._listed_ms = {name: self._listed_ms.get(name, now_ms) for name in names}
        for name in self._entries.keys() - set(names):
            if not self.is_fresh(name):
                del self._entries[name]

    def note(self, holding: Holding) -> bool:
        """Take in what is said of an engine; return whether it is newer than what was known."""
        known = self._entries.get(holding.name)
        if known is not None and known.holding.stamp_ms >= holding.stamp_ms:
            return False
        if holding.name not in self._listed_ms:
            return False
        self._entries[holding.name] = Heard(holding=holding, at_ms=self._clock.now_ms())
        return True

    def get(self, name: str) -> Heard | None:
        """Return what was heard of a side."""
        return self._entries.get(name)

    def is_fresh(self, name: str) -> bool:
        """Return whether a side was heard of a short time ago."""
        heard = self._entries.get(name)
        return heard is not None and self._clock.now_ms() - heard.at_ms <= self._get_stale_ms()

    def list_awaited(self) -> list[str]:
        """Return the sides that have not been heard of yet and may still be."""
        now_ms = self._clock.now_ms()
        return [
            name
            for name, since_ms in self._listed_ms.items()
            if name not in self._entries and now_ms - since_ms <= self._get_stale_ms()
        ]

    def list_answering(self) -> list[Holding]:
        """Return what the engines hold that answer, sorted by the names of their sides."""
        return [
            heard.holding
            for name in self._members
            if (heard := self._entries.get(name)) and heard.holding.up and self.is_fresh(name)
        ]

    def list_fresh(self) -> list[Holding]:
        """Return every holding that is worth telling others."""
        return [self._entries[name].holding for name in self._members if self.is_fresh(name)]

    def list_heard(self) -> Iterable[tuple[str, Heard | None]]:
        """Return each member and what was heard of it."""
        return ((name, self._entries.get(name)) for name in self._members)

    def _get_stale_ms(self) -> int:
        return STALE_RESTAMPS * self.restamp_ms
