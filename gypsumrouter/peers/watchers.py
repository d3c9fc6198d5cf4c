"""Selection of the routers that watch the platform's store, and their announcements.

Each change of the store ends all pending watches, and every watcher issues a new one, so the load
on the store grows with the number of watchers. Therefore only a few routers of each data centre
watch it; they announce changes to their neighbours, which request them from the watchers. There
is no election: each router decides by address order whether it is a watcher, and a router that
receives no announcements also watches the store.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Evacuations
from gypsumrouter.link import NoticeHub, Peer, StoreUpdate
from gypsumrouter.peers.catch_up import CatchUpCoordinator
from gypsumrouter.peers.const import MAX_AGE_MS
from gypsumrouter.peers.encoding import encode_evacuations
from gypsumrouter.peers.message_delays import MessageDelays
from gypsumrouter.peers.routers import RouterRegistry
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingStore

# Minimum number of watchers in the fleet, so that changes arrive although some watchers fail or are
# partitioned from the store. Every data centre has at least one.
MIN_WATCHERS: Final = 5
# Interval of announcements; changes are also announced immediately. Receivers rely on a watcher for
# three intervals, so that two lost announcements have no effect.
ANNOUNCE_INTERVAL_MS: Final = 300


def get_watchers_per_data_centre(data_centres: int) -> int:
    """Return how many routers of each data centre watch the store."""
    return math.ceil(MIN_WATCHERS / data_centres)


def is_watcher(own: str, neighbours: Collection[str], *, per_data_centre: int) -> bool:
    """Return whether a router is among the first of its data centre in address order."""
    return sum(1 for other in neighbours if other < own) < per_data_centre


class WatchCoordinator:
    """Announces store changes to the neighbours if this router watches, and handles theirs."""

    __slots__ = (
        "_app",
        "_catch_up",
        "_delays",
        "_directory",
        "_evacuations",
        "_list",
        "_routers",
        "_routing",
        "_routing_store",
        "_send_scheduled",
    )

    def __init__(
        self,
        *,
        app: Application,
        routers: RouterRegistry,
        routing_store: RoutingStore,
        directory: Directory,
        evacuations: Evacuations,
        catch_up: CatchUpCoordinator,
        notices: NoticeHub,
        routing: WatchState,
        upstreams: WatchState,
    ) -> None:
        self._app = app
        self._routers = routers
        self._routing_store = routing_store
        self._directory = directory
        self._evacuations = evacuations
        self._catch_up = catch_up
        self._routing = routing
        self._list = upstreams
        self._send_scheduled = False
        self._delays = MessageDelays()
        notices.subscribe(StoreUpdate, self._handle_announcement)
        directory.on_change(lambda entry: self._schedule_announcement())
        routing_store.on_change(lambda table: self._schedule_announcement())
        evacuations.on_change(lambda evacuation: self._schedule_announcement())

    def async_start(self) -> None:
        """Start announcing; if other routers are known, wait for announcements before watching."""
        if len(self._routers):
            self._routing.defer_to_peers()
            self._list.defer_to_peers()
        self._app.async_create_task(self._async_announce(), "announce store changes")

    def count_watchers(self) -> int:
        """Return how many other routers watch the store."""
        counts = self._routers.count_by_data_centre()
        per_data_centre = get_watchers_per_data_centre(len(counts))
        return sum(min(per_data_centre, count) for count in counts.values()) - 1

    def is_watcher(self) -> bool:
        """Return whether this router watches the store for its data centre."""
        return self._is_watcher(self._routers.list_neighbours())

    def list_watchers(self, *, more: int = 0) -> list[str]:
        """Return the addresses of the routers that watch the store for this data centre.

        Behind them come `more` that follow in the order in which routers take over the watch.
        """
        per_data_centre = get_watchers_per_data_centre(len(self._routers.count_by_data_centre()))
        in_order = sorted((self._routers.own_address, *self._routers.list_neighbours()))
        return in_order[: per_data_centre + more]

    async def _async_announce(self) -> None:
        while True:
            self._announce()
            await self._app.clock.async_sleep(ANNOUNCE_INTERVAL_MS)

    def _schedule_announcement(self) -> None:
        """Announce once the current event loop iteration has applied all changes."""
        if not self._send_scheduled:
            self._send_scheduled = True
            asyncio.get_running_loop().call_soon(self._announce)

    def _announce(self) -> None:
        self._send_scheduled = False
        neighbours = self._routers.list_neighbours()
        if not self._is_watcher(neighbours):
            return
        if not (self._routing.current or self._list.current):
            return
        announcement = self._make_announcement()
        for known in neighbours.values():
            if known.peer is not None:
                known.peer.send(announcement)

    def _make_announcement(self) -> StoreUpdate:
        directory = self._directory
        # A full list counts as a change: it may lack upstreams that only the neighbours know.
        newest = max(directory.applied_revision, directory.listed_revision)
        return StoreUpdate(
            routing_version=self._routing_store.version,
            routing_as_of=_get_current_revision(self._routing),
            # Changes after a deferred removal are announced without it.
            list_newest=max(directory.limit_to_applied(newest), directory.newest_applied_revision),
            list_as_of=directory.limit_to_applied(_get_current_revision(self._list)),
            list_changes=directory.applied_changes,
            list_age_ms=min(self._list.response_age_ms, MAX_AGE_MS),
            sent_ms=self._app.clock.now_ms(),
            evacuations=encode_evacuations(self._evacuations),
        )

    def _is_watcher(self, neighbours: Collection[str]) -> bool:
        per_data_centre = get_watchers_per_data_centre(len(self._routers.count_by_data_centre()))
        return is_watcher(self._routers.own_address, neighbours, per_data_centre=per_data_centre)

    def _handle_announcement(self, peer: Peer, announcement: StoreUpdate) -> None:
        if self.is_watcher():
            return
        # A watch of the configuration waits longer, so that its own age would tell less.
        age_ms = announcement.list_age_ms + self._get_delay_ms(peer, announcement)
        if announcement.routing_as_of:
            self._routing.note_peer_watching(response_age_ms=age_ms)
        if announcement.list_as_of:
            self._list.note_peer_watching(response_age_ms=age_ms)
        self._catch_up.handle_announcement(peer, announcement)

    def _get_delay_ms(self, peer: Peer, announcement: StoreUpdate) -> int:
        """Return how long ago an announcement was sent, beyond the usual time."""
        if not announcement.sent_ms:
            return 0
        return self._delays.get_delay_ms(
            peer=peer.hello.name,
            incarnation=peer.hello.incarnation,
            sent_ms=announcement.sent_ms,
            now_ms=self._app.clock.now_ms(),
        )


def _get_current_revision(state: WatchState) -> int:
    """Return the revision up to which a list is known, or 0 while the store is unavailable."""
    return state.as_of if state.current and state.as_of is not None else 0
