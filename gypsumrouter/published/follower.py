"""Keeps a list of store items up to date: a full read, then watches (long polls) for changes."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.journal import DependencyLost, DependencyRegained, Journal
from gypsumrouter.published.models import HistoryLost, ItemBatch, PublishedStore, StoreUnavailable
from gypsumrouter.published.watch_state import WatchState

# Longest time between two responses of the store while nothing changes. A watch with a lost
# response looks like one that waits, so this bounds how late a change is seen after a network
# fault.
WATCH_TIMEOUT_MS: Final = 2_500

# The first watch after an outage returns at once. A store restored from a backup may be at a lower
# revision than the requested one, and a waiting watch would delay its changes.
FIRST_WATCH_TIMEOUT_MS: Final = 1
# Changes come in bursts, and every one ends the watches of all routers. A pause after a change lets
# the next watch return several at once. It grows with the fleet, since larger fleets change more
# often.
BATCH_PAUSE_MS_PER_PEER: Final = 25
MAX_BATCH_PAUSE_MS: Final = 750
BACKOFF_FIRST_MS: Final = 60
BACKOFF_MAX_MS: Final = 800
# Maximum backoff of a router that does not watch itself: its watching peers notify it once the
# store is available again.
BACKOFF_NON_WATCHER_MAX_MS: Final = 3_000

BatchHandler = Callable[[ItemBatch], None]


class Follower:
    """A task that keeps a list up to date across outages of the store.

    `handle_all` receives full lists, `handle_changes` the changes since. `on_lost` and
    `on_regained` are called once per outage, the latter with the time for which the store was
    silent, in milliseconds; as a pending watch shows no outage, that includes the wait before it.
    While a peer watches the list (see `WatchState`) this router sends no requests to the store and
    receives the changes from the peer. A watch ends at the latest `watch_timeout_ms` after the
    store's last response; a response after `max_silence_ms` or more counts as the end of an outage.
    `count_peers` returns the number of other running routers; `is_watcher` returns whether this
    router watches on behalf of others.
    """

    __slots__ = (
        "_app",
        "_count_peers",
        "_handle_all",
        "_handle_changes",
        "_is_watcher",
        "_journal",
        "_max_silence_ms",
        "_name",
        "_on_lost",
        "_on_regained",
        "_outage_since_ms",
        "_silent_since_ms",
        "_state",
        "_store",
        "_watch_timeout_ms",
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
        on_regained: Callable[[int], None] | None = None,
        watch_timeout_ms: int = WATCH_TIMEOUT_MS,
        max_silence_ms: int | None = None,
        count_peers: Callable[[], int],
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
        self._is_watcher = is_watcher
        self._watch_timeout_ms = watch_timeout_ms
        self._max_silence_ms = max_silence_ms
        self._outage_since_ms: int | None = None
        self._silent_since_ms = 0

    def async_start(self) -> None:
        """Start the task."""
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
            await self._async_read_all()
            return
        silent_since_ms = self._state.responded_ms
        if self._state.peer_watching:
            # The changes from the peer are current even if the store is unreachable from here.
            self._note_regained()
            await self._state.async_wait_until_needed()
            # What the peer last said of the store: it may have lost it, too.
            silent_since_ms = self._state.responded_ms
        changed = await self._store.async_watch(
            after=self._state.as_of, wait_ms=self._get_watch_timeout_ms()
        )
        silent_ms = self._app.clock.now_ms() - silent_since_ms
        if self._max_silence_ms is not None and silent_ms >= self._max_silence_ms:
            # The store or the connection hung, though no call has failed.
            self._note_lost(f"no response for {silent_ms} ms")
        if isinstance(changed, HistoryLost):
            # The store responds, but says nothing of the list.
            self._state.as_of = None
            await self._async_read_all()
            return
        self._note_response()
        self._state.advance(changed.as_of)
        if changed.items:
            self._handle_changes(changed)
            pause_ms = min(MAX_BATCH_PAUSE_MS, BATCH_PAUSE_MS_PER_PEER * self._count_peers())
            await self._app.clock.async_sleep(pause_ms)

    async def _async_read_all(self) -> None:
        listed = await self._store.async_list()
        self._note_response()
        self._handle_all(listed)
        self._state.as_of = listed.as_of

    def _get_watch_timeout_ms(self) -> int:
        if self._outage_since_ms is not None:
            return FIRST_WATCH_TIMEOUT_MS
        return max(FIRST_WATCH_TIMEOUT_MS, self._watch_timeout_ms - self._state.response_age_ms)

    async def _async_back_off(self, failures: int) -> None:
        longest_ms = BACKOFF_MAX_MS if self._is_watcher() else BACKOFF_NON_WATCHER_MAX_MS
        ceiling = min(longest_ms, BACKOFF_FIRST_MS << min(failures, 6))
        await self._app.clock.async_sleep(random.randint(ceiling // 2, ceiling))

    def _note_lost(self, reason: str) -> None:
        if self._outage_since_ms is not None:
            return
        self._outage_since_ms = self._app.clock.now_ms()
        self._silent_since_ms = self._state.responded_ms
        self._state.available = False
        self._journal.record(DependencyLost(dependency=self._name, reason=reason))
        if self._on_lost is not None:
            self._on_lost()

    def _note_response(self) -> None:
        self._state.note_response()
        self._note_regained()

    def _note_regained(self) -> None:
        if self._outage_since_ms is None:
            return
        outage_ms = self._app.clock.now_ms() - self._outage_since_ms
        self._outage_since_ms = None
        self._state.available = True
        self._journal.record(DependencyRegained(dependency=self._name, lost_ms=outage_ms))
        if self._on_regained is not None:
            self._on_regained(self._state.responded_ms - self._silent_since_ms)

    async def _async_stop(self) -> None:
        self._store.close()
