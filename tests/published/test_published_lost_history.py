"""An answer of the store that says nothing of a list does not make the list current."""

from __future__ import annotations

import asyncio

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.journal import Journal
from gypsumrouter.published import (
    Follower,
    HistoryLost,
    ItemBatch,
    StoreUnavailable,
    WatchState,
)
from gypsumrouter.util.clock import ManualClock

STALE_MS = 5_000


class ForgettingStore:
    """Lists once, then has lost its history, and answers no further list until it is `up`."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.lists = 0
        self.up = True

    async def async_list(self) -> ItemBatch:
        """Return an empty list; raises StoreUnavailable unless it is up."""
        self.lists += 1
        if not self.up:
            raise StoreUnavailable("down")
        return ItemBatch(items=(), as_of=7)

    async def async_watch(self, *, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        """Say after a while that the changes are lost."""
        self.up = False
        await self._clock.async_sleep(STALE_MS)
        return HistoryLost()

    def close(self) -> None:
        """Do nothing."""


# Guards against a list that counts as of this moment, as the store has only said that it no longer
# knows the changes: a version that was listed since is not seen, and a stream goes on without it.
async def test_list_is_current_by_an_answer_that_its_history_is_lost() -> None:
    clock = ManualClock(now_ms=1_000_000)
    app = Application(name="r1", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
    store, state = ForgettingStore(clock), WatchState(clock=clock)
    silent_ms: list[int] = []
    follower = Follower(
        app=app,
        journal=Journal(app=app),
        name="upstreams",
        store=store,
        state=state,
        handle_all=lambda _: None,
        handle_changes=lambda _: None,
        on_regained=silent_ms.append,
        count_peers=lambda: 0,
        is_watcher=lambda: True,
    )
    follower.async_start()
    await async_settle()
    assert (store.lists, state.response_age_ms) == (1, 0)
    clock.advance(STALE_MS)
    await async_settle()
    assert store.lists == 2
    assert (state.current, state.response_age_ms) == (False, STALE_MS)
    store.up = True
    clock.advance(STALE_MS)
    await async_settle()
    assert (store.lists, state.response_age_ms, silent_ms) == (3, 0, [2 * STALE_MS])
    await app.async_stop()


async def async_settle() -> None:
    """Let all tasks go on until they wait for the clock."""
    for _ in range(20):
        await asyncio.sleep(0)
