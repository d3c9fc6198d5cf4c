"""Changes that routers with a troubled connection to the store kept from their neighbours."""

from __future__ import annotations

import pytest
from peer_fleet import STEP_MS, FleetRouter, PeerFleet

from gypsumrouter.directory import EntryState
from gypsumrouter.peers.watchers import MIN_WATCHERS

# Time within which a change has to be applied; the specified limit is two seconds.
BOUND_MS = 1_500
# The drain bound holds again three seconds after connections went silent.
SILENT_BOUND_MS = 3_000
RESET_INTERVALS_MS = (1_000, 1_600)
# Long enough that every router notices the outage, also one whose watch began just before it.
OUTAGE_MS = 6_000
# Upstreams whose entries lapsed write them again within this time after an outage.
RETURN_MS = 1_800
SIZES = [(4, 4, 4, 4, 4), (6, 6, 6), (MIN_WATCHERS + 4,)]


@pytest.mark.parametrize("interval_ms", RESET_INTERVALS_MS)
@pytest.mark.parametrize("sizes", SIZES)
async def test_removal_waited_while_connections_to_the_store_were_reset(
    sizes: tuple[int, ...], interval_ms: int
) -> None:
    fleet = PeerFleet(*sizes)
    fleet.store.put(EntryState.READY, key="i-2")
    await fleet.async_start()
    await async_reset_watchers(fleet, interval_ms)
    fleet.store.put(EntryState.GONE)
    for _ in range(BOUND_MS // interval_ms + 1):
        await async_reset_watchers(fleet, interval_ms)
    assert list_states(fleet.routers, "i-1") == {EntryState.GONE}
    await fleet.async_stop()


@pytest.mark.parametrize("sizes", SIZES)
async def test_drain_was_withheld_while_a_removal_was_deferred(sizes: tuple[int, ...]) -> None:
    fleet = PeerFleet(*sizes)
    fleet.store.put(EntryState.READY, key="i-2")
    await fleet.async_start()
    for router in fleet.routers:
        router.partitioned = True
    await fleet.async_advance(OUTAGE_MS)
    fleet.store.put(EntryState.GONE)
    for router in fleet.routers:
        router.partitioned = False
    # All watchers are back, and their grace period has begun.
    await fleet.async_advance(1_000)
    fleet.store.put(EntryState.LEAVING, key="i-2")
    await fleet.async_advance(1_000)
    assert list_states(fleet.routers, "i-2") == {EntryState.LEAVING}
    assert list_states(fleet.routers, "i-1") == {EntryState.READY}
    await fleet.async_advance(2 * BOUND_MS)
    assert list_states(fleet.routers, "i-1") == {EntryState.GONE}
    await fleet.async_stop()


@pytest.mark.parametrize("hang_ms", [2_600, 3_000, 3_400])
@pytest.mark.parametrize("sizes", SIZES)
async def test_upstreams_were_dropped_after_an_outage_that_no_pending_watch_noticed(
    sizes: tuple[int, ...], hang_ms: int
) -> None:
    fleet = PeerFleet(*sizes)
    fleet.store.put(EntryState.READY, key="i-2")
    await fleet.async_start()
    # Ends all watches, so that the next ones begin right before the store hangs.
    fleet.store.put(EntryState.LEAVING, key="i-3")
    await fleet.async_advance(STEP_MS)
    fleet.store.set_hanging(True)
    await fleet.async_advance(hang_ms)
    fleet.store.put(EntryState.GONE)
    fleet.store.set_hanging(False)
    for _ in range(RETURN_MS // 100):
        await fleet.async_advance(100)
        assert list_states(fleet.routers, "i-1") == {EntryState.READY}
    fleet.store.put(EntryState.READY)
    await fleet.async_advance(2 * BOUND_MS)
    assert list_states(fleet.routers, "i-1") == {EntryState.READY}
    await fleet.async_stop()


@pytest.mark.parametrize("sizes", SIZES)
async def test_removal_waited_while_the_connections_of_all_watchers_were_silent(
    sizes: tuple[int, ...],
) -> None:
    fleet = PeerFleet(*sizes)
    await fleet.async_start()
    for router in fleet.routers:
        if router.watchers.is_watcher():
            router.store_view.silence()
    fleet.store.put(EntryState.GONE)
    await fleet.async_advance(SILENT_BOUND_MS)
    assert list_states(fleet.routers, "i-1") == {EntryState.GONE}
    await fleet.async_stop()


async def async_reset_watchers(fleet: PeerFleet, interval_ms: int) -> None:
    for router in fleet.routers:
        if router.watchers.is_watcher():
            router.store_view.reset()
    await fleet.async_advance(interval_ms)


def list_states(routers: list[FleetRouter], upstream: str) -> set[EntryState | None]:
    entries = (router.directory.get(upstream) for router in routers)
    return {None if entry is None else entry.state for entry in entries}
