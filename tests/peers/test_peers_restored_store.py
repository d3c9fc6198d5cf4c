"""Restore of the store from an older backup, after which it reuses revisions.

Guards against routers that ignore changes whose reused revision is not above one they know from
before the restore.
"""

from __future__ import annotations

import pytest
from peer_fleet import FleetRouter, PeerFleet

from gypsumrouter.directory import EntryState
from gypsumrouter.link import CatchUpRequest
from gypsumrouter.peers.watchers import MIN_WATCHERS

# Time within which a change has to be applied; the specified limit is two seconds.
BOUND_MS = 1_500
OUTAGE_MS = 2_000
# Number of writes between the backup and the outage.
LOST_CHANGES = 6


async def async_restore(fleet: PeerFleet, revision: int, *, written: int = 0) -> None:
    """Make the store unavailable, restore a revision and write `written` new changes."""
    set_partitioned(fleet.routers, partitioned=True)
    await fleet.async_advance(OUTAGE_MS)
    fleet.store.restore(revision)
    for _ in range(written):
        fleet.store.put(EntryState.READY, key="i-2")
    set_partitioned(fleet.routers, partitioned=False)


def set_partitioned(routers: list[FleetRouter], *, partitioned: bool) -> None:
    for router in routers:
        router.partitioned = partitioned


@pytest.mark.parametrize("sizes", [(MIN_WATCHERS + 4,), (6, 6, 6)])
async def test_leaving_state_with_a_reused_revision_reaches_all_routers(
    sizes: tuple[int, ...],
) -> None:
    fleet = PeerFleet(*sizes)
    await fleet.async_start()
    backup_revision = fleet.store.revision
    for _ in range(LOST_CHANGES):
        fleet.store.put(EntryState.READY, key="i-2")
        await fleet.async_advance(500)
    await async_restore(fleet, backup_revision)
    await fleet.async_advance(2 * BOUND_MS)
    fleet.store.put(EntryState.LEAVING)
    await fleet.async_advance(BOUND_MS)
    assert {router.upstream_state for router in fleet.routers} == {EntryState.LEAVING}
    await fleet.async_stop()


async def test_leaving_state_below_the_previous_entry_revision_is_applied() -> None:
    fleet = PeerFleet(MIN_WATCHERS + 4)
    await fleet.async_start()
    backup_revision = fleet.store.revision
    for _ in range(LOST_CHANGES):
        fleet.store.put(EntryState.READY)
        await fleet.async_advance(500)
    await async_restore(fleet, backup_revision)
    await fleet.async_advance(2 * BOUND_MS)
    fleet.store.put(EntryState.LEAVING)
    await fleet.async_advance(BOUND_MS)
    assert {router.upstream_state for router in fleet.routers} == {EntryState.LEAVING}
    await fleet.async_stop()


async def test_leaving_state_written_during_the_outage_is_applied() -> None:
    """A watch that resumes at the old revision would miss the changes written below it."""
    fleet = PeerFleet(MIN_WATCHERS + 4)
    await fleet.async_start()
    backup_revision = fleet.store.revision
    for _ in range(LOST_CHANGES):
        fleet.store.put(EntryState.READY, key="i-2")
    await fleet.async_advance(500)
    set_partitioned(fleet.routers, partitioned=True)
    await fleet.async_advance(OUTAGE_MS)
    fleet.store.restore(backup_revision)
    fleet.store.put(EntryState.LEAVING)
    for _ in range(2 * LOST_CHANGES):
        fleet.store.put(EntryState.READY, key="i-2")
    set_partitioned(fleet.routers, partitioned=False)
    await fleet.async_advance(2 * BOUND_MS)
    assert {router.upstream_state for router in fleet.routers} == {EntryState.LEAVING}
    await fleet.async_stop()


async def test_leaving_upstream_stays_excluded_after_a_restore_to_ready() -> None:
    fleet = PeerFleet(MIN_WATCHERS + 4)
    await fleet.async_start()
    backup_revision = fleet.store.revision
    fleet.store.put(EntryState.LEAVING)
    await fleet.async_advance(BOUND_MS)
    await async_restore(fleet, backup_revision, written=LOST_CHANGES)
    for _ in range(10):
        await fleet.async_advance(500)
        assert {router.upstream_state for router in fleet.routers} == {EntryState.LEAVING}
    await fleet.async_stop()


@pytest.mark.parametrize("cut_off", [False, True], ids=["merged", "cut-off"])
async def test_router_that_starts_on_a_backup_learns_who_is_leaving_from_its_peers(
    cut_off: bool,
) -> None:
    """Guards against requests to an upstream whose leaving the store has lost.

    The peers have read the backup, or are cut off from the store.
    """
    fleet = PeerFleet(MIN_WATCHERS + 4)
    await fleet.async_start()
    backup_revision = fleet.store.revision
    fleet.store.put(EntryState.LEAVING)
    await fleet.async_advance(BOUND_MS)
    await async_restore(fleet, backup_revision)
    set_partitioned(fleet.routers, partitioned=cut_off)
    await fleet.async_advance(BOUND_MS)
    await fleet.async_stop_router(0)
    fleet.start_router(0)
    await fleet.async_advance(BOUND_MS)
    assert fleet.routers[0].directory.read_revision
    assert {router.upstream_state for router in fleet.routers} == {EntryState.LEAVING}
    await fleet.async_stop()


async def test_router_that_has_started_asks_few_peers_for_the_whole_list() -> None:
    """Guards against a whole list from each peer of a large fleet."""
    fleet = PeerFleet(MIN_WATCHERS + 8)
    await fleet.async_start()
    fleet.store.restore(fleet.store.revision)
    await fleet.async_advance(2 * BOUND_MS)
    requests: list[CatchUpRequest] = []
    for router in fleet.routers[1:]:
        router.notices.subscribe(CatchUpRequest, lambda _, request: requests.append(request))
    await fleet.async_stop_router(0)
    fleet.start_router(0)
    await fleet.async_advance(10_000)
    assert len([request for request in requests if request.since == 0]) in range(1, 4)
    await fleet.async_stop()
