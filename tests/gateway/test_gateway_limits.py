"""Limits of workspaces, divided among routers."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from gateway_fakes import CONFIGURATION, ENGINES, RouterHarness, complete_answer, make_instance
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from gypsumrouter.configuration import Configuration
from gypsumrouter.const import Role
from gypsumrouter.gateway.limits import FleetLimits, FleetShare, Limit, find_fleet_share
from gypsumrouter.outcomes import Refused
from gypsumrouter.util.clock import ManualClock


@pytest.fixture
def configuration() -> Configuration:
    workspace = replace(CONFIGURATION.workspaces[0], requests_per_s=4.0, concurrent=4)
    return replace(CONFIGURATION, workspaces=(workspace,))


def count_allowed(limits: FleetLimits, limit: Limit, count: int) -> int:
    return sum(not isinstance(limits.acquire([limit]), Refused) for _ in range(count))


@settings(derandomize=True, deadline=None)
@given(concurrent=st.integers(1, 60), routers=st.integers(1, 20), name=st.text(max_size=5))
def test_concurrency_shares_add_up_to_the_limit_or_the_number_of_routers(
    concurrent: int, routers: int, name: str
) -> None:
    names = [f"router-{number:02}" for number in range(routers)]
    peers = [make_instance(other, role=Role.ROUTER) for other in names]
    shares = [find_fleet_share(own_name=own, peers=peers) for own in names]
    counts = [share.get_count(concurrent, name) for share in shares]
    assert sum(counts) == max(concurrent, routers)
    assert max(counts) - min(counts) <= 1


@settings(derandomize=True, deadline=None)
@given(
    rate=st.floats(0.5, 50),
    routers=st.integers(1, 8),
    steps=st.lists(st.integers(0, 400), min_size=1, max_size=40),
)
def test_total_rate_of_all_routers_exceeds_the_limit_by_at_most_the_bursts(
    rate: float, routers: int, steps: list[int]
) -> None:
    clock = ManualClock()
    limit = Limit(name="workspace a", requests_per_s=rate, concurrent=None)
    fleet = [FleetLimits(clock=clock) for _ in range(routers)]
    for position, limits in enumerate(fleet):
        limits.share = FleetShare(position=position, routers=routers)
    allowed = 0
    for step in steps:
        clock.advance(step)
        allowed += sum(count_allowed(limits, limit, 20) for limits in fleet)
    burst = max(rate, routers)
    assert allowed <= rate * sum(steps) / 1_000 + burst + 1e-6


async def test_workspace_over_its_rate_is_rejected_with_retry_after(router: RouterHarness) -> None:
    router.links.script(ENGINES[0], with_=complete_answer(b"{}"))
    statuses = Counter([(await router.async_chat())[0].status for _ in range(5)])
    assert statuses == {200: 4, 429: 1}
    answer, body = await router.async_chat()
    assert (body["error"]["code"], body["error"]["executed"]) == ("workspace_limit", "not_run")
    assert (body["error"]["retry_after_ms"], answer.headers["Retry-After"]) == (250, "1")
    router.clock.advance(250)
    assert (await router.async_chat())[0].status == 200


async def test_concurrency_limit_is_divided_among_live_routers(router: RouterHarness) -> None:
    router.fleet.add_routers("router-2")
    router.links.script(ENGINES[0], with_=[])
    request_tasks = [asyncio.create_task(router.async_chat()) for _ in range(2)]
    await router.async_wait_until(lambda: len(router.links.exchanges) == 2)
    router.clock.advance(1_000)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (429, "workspace_limit")
    for exchange in router.links.exchanges:
        exchange.play(complete_answer(b"{}"))
    await asyncio.gather(*request_tasks)
    router.links.scripts[ENGINES[0]] = [complete_answer(b"{}")]
    router.clock.advance(1_000)
    assert (await router.async_chat())[0].status == 200
