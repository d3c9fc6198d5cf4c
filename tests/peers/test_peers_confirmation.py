"""A router finds out whether its list has all that was listed when it asked."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable

import pytest
from memory_store import MemoryStore
from peer_fleet import FleetRouter, PeerFleet, async_run_ready_tasks

from gypsumrouter.directory import EntryState
from gypsumrouter.published import StoreUnavailable

STEPS = 40
STEP_MS = 5


@pytest.fixture
async def fleet() -> AsyncIterator[PeerFleet]:
    fleet = PeerFleet(6, 6, 6)
    await fleet.async_start()
    yield fleet
    await fleet.async_stop()


def _list_watchers(fleet: PeerFleet) -> list[FleetRouter]:
    return [router for router in fleet.routers if router.watchers.is_watcher()]


def _list_followers(fleet: PeerFleet) -> list[FleetRouter]:
    return [router for router in fleet.routers if not router.watchers.is_watcher()]


async def _async_confirm_all(fleet: PeerFleet, routers: Iterable[FleetRouter]) -> list[bool]:
    """Ask at all of these routers at once, and run until they have answered."""
    asked = [asyncio.create_task(router.confirmer.async_confirm()) for router in routers]
    for _ in range(STEPS):
        fleet.clock.advance(STEP_MS)
        await async_run_ready_tasks()
    return await asyncio.gather(*asked)


def _write_unseen(store: MemoryStore, key: str) -> None:
    """Write an upstream of which no pending watch tells."""
    store.revision += 1
    store.items.append(
        type(store.items[0])(
            key=key, revision=store.revision, value=EntryState.READY.value.encode()
        )
    )


async def test_list_is_confirmed_without_the_latest_upstream(fleet: PeerFleet) -> None:
    _write_unseen(fleet.store, "i-2")
    assert all(router.directory.get("i-2") is None for router in fleet.routers)
    assert all(await _async_confirm_all(fleet, fleet.routers))
    assert all(router.directory.get("i-2") is not None for router in fleet.routers)


async def test_questions_of_followers_reach_the_store(fleet: PeerFleet) -> None:
    followers = _list_followers(fleet)
    asked = [router.question_view for router in followers]
    for view in asked:
        view.partitioned = True
    calls = fleet.store.calls
    assert all(await _async_confirm_all(fleet, followers))
    # Watches go on meanwhile.
    assert fleet.store.calls - calls <= 3 * len(_list_watchers(fleet))


async def test_watcher_that_is_cut_off_from_the_store_confirms_nothing(fleet: PeerFleet) -> None:
    watcher = _list_watchers(fleet)[0]
    watcher.partitioned = True
    _write_unseen(fleet.store, "i-2")
    assert await _async_confirm_all(fleet, [watcher]) == [True]
    assert watcher.directory.get("i-2") is not None


async def test_follower_whose_watchers_are_cut_off_confirms_nothing(fleet: PeerFleet) -> None:
    follower = _list_followers(fleet)[0]
    for router in _list_watchers(fleet):
        router.partitioned = True
    _write_unseen(fleet.store, "i-2")
    assert await _async_confirm_all(fleet, [follower]) == [True]
    assert follower.directory.get("i-2") is not None


@pytest.mark.parametrize("is_watcher", [True, False])
async def test_list_is_confirmed_by_routers_that_are_cut_off_as_well(
    fleet: PeerFleet, is_watcher: bool
) -> None:
    for router in fleet.routers:
        router.partitioned = True
    asker = (_list_watchers if is_watcher else _list_followers)(fleet)[0]
    assert await _async_confirm_all(fleet, [asker]) == [False]


async def test_list_is_confirmed_in_a_grace_period(fleet: PeerFleet) -> None:
    follower = _list_followers(fleet)[0]
    for router in fleet.routers:
        if router is follower:
            continue
        router.directory.note_outage()
        router.directory.note_recovered(silent_ms=60_000)
        assert router.directory.in_grace_period
    follower.question_view.partitioned = True
    with pytest.raises(StoreUnavailable):
        await follower.question_view.async_list()
    assert await _async_confirm_all(fleet, [follower]) == [False]


async def test_followers_whose_watcher_has_died_find_no_other(fleet: PeerFleet) -> None:
    followers = [r for r in _list_followers(fleet) if r.app.data_centre == "dc-0"]
    for router in _list_watchers(fleet):
        if router.app.data_centre == "dc-0":
            router.running = False
    _write_unseen(fleet.store, "i-2")
    assert all(await _async_confirm_all(fleet, followers))
    assert all(router.directory.get("i-2") is not None for router in followers)


async def test_questions_that_nobody_answers_are_kept(fleet: PeerFleet) -> None:
    for router in fleet.routers:
        router.partitioned = True
    tasks = len(asyncio.all_tasks())
    for _ in range(3):
        assert not any(await _async_confirm_all(fleet, fleet.routers))
    await async_run_ready_tasks()
    assert all(router.confirmer.unanswered == 0 for router in fleet.routers)
    # The routers' own tasks only; some of them have begun another wait.
    assert len(asyncio.all_tasks()) <= tasks + len(fleet.routers)
