"""A run that was prepared in place of a silent one repeats nothing and uses up an attempt."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from silent_world import PATIENT, SilentWorld, make_patient_route, make_resumable_route

from gypsumrouter.standins import PlatformRunner

EVENTS = 6
# Longer than the patience of the route, shorter than two engines may work on a prompt together.
PAUSE_S = 0.2


@pytest.fixture
async def world(link_key: None) -> AsyncIterator[SilentWorld]:
    world = SilentWorld(events=EVENTS, pause_s=PAUSE_S, engines=4)
    for runner in world.models:
        runner.gate.clear()
    async with world:
        yield world


async def async_configure(world: SilentWorld, *, gap_ms: int, max_attempts: int) -> None:
    await world.async_set_routes(
        make_resumable_route(target_latency_ms=60, target_gap_ms=gap_ms, max_attempts=max_attempts)
    )


def list_in_order(world: SilentWorld) -> list[PlatformRunner]:
    """Return the upstreams that ran the request, in the order of its arrival."""
    ran = [runner for runner in world.models if runner.ran]
    return sorted(ran, key=lambda runner: runner.arrivals[0].at_s)


async def test_first_event_that_comes_with_its_head_ends_the_run_beside_it(
    world: SilentWorld,
) -> None:
    """Guards against a stream that begins again at an upstream which was asked before its start."""
    await async_configure(world, gap_ms=2_000, max_attempts=3)
    async with aiohttp.ClientSession() as session:
        call = asyncio.create_task(world.async_stream(session))
        await world.async_until(lambda: len(list_in_order(world)) == 3)
        _, second, third = list_in_order(world)
        second.gate.set()
        await world.async_until(lambda: call.done() or second.arrivals[0].cancelled)
        third.gate.set()
        assert (await call).numbers == world.whole


async def test_runs_that_were_not_needed_count_as_attempts(world: SilentWorld) -> None:
    """Guards against a request that is sent more often than its route allows."""
    await async_configure(world, gap_ms=50, max_attempts=2)
    async with aiohttp.ClientSession() as session:
        call = asyncio.create_task(world.async_stream(session))
        await world.async_until(lambda: len(list_in_order(world)) == 2)
        first, second = list_in_order(world)
        first.gate.set()
        await world.async_until(lambda: call.done() or second.arrivals[0].cancelled)
        assert (await call).numbers == world.whole
    assert sum(len(runner.ran) for runner in world.models) <= 2


async def test_third_attempt_is_not_blocked_by_a_second_one_that_is_silent_too(
    world: SilentWorld,
) -> None:
    """Guards against a plain request that waits for two silent upstreams beside a sound one."""
    world.records.append(PlatformRunner(name="i-records-3"))
    runner = world.records[-1]
    world.addresses[runner.name] = await runner.async_start()
    await world.async_put_entry(runner, service="records")
    await world.async_set_routes(
        make_patient_route("lookup", "idempotent", "records", max_attempts=3)
    )
    for upstream in world.records:
        upstream.gate.clear()
    async with aiohttp.ClientSession() as session:
        call = asyncio.create_task(
            world.async_call(session, "GET", "/lookup/a", "l1", extra=PATIENT)
        )
        await world.async_until(lambda: len(world.arrivals("l1")) == 3)
        first, second, third = sorted(world.arrivals("l1"), key=lambda arrival: arrival.at_s)
        next(r for r in world.records if third in r.arrivals).gate.set()
        status, _, _ = await call
        assert status == 200
        await world.async_until(lambda: first.cancelled and second.cancelled)
