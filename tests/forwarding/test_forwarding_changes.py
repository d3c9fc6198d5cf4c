"""Configuration changes, draining upstreams, store outages and router shutdown."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld, make_configuration, make_route

from gypsumrouter.directory import grace_period
from gypsumrouter.standins import PublishedStoreStandin, StoreFault
from gypsumrouter.util.heartbeats import get_shortest_expiry_ms

Session = aiohttp.ClientSession

# Entries can expire in an outage of twice this time, which is longer than a watch.
SHORT_HEARTBEAT_MS = 700


def get_section(world: ForwardingWorld, name: str, number: int = 0) -> dict[str, object]:
    section = world.products[number].app.dump()[name]
    assert isinstance(section, dict)
    return section


async def test_new_configuration_version_is_applied_and_an_older_one_ignored(
    world: ForwardingWorld, session: Session
) -> None:
    route = make_route("added", "idempotent", "records")
    await world.store.async_put_configuration(
        make_configuration(7, routes=[*make_configuration()["routes"], route])
    )
    await world.async_until(lambda: get_section(world, "routing")["version"] == 7)
    status, _, _ = await world.async_call(session, "GET", "/added/a", "r1")
    assert status == 200
    await world.store.async_put_configuration(make_configuration(5))
    await world.store.async_put("op/other", {})
    await world.store.async_put_configuration(make_configuration(8, routes=[route]))
    await world.async_until(lambda: get_section(world, "routing")["version"] == 8)
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "r2")
    assert status == 404


async def test_draining_upstream_gets_no_new_requests(
    world: ForwardingWorld, session: Session
) -> None:
    draining = world.records[0]
    address = world.addresses[draining.name]
    await world.store.async_put_runner(
        draining.name, service="records", address=address, state="draining"
    )
    await world.async_until(lambda: _get_state(world, draining.name) == "leaving")
    for number in range(4):
        await world.async_call(session, "GET", "/lookup/a", f"r{number}")
    assert not draining.arrivals


async def test_upstreams_whose_entries_lapsed_in_a_store_outage_stay_usable_for_a_while(
    world: ForwardingWorld, session: Session
) -> None:
    second = await world.async_start_forwarder("entry-2", heartbeat_ms=SHORT_HEARTBEAT_MS)
    await world.async_until(second.is_ready)
    await world.store.async_set_fault(StoreFault.RESET)
    await world.async_until(lambda: _is_list_unavailable(world, 1))
    await _async_outlast_entries(world)
    for runner in world.records:
        await world.store.async_remove(f"servers/{runner.name}")
    await world.store.async_set_fault(StoreFault.NONE)
    await world.async_until(lambda: len(_get_deferred_removals(world, 1)) == 2)
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "r1", product=second)
    assert status == 200
    await world.async_until(lambda: _get_state(world, "i-records-1", 1) == "gone")


async def test_state_is_reloaded_after_the_store_lost_its_history(
    world: ForwardingWorld, session: Session
) -> None:
    await world.store.async_set_fault(StoreFault.BUSY)
    await world.async_until(lambda: _is_list_unavailable(world))
    await world.store.async_put_configuration(make_configuration(9))
    world.store.compact_history()
    await world.store.async_set_fault(StoreFault.NONE)
    await world.async_until(lambda: get_section(world, "routing")["version"] == 9)


async def test_router_starts_from_a_peer_while_the_store_rejects_requests(
    world: ForwardingWorld, session: Session
) -> None:
    await world.store.async_set_fault(StoreFault.BUSY)
    link = world.product.addresses["link"]
    second = await world.async_start_forwarder("entry-2", seeds=(str(link),))
    await world.async_until(second.is_ready)
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "r1", product=second)
    assert status == 200


async def test_router_cut_off_from_its_store_confirms_a_removal_with_a_peer(
    world: ForwardingWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The peer saw the removal itself, so the router need not wait for the lapse grace period."""
    monkeypatch.setattr(grace_period, "RECOVERY_GRACE_MS", 600_000)
    own_store = PublishedStoreStandin()
    own_address = await own_store.async_start()
    await world.async_fill(own_store)
    link = world.product.addresses["link"]
    second = await world.async_start_forwarder(
        "entry-2",
        seeds=(str(link),),
        store=str(own_address),
        heartbeat_ms=SHORT_HEARTBEAT_MS,
    )
    await world.async_until(second.is_ready)
    await own_store.async_set_fault(StoreFault.RESET)
    await world.async_until(lambda: get_section(world, "directory", 1)["in_outage"])
    await _async_outlast_entries(world)
    gone = world.records[0]
    # The removal has a higher revision in this store than in the peer's.
    own_store.revision += 50
    for store in (world.store, own_store):
        await store.async_remove(f"servers/{gone.name}")
    await own_store.async_set_fault(StoreFault.NONE)
    await world.async_until(lambda: _get_state(world, gone.name, 1) == "gone")
    await own_store.async_stop()


