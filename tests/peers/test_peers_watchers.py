"""Watcher selection, propagation of store changes and the number of store calls."""

from __future__ import annotations

import pytest
from peer_fleet import PeerFleet

from gypsumrouter.directory import EntryState, Evacuation
from gypsumrouter.peers.watchers import MIN_WATCHERS, get_watchers_per_data_centre, is_watcher
from gypsumrouter.util.revisions import get_number

# Time within which a change has to be applied. The specified limit is two seconds, which includes
# the transmission of a request.
BOUND_MS = 1_500


def test_watchers_are_the_first_addresses_of_a_data_centre() -> None:
    addresses = [f"10.0.0.{number}:80" for number in range(1, 6)]
    watching = [
        own for own in addresses if is_watcher(own, set(addresses) - {own}, per_data_centre=2)
    ]
    assert watching == addresses[:2]


@pytest.mark.parametrize(
    ("data_centres", "per_data_centre"), [(1, MIN_WATCHERS), (2, 3), (3, 2), (5, 1), (9, 1)]
)
def test_watchers_per_data_centre(data_centres: int, per_data_centre: int) -> None:
    assert get_watchers_per_data_centre(data_centres) == per_data_centre


def test_router_without_neighbours_watches() -> None:
    assert is_watcher("10.0.0.9:80", (), per_data_centre=1)


@pytest.mark.parametrize("sizes", [(4, 2), (14, 14, 14, 14, 12), (37,) * 8 + (34,)])
async def test_changes_reach_all_routers_with_calls_from_watchers_only(
    sizes: tuple[int, ...],
) -> None:
    fleet = PeerFleet(*sizes)
    await fleet.async_start()
    calls = fleet.store.calls
    changes = 4
    for number in range(changes):
        state = EntryState.LEAVING if number % 2 else EntryState.GONE
        fleet.store.put(state)
        await fleet.async_advance(1_000)
        assert {router.upstream_state for router in fleet.routers} == {state}
    per_data_centre = get_watchers_per_data_centre(len(sizes))
    watchers = sum(min(per_data_centre, size) for size in sizes)
    assert fleet.store.calls - calls <= watchers * (changes + 8)
    await fleet.async_stop()


async def test_removal_is_applied_after_all_watchers_of_a_data_centre_fail() -> None:
    fleet = PeerFleet(6, 6, 6)
    await fleet.async_start()
    for router in fleet.routers[: get_watchers_per_data_centre(3)]:
        router.running = False
    fleet.store.put(EntryState.GONE)
    await fleet.async_advance(BOUND_MS)
    assert {router.upstream_state for router in fleet.list_running()} == {EntryState.GONE}
    await fleet.async_stop()


async def test_removal_is_applied_after_all_watchers_of_the_only_data_centre_fail() -> None:
    fleet = PeerFleet(MIN_WATCHERS + 4)
    await fleet.async_start()
    for router in fleet.routers[:MIN_WATCHERS]:
        router.running = False
    fleet.store.put(EntryState.GONE)
    await fleet.async_advance(BOUND_MS)
    assert {router.upstream_state for router in fleet.list_running()} == {EntryState.GONE}
    await fleet.async_stop()


async def test_watchers_without_store_access_do_not_announce() -> None:
    fleet = PeerFleet(10)
    await fleet.async_start()
    for router in fleet.routers[:MIN_WATCHERS]:
        router.partitioned = True
    # Their pending watches time out, and the other routers start to watch.
    await fleet.async_advance(7_000)
    fleet.store.put(EntryState.GONE)
    await fleet.async_advance(BOUND_MS)
    assert {router.upstream_state for router in fleet.routers[MIN_WATCHERS:]} == {EntryState.GONE}
    await fleet.async_stop()


async def test_undetected_partition_of_watchers_is_covered_by_another_data_centre() -> None:
    fleet = PeerFleet(5, 5, 5)
    await fleet.async_start()
    for router in fleet.routers[: get_watchers_per_data_centre(3)]:
        router.partitioned = True
    fleet.store.put(EntryState.GONE)
    await fleet.async_advance(BOUND_MS)
    assert {router.upstream_state for router in fleet.routers} == {EntryState.GONE}
    await fleet.async_stop()


async def test_store_outage_limits_calls_and_recovery_is_detected_promptly() -> None:
    fleet = PeerFleet(12, 12, 12)
    await fleet.async_start()
    for router in fleet.routers:
        router.partitioned = True
    await fleet.async_advance(7_000)
    calls = fleet.store.calls
    await fleet.async_advance(6_000)
    # Six watchers retry every 0.6 s on average and thirty others every 2.3 s: about 140 calls.
    assert fleet.store.calls - calls < 200
    for router in fleet.routers:
        router.partitioned = False
    fleet.store.put(EntryState.LEAVING)
    await fleet.async_advance(BOUND_MS)
    assert {router.upstream_state for router in fleet.routers} == {EntryState.LEAVING}
    await fleet.async_stop()


async def test_resumed_router_catches_up_from_a_watcher() -> None:
    fleet = PeerFleet(8)
    await fleet.async_start()
    late = fleet.routers[-1]
    late.running = False
    for state in (EntryState.LEAVING, EntryState.GONE):
        fleet.store.put(state)
        await fleet.async_advance(1_000)
    late.running = True
    await fleet.async_advance(BOUND_MS)
    assert late.upstream_state is EntryState.GONE
    await fleet.async_stop()


async def test_announced_revision_allows_a_router_to_start_watching() -> None:
    """The router knows the newest revision, so its first watch lies within the store's history."""
    fleet = PeerFleet(8)
    await fleet.async_start()
    fleet.store.put(EntryState.LEAVING)
    await fleet.async_advance(1_000)
    announced = fleet.routers[-1].state.as_of
    assert announced is not None
    assert get_number(announced) == fleet.store.revision
    await fleet.async_stop()


async def test_evacuations_reach_routers_without_store_access() -> None:
    fleet = PeerFleet(3, 3, 3)
    await fleet.async_start()
    for router in fleet.routers[1:]:
        router.partitioned = True
    evacuation = Evacuation(data_centre="dc-2", revision=500, active=True)
    fleet.routers[0].evacuations.merge(evacuation, source="platform")
    await fleet.async_advance(BOUND_MS)
    assert all(router.evacuations.is_active("dc-2") for router in fleet.routers)
    ended = Evacuation(data_centre="dc-2", revision=501, active=False)
    fleet.routers[0].evacuations.merge(ended, source="platform")
    await fleet.async_advance(BOUND_MS)
    assert not any(router.evacuations.is_active("dc-2") for router in fleet.routers)
    await fleet.async_stop()
