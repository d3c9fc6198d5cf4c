"""Evacuation of data centres, end to end."""

from __future__ import annotations

import aiohttp
from forwarding_world import PROMPT, ForwardingWorld, make_configuration

from gypsumrouter.standins import PublishedStoreStandin, StoreFault

Session = aiohttp.ClientSession
# Evacuates the forwarder's own data centre, whose upstreams it prefers otherwise.
KEY = "op/evacuate/dc-a"


async def _async_split(world: ForwardingWorld) -> None:
    """Move the second upstream of each service to another data centre."""
    for service, runner in (("records", world.records[1]), ("models", world.models[1])):
        address = world.addresses[runner.name]
        await world.store.async_put_runner(
            runner.name, service=service, address=address, zone="dc-b"
        )
    await world.async_until(lambda: world.store.revision <= _get_revision(world))


def _get_revision(world: ForwardingWorld) -> int:
    section = world.product.app.dump()["directory"]
    assert isinstance(section, dict)
    revision = section["revision"]
    assert isinstance(revision, int)
    return revision


def _is_evacuated(world: ForwardingWorld, number: int = 0) -> bool:
    section = world.products[number].app.dump()["evacuations"]
    assert isinstance(section, dict)
    return bool(section.get("dc-a", {}).get("active"))


async def _async_evacuate(world: ForwardingWorld) -> None:
    await _async_split(world)
    await world.store.async_put(KEY, {})
    await world.async_until(lambda: _is_evacuated(world))


async def test_evacuated_data_centre_gets_no_requests_until_the_evacuation_ends(
    world: ForwardingWorld, session: Session
) -> None:
    await _async_evacuate(world)
    for number in range(6):
        await world.async_call(session, "GET", "/lookup/a", f"r{number}")
        await world.async_call(session, "POST", "/quote/a", f"q{number}", extra=PROMPT, body=b"{}")
    assert not world.records[0].arrivals
    assert not world.models[0].arrivals
    await world.store.async_remove(KEY)
    await world.async_until(lambda: not _is_evacuated(world))
    for number in range(20):
        await world.async_call(session, "GET", "/lookup/a", f"s{number}")
    assert world.records[0].arrivals


async def test_evacuation_persists_through_a_store_outage_and_lost_history(
    world: ForwardingWorld, session: Session
) -> None:
    await _async_evacuate(world)
    await world.store.async_set_fault(StoreFault.RESET)
    await world.store.async_put_configuration(make_configuration(9))
    world.store.compact_history()
    await world.async_call(session, "GET", "/lookup/a", "r1")
    await world.store.async_set_fault(StoreFault.NONE)
    await world.async_until(lambda: world.get_configuration_version() == 9)
    for number in range(6):
        await world.async_call(session, "GET", "/lookup/a", f"s{number}")
    assert not world.records[0].arrivals


async def test_evacuation_that_ended_in_a_store_outage_is_detected_by_the_full_reload(
    world: ForwardingWorld, session: Session
) -> None:
    await _async_evacuate(world)
    await world.store.async_set_fault(StoreFault.BUSY)
    await world.store.async_remove(KEY)
    world.store.compact_history()
    await world.store.async_set_fault(StoreFault.NONE)
    await world.async_until(lambda: not _is_evacuated(world))


async def test_requests_are_refused_if_all_upstreams_are_evacuated(
    world: ForwardingWorld, session: Session
) -> None:
    await world.store.async_put(KEY, {})
    await world.async_until(lambda: _is_evacuated(world))
    status, body, headers = await world.async_call(session, "GET", "/lookup/a", "r1")
    assert status == 503
    assert b"evacuated" in body
    assert float(headers["Retry-After"]) > 0


async def test_router_that_starts_without_the_store_gets_evacuations_from_a_peer(
    world: ForwardingWorld, session: Session
) -> None:
    await _async_evacuate(world)
    unavailable_store = PublishedStoreStandin()
    address = await unavailable_store.async_start()
    await unavailable_store.async_set_fault(StoreFault.BUSY)
    seed = str(world.product.addresses["link"])
    product = await world.async_start_forwarder("entry-2", store=str(address), seeds=(seed,))
    await world.async_until(product.is_ready)
    assert _is_evacuated(world, 1)
    for number in range(6):
        await world.async_call(session, "GET", "/lookup/a", f"r{number}", product=product)
    assert not world.records[0].arrivals
    await unavailable_store.async_stop()
