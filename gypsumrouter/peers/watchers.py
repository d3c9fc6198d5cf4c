"""Which routers watch the platform's store, and how they tell their data centre of it.

Answers this load: each change of the store ends every waiting watch, and each router that watches
asks again. With 68 routers that is 70 to 100 calls a second, and it grows with the fleet. A few
routers of each data centre watch; the others ask them for what changed, and turn to the store
themselves as soon as nobody vouches for it. Nobody has to agree with anybody: a router that takes
itself for a watcher watches, and one that hears of none does too.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Evacuations
from gypsumrouter.link import NoticeHub, Peer, StoreWatched
from gypsumrouter.peers.catch_up import CatchUpCoordinator
from gypsumrouter.peers.evacuations import encode_evacuations
from gypsumrouter.peers.routers import RouterRegistry
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingStore

# One in each data centre, since news within it cost nothing, and five in all: a fleet of few data
# centres hears of a change though some of its watchers are lost or cut off unnoticed.
MIN_WATCHERS: Final = 5
# A watcher says this often that it watches, and at once what changed. A third of the time for which
# its word counts, so that two lost or late words do no harm.
ANNOUNCE_INTERVAL_MS: Final = 300


def get_watchers_per_data_centre(data_centres: int) -> int:
    """Return how many routers of each data centre watch, where a fleet has so many of them."""
    return math.ceil(MIN_WATCHERS / data_centres)


def is_watcher(own: str, neighbours: Collection[str], *, per_data_centre: int) -> bool:
    """Return whether a router is among the first `per_data_centre` of its data centre, by address."""
    return sum(1 for other in neighbours if other < own) < per_data_centre


class WatchCoordinator:
    """Tells the other routers of the data centre what this one watches, and takes their word."""

    __slots__ = (
        "_app",
        "_catch_up",
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
        notices.subscribe(StoreWatched, self._handle_announcement)
        directory.on_change(lambda entry: self._schedule_announcement())
        routing_store.on_change(lambda table: self._schedule_announcement())
        evacuations.on_change(lambda evacuation: self._schedule_announcement())

    def async_start(self) -> None:
        """Begin to tell; where others are known, wait for their word before watching."""
        if len(self._routers):
            self._routing.wait_for_peers()
            self._list.wait_for_peers()
        self._app.async_create_task(self._async_announce(), "vouch for the store")

    def count_watchers(self) -> int:
        """Return how many other routers watch the store."""
        counts = self._routers.count_by_data_centre()
        per_data_centre = get_watchers_per_data_centre(len(counts))
        return sum(min(per_data_centre, count) for count in counts.values()) - 1

    def is_watcher(self) -> bool:
        """Return whether this router watches for its data centre."""
        return self._is_watcher(self._routers.list_neighbours())

    async def _async_announce(self) -> None:
        while True:
            self._announce()
            await self._app.clock.async_sleep(ANNOUNCE_INTERVAL_MS)

    def _schedule_announcement(self) -> None:
        """Tell what changed once all of it was taken."""
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
        watched = self._make_announcement()
        for known in neighbours.values():
            if known.peer is not None:
                known.peer.send(watched)

    def _make_announcement(self) -> StoreWatched:
        return StoreWatched(
            routing_version=self._routing_store.version,
            routing_as_of=_get_current_revision(self._routing),
            list_newest=self._directory.newest,
            list_as_of=self._directory.limit_to_acted_on(_get_current_revision(self._list)),
            evacuations=encode_evacuations(self._evacuations),
        )

    def _is_watcher(self, neighbours: Collection[str]) -> bool:
        per_data_centre = get_watchers_per_data_centre(len(self._routers.count_by_data_centre()))
        return is_watcher(self._routers.own, neighbours, per_data_centre=per_data_centre)

    def _handle_announcement(self, peer: Peer, watched: StoreWatched) -> None:
        if self.is_watcher():
            return
        if watched.routing_as_of:
            self._routing.note_vouched()
        if watched.list_as_of:
            self._list.note_vouched()
        self._catch_up.handle_announcement(peer, watched)


def _get_current_revision(state: WatchState) -> int:
    """Return up to which revision a list is known, 0 where the store cannot be read."""
    return state.as_of if state.current and state.as_of is not None else 0
