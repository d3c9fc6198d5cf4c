"""Follows a list of items: read once, watched from then on, read anew after lost history."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.journal import DependencyLost, DependencyRegained, Journal
from gypsumrouter.published.models import HistoryLost, ItemBatch, PublishedStore, StoreUnavailable
from gypsumrouter.published.watch_state import WatchState

# A watch whose answer was lost is not told from one that waits. It is asked again after this long,
# so that a change is in force within the published bounds of two seconds after trouble has ended.
WATCH_TIMEOUT_MS: Final = 2_500
# The first watch after an outage is answered at once: a store that came back from a copy may count
# below the revision that is asked for, and a watch that waits would hide what it wrote since.
FIRST_WATCH_TIMEOUT_MS: Final = 1
# Where many routers watch, each may wait longer: each call costs, and the others tell of what one
# of them missed.
MAX_WATCH_TIMEOUT_MS: Final = 15_000
WATCHERS_PER_TIMEOUT_STEP: Final = 4
# Changes come in bursts, and each one that ends a watch is a call of every router that watches: a
# pause after a change, well within the published bounds, lets the next watch bring several. Larger
# fleets have more upstreams, which change more often.
BATCH_PAUSE_MS_PER_PEER: Final = 25
MAX_BATCH_PAUSE_MS: Final = 750
BACKOFF_FIRST_MS: Final = 60
BACKOFF_MAX_MS: Final = 800
# A router that others watch for hears from them that the store is back. It asks by itself as seldom
# as the bounds on changes allow: refused calls cost as much as others.
BACKOFF_NON_WATCHER_MAX_MS: Final = 3_000

BatchHandler = Callable[[ItemBatch], None]


class Follower:
    """One task that keeps a list up to date, however often the store goes away.

    `handle_all` gets whole lists, `handle_changes` what changed since. `on_lost` and `on_regained`
    are called once for each outage. While peers vouch for the list (see `WatchState`) no call is
    made, and they tell what changes. `count_peers` is how many other routers live, and
    `count_watchers` how many of them watch; `is_watcher` says whether this one does for others.
    """

    __slots__ = (
        "_app",
        "_count_peers",
        "_count_watchers",
        "_handle_all",
        "_handle_changes",
        "_is_watcher",
        "_journal",
        "_lost_ms",
        "_name",
        "_on_lost",
        "_on_regained",
        "_state",
        "_store",
    )

    def __init__(
        self,
        *,
        app: Application,
        journal: Journal,
        name: str,
        store: PublishedStore,
        state: WatchState,
        handle_all: BatchHandler,
        handle_changes: BatchHandler,
        on_lost: Callable[[], None] | None = None,
        on_regained: Callable[[], None] | None = None,
        count_peers: Callable[[], int],
        count_watchers: Callable[[], int],
        is_watcher: Callable[[], bool],
    ) -> None:
        self._app = app
        self._journal = journal
        self._name = name
        self._store = store
        self._state = state
        self._handle_all = handle_all
        self._handle_changes = handle_changes
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._count_peers = count_peers
        self._count_watchers = count_watchers
        self._is_watcher = is_watcher
        self._lost_ms: int | None = None

    def async_start(self) -> None:
        """Begin to follow."""
        self._app.async_create_task(self._async_run(), f"follow {self._name}")
        self._app.on_stop(self._async_stop)

    async def _async_run(self) -> None:
        failures = 0
        while True:
            try:
                await self._async_step()
            except StoreUnavailable as error:
                self._note_lost(str(error))
                failures += 1
                await self._async_back_off(failures)
                continue
            failures = 0
            self._note_regained()

    async def _async_step(self) -> None:
        if self._state.as_of is None:
            listed = await self._store.async_list()
            self._note_regained()
            self._handle_all(listed)
            self._state.as_of = listed.as_of
            return
        if self._state.peer_watching:
            # What a peer tells is as good as an answer of the store, also while it gives none here.
            self._note_regained()
            await self._state.async_wait_until_needed()
        changed = await self._store.async_watch(
            after=self._state.as_of, wait_ms=self._get_watch_timeout_ms()
        )
        if isinstance(changed, HistoryLost):
            self._state.as_of = None
            return
        self._note_regained()
        self._state.advance(changed.as_of)
        if changed.items:
            self._handle_changes(changed)
            pause_ms = min(MAX_BATCH_PAUSE_MS, BATCH_PAUSE_MS_PER_PEER * self._count_peers())
            await self._app.clock.async_sleep(pause_ms)

    def _get_watch_timeout_ms(self) -> int:
        if self._lost_ms is not None:
            return FIRST_WATCH_TIMEOUT_MS
        share = max(1, self._count_watchers() // WATCHERS_PER_TIMEOUT_STEP)
        return min(MAX_WATCH_TIMEOUT_MS, WATCH_TIMEOUT_MS * share)

    async def _async_back_off(self, failures: int) -> None:
        longest_ms = BACKOFF_MAX_MS if self._is_watcher() else BACKOFF_NON_WATCHER_MAX_MS
        ceiling = min(longest_ms, BACKOFF_FIRST_MS << min(failures, 6))
        await self._app.clock.async_sleep(random.randint(ceiling // 2, ceiling))

    def _note_lost(self, reason: str) -> None:
        if self._lost_ms is not None:
            return
        self._lost_ms = self._app.clock.now_ms()
        self._state.available = False
        self._journal.record(DependencyLost(dependency=self._name, reason=reason))
        if self._on_lost is not None:
            self._on_lost()

    def _note_regained(self) -> None:
        if self._lost_ms is None:
            return
        lost_ms = self._app.clock.now_ms() - self._lost_ms
        self._lost_ms = None
        self._state.available = True
        self._journal.record(DependencyRegained(dependency=self._name, lost_ms=lost_ms))
        if self._on_regained is not None:
            self._on_regained()

    async def _async_stop(self) -> None:
        self._store.close()
