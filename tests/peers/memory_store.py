"""In-memory list of upstreams with long-poll watches, on a manual clock."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from gypsumrouter.directory import EntryState
from gypsumrouter.published import HistoryLost, Item, ItemBatch
from gypsumrouter.util.clock import ManualClock
from gypsumrouter.util.revisions import get_epoch, get_number, make_revision


class MemoryStore:
    """A list of upstreams with long-poll watches, which counts its calls.

    `epoch` increases with each restore from a backup, after which revisions are reused. While the
    store hangs, pending and new watches get no response, and their connections stay open.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._changed = asyncio.Event()
        self.items: list[Item] = []
        self.revision = 100
        self.epoch = 1
        self.calls = 0
        self._responding = asyncio.Event()
        self._responding.set()

    def set_hanging(self, hanging: bool) -> None:
        """Let the store hang, or respond again."""
        if hanging:
            self._responding.clear()
        else:
            self._responding.set()

    @property
    def as_of(self) -> int:
        """Return the newest revision, combined with the epoch."""
        return self._make_revision(self.revision)

    def put(self, state: EntryState, key: str = "i-1") -> None:
        """Write the state of an upstream."""
        self.write(key, state.value.encode())

    def write(self, key: str, value: bytes) -> None:
        """Write an item."""
        self.revision += 1
        self.items.append(Item(key=key, revision=self.revision, value=value))
        self._notify()

    def restore(self, revision: int) -> None:
        """Restore a backup of an earlier revision; later writes are lost."""
        self.revision = revision
        self.items = [item for item in self.items if item.revision <= revision]
        self.epoch += 1
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def list(self) -> ItemBatch:
        """Return the newest item of each key that was not removed."""
        self.calls += 1
        newest = {item.key: item for item in self.items}
        removed = EntryState.GONE.value.encode()
        return self._make_listed(tuple(i for i in newest.values() if i.value != removed))

    def _make_listed(self, items: tuple[Item, ...]) -> ItemBatch:
        """Return items with the epoch in their revisions, as the store client does."""
        items_with_epoch = tuple(
            replace(i, revision=self._make_revision(i.revision)) for i in items
        )
        return ItemBatch(items=items_with_epoch, as_of=self.as_of)

    def _make_revision(self, number: int) -> int:
        return make_revision(epoch=self.epoch, number=number)

    async def async_watch(self, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        """Return the changes after a revision, or none after `wait_ms`."""
        listed = await self._async_wait_for_changes(after, wait_ms)
        if self._responding.is_set():
            return listed
        await self._responding.wait()
        return await self._async_wait_for_changes(after, 0)

    async def _async_wait_for_changes(self, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        self.calls += 1
        epoch = self.epoch
        after, asked_epoch = get_number(after), get_epoch(after)
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
            if epoch != self.epoch:
                return HistoryLost()
        if asked_epoch != self.epoch:
            return HistoryLost()
        return self._make_listed(tuple(item for item in self.items if item.revision > after))
