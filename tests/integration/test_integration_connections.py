"""Connections that go silent, several faults at once, and a platform that is down or stale."""

from __future__ import annotations

import asyncio

import pytest
from integration_fleet import IntegrationFleet, assert_whole, async_until

from bench.faults_rig import Group
from gypsumrouter.standins import BOTH_DIRECTIONS, Direction, OutageKind

pytestmark = pytest.mark.asyncio(loop_scope="module")

BOTH = (Group.LEFT, Group.RIGHT)
TOKENS = 300


@pytest.mark.parametrize("leg", ["link", "upstream"])
@pytest.mark.parametrize(
    "ways", [BOTH_DIRECTIONS, frozenset({Direction.BACK})], ids=["both", "back"]
)
async def test_an_answer_whose_connection_goes_silent_for_good_comes_whole_over_a_new_one(
    fleet: IntegrationFleet, leg: str, ways: frozenset[Direction]
) -> None:
    answer = await fleet.async_start_long_chat(Group.LEFT, tokens=TOKENS)
    name = fleet.find_busy()
    proxies = fleet.rig.proxies if leg == "link" else fleet.rig.upstream_proxies
    proxies[name].blackhole(directions=ways)
    assert_whole(await answer)


async def test_an_answer_whose_link_and_upstream_connection_are_lost_at_once_comes_whole(
    fleet: IntegrationFleet,
) -> None:
    answer = await fleet.async_start_long_chat(Group.LEFT, tokens=TOKENS)
    name = fleet.find_busy()
    engine = fleet.platform.engines[name]
    before = engine.requests
    fleet.rig.proxies[name].reset_connections()
    fleet.rig.upstream_proxies[name].blackhole()
    assert_whole(await answer)
    # It was resumed and not run again.
    assert engine.requests == before


async def test_a_configuration_service_that_is_down_and_then_stale_reverts_nothing(
    fleet: IntegrationFleet,
) -> None:
    service = fleet.platform.configuration
    old = service.version
    await service.async_set_outage(OutageKind.REFUSE)
    # A process that starts while the service is down gets the configuration from its peers.
    await fleet.async_replace(fleet.list_engines()[0])
    assert_whole(*[await fleet.async_chat(group) for group in BOTH])
    fleet.publish(old + 1)
    await service.async_set_outage(OutageKind.NONE)
    await async_until(lambda: _async_has_version(fleet, old + 1))
    # Whoever starts now is told the old version by the service, and the new one by its peers.
    service.serve_stale(old)
    await fleet.async_replace(fleet.list_engines()[0])
    await async_until(lambda: _async_has_version(fleet, old + 1))
    service.serve_stale(None)
    assert_whole(*[await fleet.async_chat(group) for group in BOTH])


async def test_a_partition_in_which_both_sides_serve_costs_no_chat(
    fleet: IntegrationFleet,
) -> None:
    fleet.rig.partition.block([Group.LEFT], [Group.RIGHT])
    try:
        chats = await asyncio.gather(*(fleet.async_chat(group, tries=6) for group in BOTH))
    finally:
        fleet.rig.partition.unblock([Group.LEFT], [Group.RIGHT])
    assert all(chat.whole == 1 for chat in chats)
    assert_whole(*[await fleet.async_chat(group, tries=6) for group in BOTH])


async def _async_has_version(fleet: IntegrationFleet, version: int) -> bool:
    return await fleet.async_read_versions() == {version}
