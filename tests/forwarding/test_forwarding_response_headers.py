"""Draining and Retry-After headers in upstream responses.

Guards against sending new requests to an upstream that announced in a response that it is draining,
also while the store is unavailable, or that asked for a pause with Retry-After.
"""

from __future__ import annotations

import asyncio
import itertools
from functools import partial

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld

from gypsumrouter.standins import PlatformRunner, RunnerFault, StoreFault

Session = aiohttp.ClientSession
CALLS = 12
FIRST_TIMEOUT_S = 20
# Longer than any of these tests.
RETRY_AFTER_S = 600.0


def count_arrivals(world: ForwardingWorld, upstream: str) -> int:
    runners = (*world.records, *world.models)
    return next(len(r.arrivals) for r in runners if r.name == upstream)


def announce_draining(runner: PlatformRunner, runners: list[PlatformRunner]) -> None:
    """Make a runner announce that it is draining, unless another one does."""
    runner.draining = not any(other.draining for other in runners if other is not runner)


def get_state(world: ForwardingWorld, upstream: str) -> str:
    section = world.product.app.dump()["directory"]
    assert isinstance(section, dict)
    return str(next(u["state"] for u in section["upstreams"] if u["id"] == upstream))


async def async_call_until_response_of(
    world: ForwardingWorld, session: Session, upstream: str, method: str, path: str
) -> None:
    """Send requests until an upstream has got one and responded.

    The router chooses among equal upstreams at random, so any number of them may go to others.
    """
    extra = PROMPT if path.startswith(("/draft", "/quote")) else None
    async with asyncio.timeout(FIRST_TIMEOUT_S):
        for number in itertools.count():
            await world.async_call(session, method, path, f"first-{number}", extra=extra)
            if count_arrivals(world, upstream):
                return


async def async_call_more(
    world: ForwardingWorld, session: Session, method: str, path: str
) -> list[int]:
    """Send further requests and return their statuses."""
    extra = PROMPT if path.startswith(("/draft", "/quote")) else None
    answers = [
        await world.async_call(session, method, path, f"later-{number}", extra=extra)
        for number in range(CALLS)
    ]
    return [status for status, _, _ in answers]


@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", "/lookup/a"), ("POST", "/reserve/a"), ("POST", "/draft/a"), ("POST", "/quote/a")],
)
async def test_upstream_that_announces_draining_gets_no_new_requests(
    world: ForwardingWorld, session: Session, method: str, path: str
) -> None:
    await world.store.async_set_fault(StoreFault.SILENT)
    runners = world.models if path.startswith(("/draft", "/quote")) else world.records
    # The router always sends a prompt to the same engine; which one is not known here.
    for runner in runners:
        runner.on_run = partial(announce_draining, runner, runners)
    extra = PROMPT if runners is world.models else None
    await world.async_call(session, method, path, "first", extra=extra)
    draining = next(runner for runner in runners if runner.draining)
    before = len(draining.arrivals)
    assert set(await async_call_more(world, session, method, path)) == {200}
    assert len(draining.arrivals) == before


@pytest.mark.parametrize("trouble", [RunnerFault.ERROR, RunnerFault.SHED])
async def test_draining_is_read_from_error_responses(
    world: ForwardingWorld, session: Session, trouble: RunnerFault
) -> None:
    for runner in world.records:
        runner.draining, runner.default_fault = True, trouble
    for runner in world.records:
        await async_call_until_response_of(world, session, runner.name, "POST", "/reserve/a")
    before = [len(runner.arrivals) for runner in world.records]
    assert set(await async_call_more(world, session, "POST", "/reserve/a")) == {503}
    assert [len(runner.arrivals) for runner in world.records] == before


async def test_draining_is_read_from_inventory_responses(
    world: ForwardingWorld, session: Session
) -> None:
    """A restarted router requests the inventory of each engine before sending other requests."""
    for runner in world.models:
        runner.draining = True
    second = await world.async_start_forwarder("entry-2", first_start=False)
    await world.async_until(second.is_ready)
    await world.async_until(lambda: all(runner.inventory_calls for runner in world.models))
    status, _, _ = await world.async_call(
        session, "POST", "/draft/a", "r1", product=second, extra=PROMPT
    )
    assert status == 503
    assert not any(runner.arrivals for runner in world.models)


async def test_store_entry_in_state_ready_does_not_undo_announced_draining(
    world: ForwardingWorld, session: Session
) -> None:
    draining = world.records[0]
    draining.draining = True
    await async_call_until_response_of(world, session, draining.name, "GET", "/lookup/a")
    before = len(draining.arrivals)
    address = world.addresses[draining.name]
    await world.store.async_put_runner(draining.name, service="records", address=address)
    await world.store.async_remove(f"servers/{draining.name}")
    await world.store.async_put_runner(draining.name, service="records", address=address, slots=7)
    other = world.records[1]
    await world.store.async_put_runner(
        other.name, service="records", address=world.addresses[other.name], state="draining"
    )
    await world.async_until(lambda: get_state(world, other.name) == "leaving")
    statuses = await async_call_more(world, session, "GET", "/lookup/a")
    assert set(statuses) == {503}
    assert len(draining.arrivals) == before


async def test_upstream_gets_no_requests_during_its_retry_after_time(
    world: ForwardingWorld, session: Session
) -> None:
    paused, other = world.records
    paused.next_faults.append(RunnerFault.SHED)
    paused.retry_after_s = RETRY_AFTER_S
    await async_call_until_response_of(world, session, paused.name, "GET", "/lookup/a")
    assert set(await async_call_more(world, session, "GET", "/lookup/a")) == {200}
    other.default_fault = RunnerFault.ERROR
    await async_call_more(world, session, "GET", "/lookup/a")
    assert len(paused.arrivals) == 1


async def test_callers_get_retry_after_if_all_upstreams_asked_for_a_pause(
    world: ForwardingWorld, session: Session
) -> None:
    for runner in world.records:
        runner.default_fault, runner.retry_after_s = RunnerFault.SHED, 0.6
    for runner in world.records:
        await async_call_until_response_of(world, session, runner.name, "GET", "/lookup/a")
    before = [len(runner.arrivals) for runner in world.records]
    status, _, headers = await world.async_call(session, "GET", "/lookup/a", "later")
    assert status == 503
    # Nearly all of the 0.6 s is left, and callers wait for at most a third of their 2.5 s.
    assert 0.3 < float(headers["Retry-After"]) < 0.84
    assert [len(runner.arrivals) for runner in world.records] == before


@pytest.mark.parametrize("draining", [True, False])
async def test_headers_of_a_response_without_a_request_id_are_read(
    world: ForwardingWorld, session: Session, draining: bool
) -> None:
    """On a reused connection, such a response is not taken as that of the pending request."""
    announcing, other = world.records
    await async_call_until_response_of(world, session, announcing.name, "GET", "/lookup/a")
    announcing.draining, announcing.retry_after_s = draining, None if draining else RETRY_AFTER_S
    announcing.default_fault = RunnerFault.SHED
    before = len(announcing.arrivals)
    while len(announcing.arrivals) == before:
        await world.async_call(session, "GET", "/lookup/a", "second")
    other.default_fault = RunnerFault.ERROR
    await async_call_more(world, session, "GET", "/lookup/a")
    assert len(announcing.arrivals) == before + 1
