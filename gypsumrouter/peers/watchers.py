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
from gypsumrouter.peers.catch_up import CatchUpDesk
from gypsumrouter.peers.evacuations import write_evacuations
from gypsumrouter.peers.routers import RouterBook
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingStore

# One in each data centre, since news within it cost nothing, and five in all: a fleet of few data
# centres hears of a change though some of its watchers are lost or cut off unnoticed.
MIN_WATCHERS: Final = 5
# A watcher says this often that it watches, and at once what changed. A third of the time for which
# its word counts, so that two lost or late words do no harm.
VOUCH_MS: Final = 300


def get_share(data_centres: int) -> int:
    """Return how many routers of each data centre watch, where a fleet has so many of them."""
    return math.ceil(MIN_WATCHERS / data_centres)


def is_watcher(own: str, neighbours: Collection[str], *, share: int) -> bool:
    """Return whether a router is among the first `share` of its data centre, by address."""
    return sum(1 for other in neighbours if other < own) < share


class WatchDesk:
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
        "_telling",
    )

    def __init__(
        self,
        *,
        app: Application,
        routers: RouterBook,
        routing_store: RoutingStore,
        directory: Directory,
        evacuations: Evacuations,
        catch_up: CatchUpDesk,
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
        self._telling = False
        notices.subscribe(StoreWatched, self._take)
        directory.on_change(lambda entry: self._tell_soon())
        routing_store.on_change(lambda table: self._tell_soon())
        evacuations.on_change(lambda evacuation: self._tell_soon())

    def async_start(self) -> None:
        """Begin to tell; where others are known, wait for their word before watching."""
        if len(self._routers):
            self._routing.defer_to_peers()
            self._list.defer_to_peers()
        self._app.async_create_task(self._async_vouch(), "vouch for the store")

    def count_watchers(self) -> int:
        """Return how many other routers watch the store."""
        counts = self._routers.count_by_data_centre()
        share = get_share(len(counts))
        return sum(min(share, count) for count in counts.values()) - 1

    def is_watcher(self) -> bool:
        """Return whether this router watches for its data centre."""
        return self._is_watcher(self._routers.list_neighbours())

    async def _async_vouch(self) -> None:
        while True:
            self._tell()
            await self._app.clock.async_sleep(VOUCH_MS)

    def _tell_soon(self) -> None:
        """Tell what changed once all of it was taken."""
        if not self._telling:
            self._telling = True
            asyncio.get_running_loop().call_soon(self._tell)

    def _tell(self) -> None:
        self._telling = False
        neighbours = self._routers.list_neighbours()
        if not self._is_watcher(neighbours):
            return
        if not (self._routing.current or self._list.current):
            return
        watched = self._make_news()
        for known in neighbours.values():
            if known.peer is not None:
                known.peer.send(watched)

    def _make_news(self) -> StoreWatched:
        return StoreWatched(
            routing_version=self._routing_store.version,
            routing_as_of=_tell_as_of(self._routing),
            list_newest=self._directory.applied_revision,
            list_as_of=self._directory.limit_to_applied(_tell_as_of(self._list)),
            evacuations=write_evacuations(self._evacuations),
        )

    def _is_watcher(self, neighbours: Collection[str]) -> bool:
        share = get_share(len(self._routers.count_by_data_centre()))
        return is_watcher(self._routers.own, neighbours, share=share)

    def _take(self, peer: Peer, watched: StoreWatched) -> None:
        if self.is_watcher():
            return
        if watched.routing_as_of:
            self._routing.note_peer_watching()
        if watched.list_as_of:
            self._list.note_peer_watching()
        self._catch_up.take_watched(peer, watched)


def _tell_as_of(state: WatchState) -> int:
    """Return up to which revision a list is known, 0 where the store cannot be read."""
    return state.as_of if state.current and state.as_of is not None else 0
