"""Changes while the watchers of all data centres are cut off from the store, but not from peers."""

from __future__ import annotations

import json

import pytest
from memory_store import MemoryStore
from peer_fleet import FleetRouter, PeerFleet
from store_view import StoreView

from gypsumrouter.directory import EntryState
from gypsumrouter.platform import decode_configuration
from gypsumrouter.platform.names import KEY_CONFIGURATION
from gypsumrouter.platform.store import RESPONSE_TIMEOUT_MS
from gypsumrouter.published import Follower, ItemBatch
from gypsumrouter.util.clock import ManualClock

# A version has to be in force within 3 s of its acknowledgement; the rest is for connections.
BOUND_MS = 2_500
CUTS = pytest.mark.parametrize("cut_ms", range(0, 2_500, 250))


class ConfiguredRouter:
    """What follows the configuration at one router."""

    def __init__(self, router: FleetRouter, store: MemoryStore, clock: ManualClock) -> None:
        self.router = router
        self.view = StoreView(store=store, clock=clock, timeout_ms=RESPONSE_TIMEOUT_MS)
        self._follower = Follower(
            app=router.app,
            journal=router.journal,
            name="configuration",
            store=self.view,
            state=router.routing_state,
            handle_all=self._apply,
            handle_changes=self._apply,
            count_peers=router.routers.count_alive,
            is_watcher=router.watchers.is_watcher,
        )
        self._follower.async_start()

    def _apply(self, listed: ItemBatch) -> None:
        for item in listed.items:
            configuration = decode_configuration(item.value or b"")
            self.router.routing.offer(configuration, source="platform")


class ConfiguredFleet:
    """Routers of three data centres that follow the list and the configuration."""

    def __init__(self) -> None:
        self.fleet = PeerFleet(6, 6, 6)
        self.store = MemoryStore(self.fleet.clock)
        self.write(1)
        self.routers = [
            ConfiguredRouter(router, self.store, self.fleet.clock) for router in self.fleet.routers
        ]

    def write(self, version: int) -> None:
        """Write a version of the configuration."""
        self.store.write(KEY_CONFIGURATION, json.dumps({"version": version}).encode())

    def cut_watchers(self) -> list[FleetRouter]:
        """Cut all watchers off from the store; return the other routers."""
        others: list[FleetRouter] = []
        for configured in self.routers:
            router = configured.router
            if router.watchers.is_watcher():
                configured.view.partitioned = router.partitioned = True
            else:
                others.append(router)
        return others


# Guards against a configuration that is in force late, since the routers rely on watchers whose
# pending watch has lost its response.
@CUTS
async def test_configuration_is_late_as_the_watchers_are_cut_off(cut_ms: int) -> None:
    configured = ConfiguredFleet()
    fleet = configured.fleet
    await fleet.async_start()
    await fleet.async_advance(cut_ms)
    others = configured.cut_watchers()
    configured.write(2)
    await fleet.async_advance(BOUND_MS)
    assert {router.routing.version for router in others} == {2}
    await fleet.async_stop()


# Guards against a removal that is known late, or deferred as if the store had been away.
@CUTS
async def test_removal_is_late_as_the_watchers_are_cut_off(cut_ms: int) -> None:
    configured = ConfiguredFleet()
    fleet = configured.fleet
    await fleet.async_start()
    await fleet.async_advance(cut_ms)
    others = configured.cut_watchers()
    fleet.store.put(EntryState.GONE)
    await fleet.async_advance(BOUND_MS)
    assert {router.upstream_state for router in others} == {EntryState.GONE}
    await fleet.async_stop()


# Guards against watches of all routers, each of which costs a call for each change, while only
# some of the watchers are cut off.
async def test_routers_watch_themselves_though_one_watcher_has_the_store() -> None:
    configured = ConfiguredFleet()
    fleet = configured.fleet
    await fleet.async_start()
    cut = [c for c in configured.routers if c.router.watchers.is_watcher()][::2]
    for watcher in cut:
        watcher.view.partitioned = watcher.router.partitioned = True
    await fleet.async_advance(5_000)
    assert all(
        c.router.routing_state.peer_watching and c.router.state.peer_watching
        for c in configured.routers
        if not c.router.watchers.is_watcher()
    )
    await fleet.async_stop()
