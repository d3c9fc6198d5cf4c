"""Table of the newest engine status (holding) received from each side of a pool."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.link.models import EngineStatus
from gypsumrouter.orders.const import REFRESH_MS, REFRESH_MS_PER_MEMBER, STALE_AFTER_REFRESHES
from gypsumrouter.util.clock import Clock


class ReceivedHolding(Struct, frozen=True, kw_only=True):
    """The newest holding of a side and the monotonic time of its receipt."""

    holding: EngineStatus
    received_ms: int


class HoldingTable:
    """The newest holding of each side; it becomes stale unless its side refreshes it.

    A holding is the status of a side's engine with the models that it holds (`EngineStatus`).
    A side that was removed from the list still counts as holding its models for `hold_ms`, but not
    as serving them, so a flapping entry does not change the plan. A listed side that has not
    reported yet is awaited for the time after which a holding becomes stale.
    """

    __slots__ = ("_clock", "_entries", "_listed_since_ms", "_removed_ms", "hold_ms")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, ReceivedHolding] = {}
        self._listed_since_ms: dict[str, int] = {}
        self._removed_ms: dict[str, int] = {}
        self.hold_ms = REFRESH_MS

    @property
    def refresh_ms(self) -> int:
        """Return the interval at which a side refreshes its holding; longer in a large pool."""
        return max(
            min(REFRESH_MS, self.hold_ms), REFRESH_MS_PER_MEMBER * len(self._listed_since_ms)
        )

    def set_listed(self, names: tuple[str, ...]) -> None:
        """Set the sides of the pool; must be called for every instance list."""
        now_ms = self._clock.now_ms()
        for name in self._listed_since_ms.keys() - set(names):
            self._removed_ms[name] = now_ms
        for name in names:
            self._removed_ms.pop(name, None)
        self._listed_since_ms = {name: self._listed_since_ms.get(name, now_ms) for name in names}
        self._drop_expired()

    def record(self, holding: EngineStatus) -> bool:
        """Store a holding; return False if it is not newer, or its side is unknown."""
        known = self._entries.get(holding.name)
        if known is not None and known.holding.stamp_ms >= holding.stamp_ms:
            return False
        if holding.name not in self._listed_since_ms and holding.name not in self._removed_ms:
            return False
        self._entries[holding.name] = ReceivedHolding(
            holding=holding, received_ms=self._clock.now_ms()
        )
        return True

    def get(self, name: str) -> ReceivedHolding | None:
        """Return the newest holding of a side, or None."""
        return self._entries.get(name)

    def list_unreported(self) -> list[str]:
        """Return the listed sides that have not reported yet and are still awaited."""
        now_ms = self._clock.now_ms()
        return [
            name
            for name, since_ms in self._listed_since_ms.items()
            if name not in self._entries and now_ms - since_ms <= self._get_stale_ms()
        ]

    def list_available(self) -> list[EngineStatus]:
        """Return the fresh holdings of available engines, sorted by the names of their sides.

        If several sides report the same engine, only the first by name counts.
        """
        held = self._list_recently_removed()
        found = [
            self._entries[name].holding
            for name in sorted((*self._listed_since_ms, *held))
            if self._is_fresh(name)
        ]
        owners: dict[str, str] = {}
        for item in found:
            owners.setdefault(item.engine, item.name)
        return [
            _mark_removed(item) if item.name in held else item
            for item in found
            if item.up and owners[item.engine] == item.name
        ]

    def find_conflicting_side(self, own: EngineStatus) -> str:
        """Return the side with precedence over `own` for the same engine, or an empty string."""
        names = (item.name for item in self.list_fresh() if item.engine == own.engine)
        first = min(names, default=own.name)
        return first if first < own.name else ""

    def list_fresh(self) -> list[EngineStatus]:
        """Return every holding that is not stale."""
        names = (*self._listed_since_ms, *self._list_recently_removed())
        return [self._entries[name].holding for name in names if self._is_fresh(name)]

    def list_received(self) -> Iterator[tuple[str, ReceivedHolding | None]]:
        """Return each listed side with its newest holding."""
        return ((name, self._entries.get(name)) for name in self._listed_since_ms)

    def _list_recently_removed(self) -> list[str]:
        now_ms = self._clock.now_ms()
        return [
            name
            for name, removed_ms in self._removed_ms.items()
            if now_ms - removed_ms < self.hold_ms
        ]

    def _is_fresh(self, name: str) -> bool:
        received = self._entries.get(name)
        return (
            received is not None
            and self._clock.now_ms() - received.received_ms <= self._get_stale_ms()
        )

    def _drop_expired(self) -> None:
        now_ms = self._clock.now_ms()
        keep_ms = max(self.hold_ms, self._get_stale_ms())
        for name in [
            name for name, removed_ms in self._removed_ms.items() if now_ms - removed_ms > keep_ms
        ]:
            del self._removed_ms[name]
            self._entries.pop(name, None)

    def _get_stale_ms(self) -> int:
        return STALE_AFTER_REFRESHES * self.refresh_ms


def _mark_removed(holding: EngineStatus) -> EngineStatus:
    """Return the holding of a recently removed side with no model serving."""
    models = tuple(replace(model, serving=False) for model in holding.models)
    return replace(holding, engine="", models=models)
