"""Calls run at most once while processes, instance lists and the network fail."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
import pytest
from integration_fleet import IntegrationFleet, assert_unknown, async_wait_until, get_router_index

from bench.faults_rig import Group
from bench.load import NoAnswer
from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins import OutageKind, Service

pytestmark = pytest.mark.asyncio(loop_scope="module")

BOTH = (Group.LEFT, Group.RIGHT)
REPEATS = 4
SHORT_MS = 1_000


async def test_routers_with_different_instance_lists_run_a_call_once(
    fleet: IntegrationFleet,
) -> None:
    owner = fleet.list_service_sides()[0]
    key, _ = await fleet.async_run_new_call(Group.LEFT, owner)
    # From now on the right router gets a stale instance list.
    fleet.platform.lists[Group.RIGHT].serve_stale(fleet.clock.wall_ms())
    await fleet.rig.sides.pop(owner).async_kill()
    fleet.platform.remove_listed(owner)
    replacement = fleet.rig.make_replacement(owner)
    await fleet.rig.async_start_side(replacement)
    await fleet.rig.async_wait_ready()
    for _ in range(REPEATS):
        for group in BOTH:
            assert_unknown(await fleet.async_call(group, key, deadline_ms=SHORT_MS))
    fresh, _ = await fleet.async_run_new_call(Group.LEFT, replacement)
    fleet.platform.lists[Group.RIGHT].serve_stale(None)
    await fleet.async_call_until_answered(Group.RIGHT, fresh)
    assert fleet.count_executions(key) == 1
    assert fleet.count_executions(fresh) == 1


async def test_resumed_key_owner_does_not_run_calls_repeated_at_its_replacement(
    fleet: IntegrationFleet,
) -> None:
    owner = fleet.list_service_sides()[0]
    keys = [fleet.make_key(owner) for _ in range(REPEATS)]
    paused = fleet.rig.sides.pop(owner)
    paused.send_signal(signal.SIGSTOP)
    held = [asyncio.ensure_future(fleet.async_call(Group.LEFT, key)) for key in keys]
    try:
        fleet.platform.remove_listed(owner)
        replacement = fleet.rig.make_replacement(owner)
        await fleet.rig.async_start_side(replacement)
        await fleet.rig.async_wait_ready()
        await fleet.async_run_new_call(Group.RIGHT, replacement)
        repeated = [await fleet.async_call(Group.RIGHT, key) for key in keys]
        paused.send_signal(signal.SIGCONT)
        assert await fleet.rig.async_wait_until_ready(paused, limit_ms=10 * MS_PER_S)
        await asyncio.gather(*held)
    finally:
        await paused.async_kill()
    for answer in repeated:
        assert_unknown(answer)
    assert all(fleet.count_executions(key) <= 1 for key in keys)


async def test_call_runs_once_during_a_network_partition(
    fleet: IntegrationFleet,
) -> None:
    fleet.rig.partition.block([Group.LEFT], [Group.RIGHT])
    try:
        runs = {
            group: await fleet.async_run_new_call(group, fleet.list_service_sides(group)[0])
            for group in BOTH
        }
        others = await asyncio.gather(
            *(fleet.async_call(group.other, runs[group][0], deadline_ms=SHORT_MS) for group in BOTH)
        )
    finally:
        fleet.rig.partition.unblock([Group.LEFT], [Group.RIGHT])
    for answer in others:
        assert_unknown(answer)
    # After the partition, the other router gets the answer of the first run.
    for group, (key, answer) in runs.items():
        assert await fleet.async_call_until_answered(group.other, key) == answer
        assert fleet.count_executions(key) == 1


async def test_key_owner_killed_during_a_list_outage_runs_no_call_twice(
    fleet: IntegrationFleet,
) -> None:
    owner = fleet.list_service_sides()[0]
    key, _ = await fleet.async_run_new_call(Group.LEFT, owner)
    for service in fleet.platform.lists.values():
        await service.async_set_outage(OutageKind.REFUSE)
    await fleet.rig.sides.pop(owner).async_kill()
    for group in BOTH:
        assert_unknown(await fleet.async_call(group, key, deadline_ms=SHORT_MS))
    # The list service recovers; it lists the killed owner, at its new address.
    for service in fleet.platform.lists.values():
        await service.async_set_outage(OutageKind.NONE)
    await fleet.rig.async_start_side(owner)
    await fleet.rig.async_wait_ready()
    for group in BOTH:
        await fleet.async_run_new_call(group, owner)
        assert_unknown(await fleet.async_call(group, key))
    assert fleet.count_executions(key) == 1


async def test_call_of_a_killed_router_is_answered_through_another_router(
    fleet: IntegrationFleet,
) -> None:
    owner = fleet.list_service_sides()[0]
    service = fleet.rig.get_upstream(owner)
    assert isinstance(service, Service)
    key = fleet.make_key(owner)
    service.delay_ms = SHORT_MS
    first = asyncio.ensure_future(fleet.async_call(Group.LEFT, key))
    await async_wait_until(lambda: fleet.count_executions(key) == 1)
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
    assert await fleet.async_call_until_answered(Group.LEFT, key) == answer
    assert fleet.count_executions(key) == 1