async def test_router_without_configuration_refuses_requests_as_not_run(
    world: ForwardingWorld, session: Session
) -> None:
    await world.store.async_set_fault(StoreFault.BUSY)
    isolated = await world.async_start_forwarder("entry-2")
    assert not isolated.is_ready()
    status, body, headers = await world.async_call(
        session, "GET", "/lookup/a", "r1", product=isolated
    )
    assert status == 503
    assert b"not_run" in body
    assert float(headers["Retry-After"]) > 0


async def test_two_routers_forward_to_the_same_upstreams_concurrently(
    world: ForwardingWorld, session: Session
) -> None:
    link = world.product.addresses["link"]
    second = await world.async_start_forwarder("entry-2", seeds=(str(link),))
    await world.async_until(second.is_ready)
    for runner in world.records:
        runner.gate.clear()
    calls = [
        asyncio.create_task(
            world.async_call(session, "POST", "/reserve/a", f"r{n}", body=b"x", product=product)
        )
        for n, product in enumerate((world.product, second) * 2)
    ]
    await world.async_until(lambda: sum(len(runner.arrivals) for runner in world.records) == 4)
    for runner in world.records:
        runner.gate.set()
    assert [status for status, _, _ in await asyncio.gather(*calls)] == [200] * 4


async def test_drain_completes_streams_and_closes_idle_connections(
    world: ForwardingWorld,
) -> None:
    for runner in world.models:
        runner.gate.clear()
    connector = aiohttp.TCPConnector(keepalive_timeout=60)
    async with aiohttp.ClientSession(connector=connector) as kept:
        await world.async_call(kept, "GET", "/lookup/a", "warm")
        stream = asyncio.create_task(
            world.async_call(
                kept, "POST", "/draft/a", "r1", body=b"p", extra={**PROMPT, "X-Deadline-Ms": "9000"}
            )
        )
        await world.async_until(lambda: world.arrivals("r1"))
        idle = asyncio.create_task(world.async_call(kept, "GET", "/lookup/b", "r2"))
        await idle
        drain = asyncio.create_task(world.product.app.async_drain())
        await world.async_until(lambda: not world.product.is_ready())
        status, _, headers = await world.async_call(kept, "GET", "/lookup/a", "r3")
        assert status == 200
        assert headers.get("Connection") == "close"
        await asyncio.wait((drain,), timeout=2.7)
        assert not drain.done()
        for runner in world.models:
            runner.gate.set()
        status, body, _ = await stream
        assert status == 200
        assert body.count(b"data:") == 4
        await drain


async def _async_outlast_entries(world: ForwardingWorld) -> None:
    """Wait until entries can have expired since the store was lost."""
    clock = world.product.app.clock
    expired_ms = clock.now_ms() + get_shortest_expiry_ms(SHORT_HEARTBEAT_MS)
    await world.async_until(lambda: clock.now_ms() >= expired_ms)


def _get_state(world: ForwardingWorld, upstream: str, number: int = 0) -> str:
    listed = get_section(world, "directory", number)["upstreams"]
    assert isinstance(listed, list)
    return str(next(entry["state"] for entry in listed if entry["id"] == upstream))


def _get_deferred_removals(world: ForwardingWorld, number: int) -> list[str]:
    deferred = get_section(world, "directory", number)["deferred_removals"]
    assert isinstance(deferred, list)
    return deferred


def _is_list_unavailable(world: ForwardingWorld, number: int = 0) -> bool:
    return bool(get_section(world, "directory", number)["in_outage"])
