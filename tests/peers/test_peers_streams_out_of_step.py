"""A router out of step takes no word of the past for the version at which a stream began."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest
from stream_fleet import StreamFleet, StreamRouter

from gypsumrouter.directory import EntryState

TOLD_MS = 200
# Each is younger than a gap in the history of the list.
LIST_AGES_MS = (100, 1_600, 2_900)

MakeFleet = Callable[[int], StreamFleet]


@pytest.fixture
async def make_fleet() -> AsyncIterator[MakeFleet]:
    fleets: list[StreamFleet] = []

    def make(size: int) -> StreamFleet:
        fleet = StreamFleet(size)
        fleets.append(fleet)
        for number in range(3):
            fleet.list_upstream(f"i-{number}", "v1")
        return fleet

    yield make
    for fleet in fleets:
        await fleet.async_stop()


def _cut(*routers: StreamRouter, list_age_ms: int) -> None:
    for router in routers:
        router.cut_group = 1
        router.lose_store(list_age_ms=list_age_ms)


@pytest.mark.parametrize("size", [3, 6, 12])
@pytest.mark.parametrize("list_age_ms", LIST_AGES_MS)
async def test_stream_of_a_new_version_goes_on_at_the_old_one_at_a_router_that_is_cut_off(
    make_fleet: MakeFleet, size: int, list_age_ms: int
) -> None:
    fleet = make_fleet(size)
    alone, in_step, *_ = fleet.routers.values()
    _cut(alone, list_age_ms=list_age_ms)
    fleet.list_upstream("i-9", "v2")
    in_step.begin("r1", "v2")
    await fleet.async_advance(TOLD_MS)
    assert await alone.async_find("r1") is None


async def test_routers_that_are_cut_off_together_confirm_each_other(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(6)
    one, two, in_step, *_ = fleet.routers.values()
    _cut(one, two, list_age_ms=1_600)
    fleet.list_upstream("i-9", "v2")
    in_step.begin("r1", "v2")
    await fleet.async_advance(TOLD_MS)
    assert await one.async_find("r1") is None


async def test_version_that_shows_while_others_are_asked_is_overlooked(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(3)
    paused, in_step, _ = fleet.routers.values()
    _cut(paused, list_age_ms=1_600)
    finding = asyncio.create_task(paused.async_find("r1"))
    await asyncio.sleep(0)
    paused.reaches_store = True
    fleet.list_upstream("i-9", "v2")
    in_step.begin("r1", "v2")
    assert await finding is None


async def test_stream_that_is_not_named_goes_on_at_the_old_version_at_a_router_that_is_cut_off(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(3)
    alone, *_ = fleet.routers.values()
    _cut(alone, list_age_ms=1_600)
    fleet.list_upstream("i-9", "v2")
    assert await alone.async_find(None) is None


async def test_version_that_replaced_all_others_is_unknown_to_a_router_that_is_cut_off(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(3)
    alone, in_step, _ = fleet.routers.values()
    _cut(alone, list_age_ms=1_600)
    for number in range(3):
        fleet.list_upstream(f"i-{number}", "v1", EntryState.GONE)
        fleet.list_upstream(f"j-{number}", "v2")
    in_step.begin("r1", "v2")
    await fleet.async_advance(TOLD_MS)
    assert await alone.async_find("r1") is None
