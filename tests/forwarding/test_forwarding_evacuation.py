"""Data centres that are evacuated, end to end: what is sent there, and what undoes it."""

from __future__ import annotations

import aiohttp
from forwarding_world import PROMPT, ForwardingWorld, make_configuration

from gypsumrouter.standins import PublishedStoreStandin, StoreFault

Session = aiohttp.ClientSession
# The data centre of the forwarder itself, whose upstreams it prefers.
KEY = "op/evacuate/dc-a"


async def _async_split(world: ForwardingWorld) -> None:
    """Put the second upstream of each service into another data centre."""
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


async def test_nothing_new_reaches_an_evacuated_data_centre_until_it_is_taken_back(
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


async def test_neither_an_outage_nor_lost_history_ends_an_evacuation(
    world: ForwardingWorld, session: Session
) -> None:
    await _async_evacuate(world)
    await world.store.async_set_fault(StoreFault.RESET)
    await world.store.async_put_configuration(make_configuration(9))
    world.store.compact_history()
    await world.async_call(session, "GET", "/lookup/a", "r1")
    await world.store.async_set_fault(StoreFault.NONE)
    await world.async_until(lambda: _get_version(world) == 9)
    for number in range(6):
        await world.async_call(session, "GET", "/lookup/a", f"s{number}")
    assert not world.records[0].arrivals


async def test_a_removal_that_an_outage_hid_is_read_from_the_whole_list(
    world: ForwardingWorld, session: Session
) -> None:
    await _async_evacuate(world)
    await world.store.async_set_fault(StoreFault.BUSY)
    await world.store.async_remove(KEY)
    world.store.compact_history()
    await world.store.async_set_fault(StoreFault.NONE)
    await world.async_until(lambda: not _is_evacuated(world))


async def test_where_all_upstreams_are_evacuated_requests_are_refused_at_once(
    world: ForwardingWorld, session: Session
) -> None:
    await world.store.async_put(KEY, {})
    await world.async_until(lambda: _is_evacuated(world))
    status, body, headers = await world.async_call(session, "GET", "/lookup/a", "r1")
    assert status == 503
    assert b"evacuated" in body
    assert float(headers["Retry-After"]) > 0


async def test_a_router_that_starts_without_the_store_knows_evacuations_from_a_peer(
    world: ForwardingWorld, session: Session
) -> None:
    await _async_evacuate(world)
    elsewhere = PublishedStoreStandin()
    address = await elsewhere.async_start()
    await elsewhere.async_set_fault(StoreFault.BUSY)
    seed = str(world.product.addresses["link"])
    product = await world.async_start_forwarder("entry-2", store=str(address), seeds=(seed,))
    await world.async_until(product.is_ready)
    assert _is_evacuated(world, 1)
    for number in range(6):
        await world.async_call(session, "GET", "/lookup/a", f"r{number}", product=product)
    assert not world.records[0].arrivals
    await elsewhere.async_stop()


def _get_version(world: ForwardingWorld) -> int:
    section = world.product.app.dump()["routing"]
    assert isinstance(section, dict)
    version = section["version"]
    assert isinstance(version, int)
    return version
