"""Which routers watch the store, what the others know, and what it costs."""

from __future__ import annotations

import pytest
from peer_fleet import PeerFleet

from gypsumrouter.directory import EntryState, Evacuation
from gypsumrouter.peers.watchers import MIN_WATCHERS, get_watchers_per_data_centre, is_watcher
from gypsumrouter.util.revisions import get_number

# Changes are in force within two seconds at the tightest. A router whose watchers were lost or cut
# off unnoticed has to be quicker by the time that it takes a request to get there.
BOUND_MS = 1_500


def test_the_first_addresses_of_a_data_centre_watch() -> None:
    addresses = [f"10.0.0.{number}:80" for number in range(1, 6)]
    watching = [
        own for own in addresses if is_watcher(own, set(addresses) - {own}, per_data_centre=2)
    ]
    assert watching == addresses[:2]


@pytest.mark.parametrize(
    ("data_centres", "per_data_centre"), [(1, MIN_WATCHERS), (2, 3), (3, 2), (5, 1), (9, 1)]
)
def test_few_data_centres_have_more_watchers_each(data_centres: int, per_data_centre: int) -> None:
    assert get_watchers_per_data_centre(data_centres) == per_data_centre


def test_a_router_that_hears_of_nobody_watches() -> None:
    assert is_watcher("10.0.0.9:80", (), per_data_centre=1)


@pytest.mark.parametrize("sizes", [(4, 2), (14, 14, 14, 14, 12), (37,) * 8 + (34,)])
async def test_changes_reach_all_routers_for_calls_of_few(sizes: tuple[int, ...]) -> None:
    fleet = PeerFleet(*sizes)
    await fleet.async_start()
    calls = fleet.store.calls
    changes = 4
    for number in range(changes):
        state = EntryState.LEAVING if number % 2 else EntryState.GONE
        fleet.store.put(state)
        await fleet.async_pass(1_000)
        assert {router.known for router in fleet.routers} == {state}
    per_data_centre = get_watchers_per_data_centre(len(sizes))
    watchers = sum(min(per_data_centre, size) for size in sizes)
    assert fleet.store.calls - calls <= watchers * (changes + 8)
    await fleet.async_stop()


async def test_all_watchers_of_a_data_centre_are_lost_at_once_before_a_removal() -> None:
    fleet = PeerFleet(6, 6, 6)
    await fleet.async_start()
    for router in fleet.routers[: get_watchers_per_data_centre(3)]:
        router.runs = False
    fleet.store.put(EntryState.GONE)
    await fleet.async_pass(BOUND_MS)
    assert {router.known for router in fleet.running()} == {EntryState.GONE}
    await fleet.async_stop()


async def test_all_watchers_of_the_only_data_centre_are_lost_at_once_before_a_removal() -> None:
    fleet = PeerFleet(MIN_WATCHERS + 4)
    await fleet.async_start()
    for router in fleet.routers[:MIN_WATCHERS]:
        router.runs = False
    fleet.store.put(EntryState.GONE)
    await fleet.async_pass(BOUND_MS)
    assert {router.known for router in fleet.running()} == {EntryState.GONE}
    await fleet.async_stop()


async def test_watchers_that_the_store_turns_away_vouch_for_nothing() -> None:
    fleet = PeerFleet(10)
    await fleet.async_start()
    for router in fleet.routers[:MIN_WATCHERS]:
        router.cut = True
    # Their waiting watches end without an answer, and the others ask themselves.
    await fleet.async_pass(7_000)
    fleet.store.put(EntryState.GONE)
    await fleet.async_pass(BOUND_MS)
    assert {router.known for router in fleet.routers[MIN_WATCHERS:]} == {EntryState.GONE}
    await fleet.async_stop()


async def test_watchers_that_are_cut_off_unnoticed_are_made_up_for_by_another_data_centre() -> None:
    fleet = PeerFleet(5, 5, 5)
    await fleet.async_start()
    for router in fleet.routers[: get_watchers_per_data_centre(3)]:
        router.cut = True
    fleet.store.put(EntryState.GONE)
    await fleet.async_pass(BOUND_MS)
    assert {router.known for router in fleet.routers} == {EntryState.GONE}
    await fleet.async_stop()


async def test_an_outage_of_the_store_costs_few_calls_and_its_end_is_known_at_once() -> None:
    fleet = PeerFleet(12, 12, 12)
    await fleet.async_start()
    for router in fleet.routers:
        router.cut = True
    await fleet.async_pass(7_000)
    calls = fleet.store.calls
    await fleet.async_pass(6_000)
    # Six watchers ask every 0.6 s on the average, thirty others every 2.3 s: 140 calls.
    assert fleet.store.calls - calls < 200
    for router in fleet.routers:
        router.cut = False
    fleet.store.put(EntryState.LEAVING)
    await fleet.async_pass(BOUND_MS)
    assert {router.known for router in fleet.routers} == {EntryState.LEAVING}
    await fleet.async_stop()


async def test_a_router_that_stood_still_takes_what_it_missed_from_a_watcher() -> None:
    fleet = PeerFleet(8)
    await fleet.async_start()
    late = fleet.routers[-1]
    late.runs = False
    for state in (EntryState.LEAVING, EntryState.GONE):
        fleet.store.put(state)
        await fleet.async_pass(1_000)
    late.runs = True
    await fleet.async_pass(BOUND_MS)
    assert late.known is EntryState.GONE
    await fleet.async_stop()


async def test_the_last_watcher_gone_a_follower_resumes_from_where_it_was_told() -> None:
    """It has the revision up to which it was told, so that the store's history reaches back."""
    fleet = PeerFleet(8)
    await fleet.async_start()
    fleet.store.put(EntryState.LEAVING)
    await fleet.async_pass(1_000)
    told = fleet.routers[-1].state.as_of
    assert told is not None
    assert get_number(told) == fleet.store.revision
    await fleet.async_stop()


async def test_a_router_that_cannot_read_the_store_hears_of_evacuations() -> None:
    fleet = PeerFleet(3, 3, 3)
    await fleet.async_start()
    for router in fleet.routers[1:]:
        router.cut = True
    evacuation = Evacuation(data_centre="dc-2", revision=500, active=True)
    fleet.routers[0].evacuations.merge(evacuation, source="platform")
    await fleet.async_pass(BOUND_MS)
    assert all(router.evacuations.is_active("dc-2") for router in fleet.routers)
    ended = Evacuation(data_centre="dc-2", revision=501, active=False)
    fleet.routers[0].evacuations.merge(ended, source="platform")
    await fleet.async_pass(BOUND_MS)
    assert not any(router.evacuations.is_active("dc-2") for router in fleet.routers)
    await fleet.async_stop()
