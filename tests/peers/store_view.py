"""One router's view of the in-memory store, with faults of its connection."""

from __future__ import annotations

import asyncio

from memory_store import MemoryStore

from gypsumrouter.published import (
    LIST_RESPONSE_TIMEOUT_MS,
    HistoryLost,
    ItemBatch,
    StoreUnavailable,
)
from gypsumrouter.util.clock import ManualClock

# Time after which an unanswered call fails, counted from the end of its wait.
CALL_TIMEOUT_MS = LIST_RESPONSE_TIMEOUT_MS


class StoreView:
    """A router's connection to the store, which can be partitioned, also for pending calls."""

    def __init__(
        self, *, store: MemoryStore, clock: ManualClock, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> None:
        self._clock = clock
        self._was_reset = asyncio.Event()
        self._silent = False
        self._store = store
        self._timeout_ms = timeout_ms
        self.partitioned = False

    async def async_list(self) -> ItemBatch:
        """Return the list; raises StoreUnavailable while partitioned."""
        if self.partitioned:
            self._store.calls += 1
            raise StoreUnavailable("cut")
        return self._store.list()

    async def async_watch(self, *, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        """Return the changes; an answer that arrives while partitioned is lost."""
        if self.partitioned:
            self._store.calls += 1
            raise StoreUnavailable("cut")
        until_ms = self._clock.now_ms() + wait_ms + self._timeout_ms
        listed = await self._async_watch_until_reset(after, wait_ms)
        if self._clock.now_ms() >= until_ms:
            raise StoreUnavailable("call timed out")
        if self.partitioned or self._silent:
            await self._clock.async_sleep(until_ms - self._clock.now_ms())
            self._silent = False
            raise StoreUnavailable("call timed out")
        return listed

    async def _async_watch_until_reset(self, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        self._was_reset = asyncio.Event()
        watch = asyncio.ensure_future(self._store.async_watch(after, wait_ms))
        reset = asyncio.ensure_future(self._was_reset.wait())
        try:
            await asyncio.wait((watch, reset), return_when=asyncio.FIRST_COMPLETED)
        finally:
            reset.cancel()
            if not watch.done():
                watch.cancel()
        if self._was_reset.is_set():
            raise StoreUnavailable("reset")
        return watch.result()

    def reset(self) -> None:
        """Reset the connection, which ends a pending watch."""
        self._was_reset.set()

    def silence(self) -> None:
        """Let the connection go silent; the pending watch is not answered, and the next one is."""
        self._silent = True

    def close(self) -> None:
        """Do nothing; there is no connection."""
