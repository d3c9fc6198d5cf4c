"""Stalled connections, simultaneous faults, and an unavailable or stale platform."""

from __future__ import annotations

import asyncio

import pytest
from integration_fleet import IntegrationFleet, assert_all_complete, async_wait_until

from bench.faults_rig import Group
from gypsumrouter.standins import BOTH_DIRECTIONS, Direction, OutageKind

pytestmark = pytest.mark.asyncio(loop_scope="module")

BOTH = (Group.LEFT, Group.RIGHT)
TOKENS = 300


@pytest.mark.parametrize("leg", ["link", "upstream"])
@pytest.mark.parametrize(
    "ways", [BOTH_DIRECTIONS, frozenset({Direction.BACK})], ids=["both", "back"]
)
async def test_answer_is_resumed_when_its_connection_stalls(
    fleet: IntegrationFleet, leg: str, ways: frozenset[Direction]
) -> None:
    answer = await fleet.async_start_long_chat(Group.LEFT, tokens=TOKENS)
    name = fleet.find_busy_side()
    proxies = fleet.rig.proxies if leg == "link" else fleet.rig.upstream_proxies
    proxies[name].blackhole(directions=ways)
    assert_all_complete(await answer)


async def test_answer_is_resumed_when_link_and_upstream_connection_fail_together(
    fleet: IntegrationFleet,
) -> None:
    answer = await fleet.async_start_long_chat(Group.LEFT, tokens=TOKENS)
    name = fleet.find_busy_side()
    engine = fleet.platform.engines[name]
    before = engine.requests
    fleet.rig.proxies[name].reset_connections()
    fleet.rig.upstream_proxies[name].blackhole()
    assert_all_complete(await answer)
    # The answer was resumed, not generated again.
    assert engine.requests == before


async def test_configuration_is_not_reverted_by_an_unavailable_or_stale_service(
    fleet: IntegrationFleet,
) -> None:
    service = fleet.platform.configuration
    old = service.version
    await service.async_set_outage(OutageKind.REFUSE)
    # A process that starts during the outage gets the configuration from its peers.
    await fleet.async_restart_side(fleet.list_engines()[0])
    assert_all_complete(*[await fleet.async_chat(group) for group in BOTH])
    fleet.publish(old + 1)
    await service.async_set_outage(OutageKind.NONE)
    await async_wait_until(lambda: _async_has_version(fleet, old + 1))
    # A process that starts now gets the old version from the service and the new one from peers.
    service.serve_stale(old)
    await fleet.async_restart_side(fleet.list_engines()[0])
    await async_wait_until(lambda: _async_has_version(fleet, old + 1))
    service.serve_stale(None)
    assert_all_complete(*[await fleet.async_chat(group) for group in BOTH])


async def test_no_chat_is_lost_during_a_network_partition(
    fleet: IntegrationFleet,
) -> None:
    fleet.rig.partition.block([Group.LEFT], [Group.RIGHT])
    try:
        chats = await asyncio.gather(*(fleet.async_chat(group, tries=6) for group in BOTH))
    finally:
        fleet.rig.partition.unblock([Group.LEFT], [Group.RIGHT])
    assert all(chat.whole == 1 for chat in chats)
    assert_all_complete(*[await fleet.async_chat(group, tries=6) for group in BOTH])


async def _async_has_version(fleet: IntegrationFleet, version: int) -> bool:
    return await fleet.async_read_versions() == {version}
