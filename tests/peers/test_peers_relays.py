"""Relay between data centres: loads, placements and refusals arrive with few messages."""

from __future__ import annotations

import pytest
from peer_fleet import STEP_MS, FleetRouter, PeerFleet

from gypsumrouter.contention.workspaces import PEER_USAGE_TTL_MS

# Time for state to reach all data centres: one update to the neighbours, one between data centres
# and one to the neighbours there.
PROPAGATION_MS = 1_000
# Additional time until a failed relay is replaced.
RELAY_FAILOVER_MS = 2_000


def has_cached_part(router: FleetRouter, part: int, upstream: str) -> bool:
    held = router.cache_index.list_cached(now_ms=router.app.clock.now_ms())
    return part in held.get(upstream, ())


@pytest.mark.parametrize("sizes", [(1, 1, 1), (2, 2, 1), (14, 14, 14, 14, 12)])
async def test_loads_and_placements_reach_all_routers(sizes: tuple[int, ...]) -> None:
    fleet = PeerFleet(*sizes)
    await fleet.async_start()
    for router in fleet.routers:
        router.place(7, "i-1")
    fleet.routers[-1].place(8, "i-2")
    await fleet.async_advance(PROPAGATION_MS)
    loads = {(router.get_load("i-1"), router.get_load("i-2")) for router in fleet.routers}
    assert loads == {(len(fleet.routers), 1)}
    assert all(has_cached_part(router, 8, "i-2") for router in fleet.routers)
    await fleet.async_stop()


async def test_cross_data_centre_messages_do_not_grow_with_routers() -> None:
    small, large = PeerFleet(3, 3, 3), PeerFleet(20, 20, 20)
    for fleet in (small, large):
        await fleet.async_start()
        await fleet.async_advance(3_000)
    sent = [
        sum(router.cross_data_centre_messages for router in fleet.routers)
        for fleet in (small, large)
    ]
    assert sent[1] <= sent[0]
    for fleet in (small, large):
        await fleet.async_stop()


async def test_another_router_replaces_a_failed_relay() -> None:
    fleet = PeerFleet(4, 4)
    await fleet.async_start()
    fleet.routers[0].running = fleet.routers[4].running = False
    await fleet.async_advance(RELAY_FAILOVER_MS)
    fleet.routers[3].place(9, "i-1")
    await fleet.async_advance(PROPAGATION_MS)
    assert all(
        has_cached_part(router, 9, "i-1") and router.get_load("i-1")
        for router in fleet.list_running()
    )
    await fleet.async_stop()


async def test_placements_are_delivered_after_a_data_centre_recovers() -> None:
    fleet = PeerFleet(2, 2)
    await fleet.async_start()
    for router in fleet.routers[2:]:
        router.running = False
    fleet.routers[0].place(9, "i-1")
    await fleet.async_advance(RELAY_FAILOVER_MS)
    for router in fleet.routers[2:]:
        router.running = True
    await fleet.async_advance(RELAY_FAILOVER_MS + PROPAGATION_MS)
    assert all(has_cached_part(router, 9, "i-1") for router in fleet.routers)
    await fleet.async_stop()


async def test_loads_of_an_unreachable_data_centre_expire() -> None:
    fleet = PeerFleet(2, 2)
    await fleet.async_start()
    fleet.routers[3].place(9, "i-1")
    await fleet.async_advance(PROPAGATION_MS)
    assert fleet.routers[0].get_load("i-1") == 1
    for router in fleet.routers[2:]:
        router.running = False
    await fleet.async_advance(RELAY_FAILOVER_MS)
    assert fleet.routers[0].get_load("i-1") == 0
    await fleet.async_stop()


async def test_live_router_count_is_the_same_on_all_routers() -> None:
    fleet = PeerFleet(5, 4, 3)
    await fleet.async_start()
    assert {router.routers.count_alive() for router in fleet.routers} == {11}
    await fleet.async_stop()


async def test_refusing_upstream_is_excluded_on_all_routers_and_retried() -> None:
    fleet = PeerFleet(4, 4, 2)
    await fleet.async_start()
    observer = fleet.routers[5]
    entry = observer.directory.get("i-1")
    assert entry is not None
    observer.placer.note_unreachable(entry, reason="refused", refused=True)
    # A timeout may be caused by the router's own network, so it is not shared with peers.
    observer.placer.health.note_unreachable("i-2", reason="no answer")
    excluding: set[str] = set()
    for _ in range(PROPAGATION_MS // STEP_MS):
        await fleet.async_advance(STEP_MS)
        excluding |= {r.name for r in fleet.routers if r.placer.health.is_down("i-1")}
        assert not any(r.placer.health.is_down("i-2") for r in fleet.routers if r is not observer)
    assert excluding == {router.name for router in fleet.routers}
    await fleet.async_advance(1_000)
    assert not any(router.placer.health.is_down("i-1") for router in fleet.routers)
    await fleet.async_stop()


def note_work(fleet: PeerFleet) -> None:
    """Count equal work of one workspace on each router, and more of another on the last one."""
    now_ms = fleet.clock.now_ms()
    for router in fleet.routers:
        note_sent(router, "spread", 1_000.0, now_ms)
    note_sent(fleet.routers[-1], "one-router", 50_000.0, now_ms)


def note_sent(router: FleetRouter, workspace: str, cost: float, now_ms: int) -> None:
    router.shares.note(workspace=workspace, cost=cost, now_ms=now_ms)
    router.shares.note_sent(workspace=workspace, cost=cost, now_ms=now_ms)


def get_work(router: FleetRouter, workspace: str) -> float:
    dumped = router.shares.dump(now_ms=router.app.clock.now_ms())
    assert isinstance(dumped, dict)
    return float(dumped.get(workspace, {"work": 0.0})["work"])


@pytest.mark.parametrize("sizes", [(1, 1, 1), (3, 3, 3), (9, 9, 9)])
async def test_work_of_workspaces_reaches_all_routers(sizes: tuple[int, ...]) -> None:
    fleet = PeerFleet(*sizes)
    await fleet.async_start()
    for _ in range(20):
        note_work(fleet)
        await fleet.async_advance(500)
    # A window holds some 8 of the amounts noted every 0.5 s; those of peers are up to 2.5 s old.
    for router in fleet.routers:
        assert get_work(router, "one-router") > 5 * 50_000
        assert 5_000 < get_work(router, "spread") / len(fleet.routers) < 10_000
    await fleet.async_stop()


async def test_work_of_an_unreachable_data_centre_expires() -> None:
    fleet = PeerFleet(2, 2)
    await fleet.async_start()
    for _ in range(10):
        note_work(fleet)
        await fleet.async_advance(500)
    assert get_work(fleet.routers[0], "one-router") > 0
    for router in fleet.routers[2:]:
        router.running = False
    await fleet.async_advance(PEER_USAGE_TTL_MS + PROPAGATION_MS)
    assert get_work(fleet.routers[0], "one-router") == 0
    await fleet.async_stop()
