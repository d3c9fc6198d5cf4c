"""A list of upstreams in memory with waiting watches, on a clock that a test moves."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from gypsumrouter.directory import EntryState
from gypsumrouter.published import HistoryLost, Item, ItemBatch
from gypsumrouter.util.clock import ManualClock
from gypsumrouter.util.revisions import get_epoch, get_number, make_revision


class MemoryStore:
    """A list of upstreams with waiting watches; counts calls.

    `era` is how often it came back from a copy; its revisions go back then.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._changed = asyncio.Event()
        self.items: list[Item] = []
        self.revision = 100
        self.era = 1
        self.calls = 0

    @property
    def as_of(self) -> int:
        """Return the newest revision, as routers know it."""
        return self._name(self.revision)

    def put(self, state: EntryState, key: str = "i-1") -> None:
        """Change an upstream."""
        self.revision += 1
        value = state.value.encode()
        self.items.append(Item(key=key, revision=self.revision, value=value))
        self._wake()

    def restore(self, revision: int) -> None:
        """Come back from a copy of an earlier revision: what was written since is lost."""
        self.revision = revision
        self.items = [item for item in self.items if item.revision <= revision]
        self.era += 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def list(self) -> ItemBatch:
        """Return the newest items."""
        self.calls += 1
        newest = {item.key: item for item in self.items}
        return self._tell(tuple(newest.values()))

    def _tell(self, items: tuple[Item, ...]) -> ItemBatch:
        """Return items with revisions that name the era, as the client of the real store does."""
        told = tuple(replace(i, revision=self._name(i.revision)) for i in items)
        return ItemBatch(items=told, as_of=self.as_of)

    def _name(self, number: int) -> int:
        return make_revision(epoch=self.era, number=number)

    async def async_watch(self, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        """Return what changed, or nothing after a while."""
        self.calls += 1
        era = self.era
        after, asked_era = get_number(after), get_epoch(after)
        if after > self.revision:
            return HistoryLost()
        until_ms = self._clock.now_ms() + wait_ms
        while self.revision <= after and self._clock.now_ms() < until_ms:
            waits = [
                asyncio.ensure_future(self._changed.wait()),
                asyncio.ensure_future(self._clock.async_sleep(until_ms - self._clock.now_ms())),
            ]
            try:
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for wait in waits:
                    wait.cancel()
            if era != self.era:
                return HistoryLost()
        if asked_era != self.era:
            return HistoryLost()
        return self._tell(tuple(item for item in self.items if item.revision > after))
