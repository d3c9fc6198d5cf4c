"""What this side has heard of the engines of its pool."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.link.models import EngineStatus
from gypsumrouter.orders.const import RESTAMP_MS, RESTAMP_MS_PER_MEMBER, STALE_RESTAMPS
from gypsumrouter.util.clock import Clock


class Heard(Struct, frozen=True, kw_only=True):
    """What a side said of its engine, and when the newest of it came; times are monotonic."""

    holding: EngineStatus
    at_ms: int


class HoldingTable:
    """The newest holding of each side; it is fresh while its side goes on to stamp it.

    A side that leaves the list still counts as holding its models for `hold_ms`, so that a flap
    changes no plan, but not as serving them. A side that is listed and was never heard is awaited
    for as long as a silent one counts.
    """

    __slots__ = ("_clock", "_entries", "_gone_ms", "_listed_ms", "hold_ms")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, Heard] = {}
        self._listed_ms: dict[str, int] = {}
        self._gone_ms: dict[str, int] = {}
        self.hold_ms = RESTAMP_MS

    @property
    def restamp_ms(self) -> int:
        """Return how often a side says anew what its engine holds; longer in a large pool."""
        return max(min(RESTAMP_MS, self.hold_ms), RESTAMP_MS_PER_MEMBER * len(self._listed_ms))

    def set_listed(self, names: tuple[str, ...]) -> None:
        """Take in the sides of the pool in the next list; each list must be told."""
        now_ms = self._clock.now_ms()
        for name in self._listed_ms.keys() - set(names):
            self._gone_ms[name] = now_ms
        for name in names:
            self._gone_ms.pop(name, None)
        self._listed_ms = {name: self._listed_ms.get(name, now_ms) for name in names}
        self._forget_strangers()

    def note(self, holding: EngineStatus) -> bool:
        """Take in what is said of an engine; return whether it is newer than what was known."""
        known = self._entries.get(holding.name)
        if known is not None and known.holding.stamp_ms >= holding.stamp_ms:
            return False
        if holding.name not in self._listed_ms and holding.name not in self._gone_ms:
            return False
        self._entries[holding.name] = Heard(holding=holding, at_ms=self._clock.now_ms())
        return True

    def get(self, name: str) -> Heard | None:
        """Return what was heard of a side."""
        return self._entries.get(name)

    def list_awaited(self) -> list[str]:
        """Return the sides that have not been heard of yet and may still be."""
        now_ms = self._clock.now_ms()
        return [
            name
            for name, since_ms in self._listed_ms.items()
            if name not in self._entries and now_ms - since_ms <= self._get_stale_ms()
        ]

    def list_answering(self) -> list[EngineStatus]:
        """Return what the engines hold that answer, sorted by the names of their sides.

        Of several sides beside one engine the first speaks for it.
        """
        held = self._list_held()
        found = [
            self._entries[name].holding
            for name in sorted((*self._listed_ms, *held))
            if self._is_fresh(name)
        ]
        speakers: dict[str, str] = {}
        for item in found:
            speakers.setdefault(item.engine, item.name)
        return [
            _mark_gone(item) if item.name in held else item
            for item in found
            if item.up and speakers[item.engine] == item.name
        ]

    def find_rival(self, own: EngineStatus) -> str:
        """Return the side that speaks for the engine of `own` in its place, if there is one."""
        names = (item.name for item in self.list_fresh() if item.engine == own.engine)
        first = min(names, default=own.name)
        return first if first < own.name else ""

    def list_fresh(self) -> list[EngineStatus]:
        """Return every holding that is worth telling others."""
        names = (*self._listed_ms, *self._list_held())
        return [self._entries[name].holding for name in names if self._is_fresh(name)]

    def list_heard(self) -> Iterator[tuple[str, Heard | None]]:
        """Return each listed side and what was heard of it."""
        return ((name, self._entries.get(name)) for name in self._listed_ms)

    def _list_held(self) -> list[str]:
        now_ms = self._clock.now_ms()
        return [name for name, at_ms in self._gone_ms.items() if now_ms - at_ms < self.hold_ms]

    def _is_fresh(self, name: str) -> bool:
        heard = self._entries.get(name)
        return heard is not None and self._clock.now_ms() - heard.at_ms <= self._get_stale_ms()

    def _forget_strangers(self) -> None:
        now_ms = self._clock.now_ms()
        keep_ms = max(self.hold_ms, self._get_stale_ms())
        for name in [name for name, at_ms in self._gone_ms.items() if now_ms - at_ms > keep_ms]:
            del self._gone_ms[name]
            self._entries.pop(name, None)

    def _get_stale_ms(self) -> int:
        return STALE_RESTAMPS * self.restamp_ms


def _mark_gone(holding: EngineStatus) -> EngineStatus:
    """Return the holding of a side that has left the list a moment ago."""
    models = tuple(replace(model, serving=False) for model in holding.models)
    return replace(holding, engine="", models=models)
