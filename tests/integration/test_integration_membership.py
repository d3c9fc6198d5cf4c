"""Joining, draining and flapping engines, a load surge, and a request that crashes engines."""

from __future__ import annotations

import asyncio
import signal

import pytest
from integration_fleet import (
    CRASH_MARKER,
    IntegrationFleet,
    assert_all_complete,
    async_wait_until,
)

from bench.faults_rig import Group
from bench.processes import DaemonProcess
from gypsumrouter.outcomes import Reason
from gypsumrouter.standins import Engine

pytestmark = pytest.mark.asyncio(loop_scope="module")

BOTH = (Group.LEFT, Group.RIGHT)
MANY_CHATS = 24
FLAPS = 6
SURGE_CHATS = 160
SURGE_TOKENS = 96
BUSY_LOAD = 36
TRIES = 12
# Enough retries for chats that are rejected at the load cap; a lost answer is not retried.
MANY_TRIES = 60
MAX_UPSTREAMS_LOST = 2


async def test_draining_engine_gets_no_new_requests_and_completes_running_ones(
    fleet: IntegrationFleet,
) -> None:
    answer = await fleet.async_start_long_chat(Group.LEFT, tokens=600)
    name = fleet.find_busy_side()
    engine = fleet.platform.engines[name]
    side = fleet.rig.sides.pop(name)
    side.send_signal(signal.SIGTERM)
    await async_wait_until(lambda: _async_is_draining(fleet, side))
    before = engine.requests
    chats = await asyncio.gather(
        *(fleet.async_chat(*BOTH, tries=MANY_TRIES) for _ in range(MANY_CHATS))
    )
    during = engine.requests
    assert not answer.done()
    assert_all_complete(await answer)
    assert await side.process.wait() == 0
    # The drained engine is removed from the list; after it joins again it receives requests.
    fleet.platform.remove_listed(name)
    await fleet.rig.async_start_side(name)
    await fleet.rig.async_wait_ready()
    await async_wait_until(lambda: _async_receives_requests(fleet, engine, during))
    assert during == before
    assert_all_complete(*chats)


async def test_engine_with_a_flapping_list_entry_loses_no_answer(fleet: IntegrationFleet) -> None:
    name = fleet.list_engines()[0]
    chats = [
        asyncio.ensure_future(fleet.async_chat(*BOTH, turns=4, tokens=24, tries=MANY_TRIES))
        for _ in range(MANY_CHATS)
    ]
    for _ in range(FLAPS):
        fleet.platform.remove_listed(name)
        await fleet.async_chat(*BOTH)
        fleet.rig.relist(name)
        await fleet.async_chat(*BOTH)
    assert_all_complete(*await asyncio.gather(*chats))


async def test_surge_of_one_workspace_does_not_delay_another(
    fleet: IntegrationFleet,
) -> None:
    surge = [
        asyncio.ensure_future(fleet.async_chat(*BOTH, tokens=SURGE_TOKENS, tries=TRIES))
        for _ in range(SURGE_CHATS)
    ]
    await async_wait_until(
        lambda: sum(item.load for item in fleet.platform.engines.values()) >= BUSY_LOAD
    )
    other = await fleet.async_chat(*BOTH, workspace=1, tries=TRIES)
    waiting = sum(not chat.done() for chat in surge)
    tallies = await asyncio.gather(*surge)
    assert_all_complete(other)
    # The other workspace did not wait for the surge to end.
    assert waiting > SURGE_CHATS / 4
    # Each request of the surge was answered completely or rejected without running.
    assert sum(tally.whole + tally.not_run for tally in tallies) == SURGE_CHATS
    assert not any(tally.unknown for tally in tallies)


async def test_crashing_request_crashes_at_most_two_engines_and_fails_no_other_request(
    fleet: IntegrationFleet,
) -> None:
    others = [
        asyncio.ensure_future(fleet.async_chat(*BOTH, turns=6, tokens=32, tries=TRIES))
        for _ in range(4)
    ]
    codes: list[str] = []

    async def async_is_suspect() -> bool:
        group = BOTH[len(codes) % 2]
        tally = await fleet.async_chat(group, prefix=CRASH_MARKER, seed=1)
        codes.extend([*tally.refused, *tally.unknown])
        return codes[-1] == Reason.SUSPECT

    await async_wait_until(async_is_suspect)
    # Both routers keep rejecting the request.
    for _ in BOTH:
        assert await async_is_suspect()
    crashes = sum(engine.crashes for engine in fleet.platform.engines.values())
    assert 1 <= crashes <= MAX_UPSTREAMS_LOST
    assert_all_complete(*await asyncio.gather(*others))


async def _async_is_draining(fleet: IntegrationFleet, side: DaemonProcess) -> bool:
    return not await fleet.rig.async_is_ready(side)


async def _async_receives_requests(fleet: IntegrationFleet, engine: Engine, before: int) -> bool:
    await fleet.async_chat(*BOTH, tries=MANY_TRIES)
    return engine.requests > before
