"""What routers know of loads and prompts in other data centres, and what telling it costs."""

from __future__ import annotations

import pytest
from peer_fleet import STEP_MS, FleetRouter, PeerFleet

# What a router tells is known in all data centres after this long: its next news to its neighbours,
# the next news between data centres, and the next ones there.
NEWS_AGE_MS = 1_000
# A relay that was lost is made up for after this long more.
RELAY_LOST_MS = 2_000


def knows(router: FleetRouter, part: int, upstream: str) -> bool:
    held = router.holdings.list_cached(now_ms=router.app.clock.now_ms())
    return part in held.get(upstream, ())


@pytest.mark.parametrize("sizes", [(1, 1, 1), (2, 2, 1), (14, 14, 14, 14, 12)])
async def test_loads_and_placements_are_known_everywhere(sizes: tuple[int, ...]) -> None:
    fleet = PeerFleet(*sizes)
    await fleet.async_start()
    for router in fleet.routers:
        router.place(7, "i-1")
    fleet.routers[-1].place(8, "i-2")
    await fleet.async_pass(NEWS_AGE_MS)
    loads = {(router.get_load("i-1"), router.get_load("i-2")) for router in fleet.routers}
    assert loads == {(len(fleet.routers), 1)}
    assert all(knows(router, 8, "i-2") for router in fleet.routers)
    await fleet.async_stop()


async def test_messages_between_data_centres_grow_with_data_centres_and_not_with_routers() -> None:
    small, large = PeerFleet(3, 3, 3), PeerFleet(20, 20, 20)
    for fleet in (small, large):
        await fleet.async_start()
        await fleet.async_pass(3_000)
    sent = [sum(router.sent_far for router in fleet.routers) for fleet in (small, large)]
    assert sent[1] <= sent[0]
    for fleet in (small, large):
        await fleet.async_stop()


async def test_a_relay_that_is_lost_is_made_up_for() -> None:
    fleet = PeerFleet(4, 4)
    await fleet.async_start()
    fleet.routers[0].runs = fleet.routers[4].runs = False
    await fleet.async_pass(RELAY_LOST_MS)
    fleet.routers[3].place(9, "i-1")
    await fleet.async_pass(NEWS_AGE_MS)
    assert all(knows(router, 9, "i-1") and router.get_load("i-1") for router in fleet.running())
    await fleet.async_stop()


async def test_what_was_placed_while_a_data_centre_was_away_is_told_later() -> None:
    fleet = PeerFleet(2, 2)
    await fleet.async_start()
    for router in fleet.routers[2:]:
        router.runs = False
    fleet.routers[0].place(9, "i-1")
    await fleet.async_pass(RELAY_LOST_MS)
    for router in fleet.routers[2:]:
        router.runs = True
    await fleet.async_pass(RELAY_LOST_MS + NEWS_AGE_MS)
    assert all(knows(router, 9, "i-1") for router in fleet.routers)
    await fleet.async_stop()


async def test_loads_of_a_data_centre_that_fell_silent_count_no_more() -> None:
    fleet = PeerFleet(2, 2)
    await fleet.async_start()
    fleet.routers[3].place(9, "i-1")
    await fleet.async_pass(NEWS_AGE_MS)
    assert fleet.routers[0].get_load("i-1") == 1
    for router in fleet.routers[2:]:
        router.runs = False
    await fleet.async_pass(RELAY_LOST_MS)
    assert fleet.routers[0].get_load("i-1") == 0
    await fleet.async_stop()


async def test_every_router_knows_how_many_there_are() -> None:
    fleet = PeerFleet(5, 4, 3)
    await fleet.async_start()
    assert {router.routers.count_alive() for router in fleet.routers} == {11}
    await fleet.async_stop()


async def test_what_refuses_connections_is_left_alone_everywhere_and_tried_again_soon() -> None:
    fleet = PeerFleet(4, 4, 2)
    await fleet.async_start()
    meets = fleet.routers[5]
    entry = meets.directory.get("i-1")
    assert entry is not None
    meets.placer.note_unreachable(entry, reason="refused", refused=True)
    # What does not answer may be the fault of the router that asked.
    meets.placer.health.note_unreachable("i-2", reason="no answer")
    left: set[str] = set()
    for _ in range(NEWS_AGE_MS // STEP_MS):
        await fleet.async_pass(STEP_MS)
        left |= {r.name for r in fleet.routers if r.placer.health.is_down("i-1")}
        assert not any(r.placer.health.is_down("i-2") for r in fleet.routers if r is not meets)
    assert left == {router.name for router in fleet.routers}
    await fleet.async_pass(1_000)
    assert not any(router.placer.health.is_down("i-1") for router in fleet.routers)
    await fleet.async_stop()
