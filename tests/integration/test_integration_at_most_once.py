"""Calls that must not be repeated, while processes, views and the network fail."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
import pytest
from integration_fleet import IntegrationFleet, assert_unknown, async_until, get_router_index

from bench.faults_rig import Group
from bench.load import NoAnswer
from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins import OutageKind, Service

pytestmark = pytest.mark.asyncio(loop_scope="module")

BOTH = (Group.LEFT, Group.RIGHT)
REPEATS = 4
SHORT_MS = 1_000


async def test_routers_that_disagree_about_the_instances_run_a_call_once(
    fleet: IntegrationFleet,
) -> None:
    home = fleet.list_homes()[0]
    key, _ = await fleet.async_run_new_call(Group.LEFT, home)
    # From here on the right router goes on with the list of now.
    fleet.platform.lists[Group.RIGHT].serve_stale(fleet.clock.wall_ms())
    await fleet.rig.sides.pop(home).async_kill()
    fleet.platform.remove_listed(home)
    successor = fleet.rig.make_replacement(home)
    await fleet.rig.async_start_side(successor)
    await fleet.rig.async_wait_ready()
    for _ in range(REPEATS):
        for group in BOTH:
            assert_unknown(await fleet.async_call(group, key, deadline_ms=SHORT_MS))
    fresh, _ = await fleet.async_run_new_call(Group.LEFT, successor)
    fleet.platform.lists[Group.RIGHT].serve_stale(None)
    await fleet.async_call_until_whole(Group.RIGHT, fresh)
    assert fleet.count_runs(key) == 1
    assert fleet.count_runs(fresh) == 1


async def test_a_paused_home_that_wakes_late_does_not_run_what_its_successor_has_been_asked(
    fleet: IntegrationFleet,
) -> None:
    home = fleet.list_homes()[0]
    keys = [fleet.make_key(home) for _ in range(REPEATS)]
    paused = fleet.rig.sides.pop(home)
    paused.send_signal(signal.SIGSTOP)
    held = [asyncio.ensure_future(fleet.async_call(Group.LEFT, key)) for key in keys]
    try:
        fleet.platform.remove_listed(home)
        successor = fleet.rig.make_replacement(home)
        await fleet.rig.async_start_side(successor)
        await fleet.rig.async_wait_ready()
        await fleet.async_run_new_call(Group.RIGHT, successor)
        repeated = [await fleet.async_call(Group.RIGHT, key) for key in keys]
        paused.send_signal(signal.SIGCONT)
        assert await fleet.rig.async_wait_until_ready(paused, limit_ms=10 * MS_PER_S)
        await asyncio.gather(*held)
    finally:
        await paused.async_kill()
    for answer in repeated:
        assert_unknown(answer)
    assert all(fleet.count_runs(key) <= 1 for key in keys)


async def test_a_partition_whose_both_sides_serve_runs_a_call_once(
    fleet: IntegrationFleet,
) -> None:
    fleet.rig.partition.block([Group.LEFT], [Group.RIGHT])
    try:
        runs = {
            group: await fleet.async_run_new_call(group, fleet.list_homes(group)[0])
            for group in BOTH
        }
        others = await asyncio.gather(
            *(fleet.async_call(group.other, runs[group][0], deadline_ms=SHORT_MS) for group in BOTH)
        )
    finally:
        fleet.rig.partition.unblock([Group.LEFT], [Group.RIGHT])
    for answer in others:
        assert_unknown(answer)
    # After the partition the other router gets the answer of the one run.
    for group, (key, answer) in runs.items():
        assert await fleet.async_call_until_whole(group.other, key) == answer
        assert fleet.count_runs(key) == 1


async def test_a_killed_home_while_the_list_is_down_runs_nothing_twice(
    fleet: IntegrationFleet,
) -> None:
    home = fleet.list_homes()[0]
    key, _ = await fleet.async_run_new_call(Group.LEFT, home)
    for service in fleet.platform.lists.values():
        await service.async_set_outage(OutageKind.REFUSE)
    await fleet.rig.sides.pop(home).async_kill()
    for group in BOTH:
        assert_unknown(await fleet.async_call(group, key, deadline_ms=SHORT_MS))
    # The list comes back with the killed home on it, at its new address.
    for service in fleet.platform.lists.values():
        await service.async_set_outage(OutageKind.NONE)
    await fleet.rig.async_start_side(home)
    await fleet.rig.async_wait_ready()
    for group in BOTH:
        await fleet.async_run_new_call(group, home)
        assert_unknown(await fleet.async_call(group, key))
    assert fleet.count_runs(key) == 1


async def test_a_killed_router_leaves_its_call_to_the_other_one(fleet: IntegrationFleet) -> None:
    home = fleet.list_homes()[0]
    service = fleet.rig.get_upstream(home)
    assert isinstance(service, Service)
    key = fleet.make_key(home)
    service.delay_ms = SHORT_MS
    first = asyncio.ensure_future(fleet.async_call(Group.LEFT, key))
    await async_until(lambda: fleet.count_runs(key) == 1)
    name = next(name for name in fleet.rig.routers if get_router_index(name) == 0)
    await fleet.rig.routers.pop(name).async_kill()
    second = asyncio.ensure_future(fleet.async_call(Group.RIGHT, key))
    with pytest.raises(aiohttp.ClientError):
        await first
    answer = await second
    service.delay_ms = 0
    await fleet.rig.async_start_router(get_router_index(name))
    await fleet.rig.async_wait_ready()
    assert not isinstance(answer, NoAnswer)
    assert await fleet.async_call_until_whole(Group.LEFT, key) == answer
    assert fleet.count_runs(key) == 1
