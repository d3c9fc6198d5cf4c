"""A whole forwarder before a store that comes back from a copy some seconds old."""

from __future__ import annotations

import aiohttp
from forwarding_world import ForwardingWorld, make_configuration

from gypsumrouter.standins import StoreFault

Session = aiohttp.ClientSession


def get_state(world: ForwardingWorld, upstream: str) -> str:
    section = world.product.app.dump()["directory"]
    assert isinstance(section, dict)
    return str(next(u["state"] for u in section["upstreams"] if u["id"] == upstream))


def get_version(world: ForwardingWorld) -> int:
    section = world.product.app.dump()["routing"]
    assert isinstance(section, dict)
    return int(section["version"])


async def async_leave(world: ForwardingWorld, upstream: str) -> None:
    """Let the entry of an upstream say that it leaves."""
    address = world.addresses[upstream]
    await world.store.async_put_runner(
        upstream, service="records", address=address, state="draining"
    )


async def test_a_leaving_is_taken_though_the_store_passed_its_old_revision_unseen(
    world: ForwardingWorld, session: Session
) -> None:
    """A watch from the old revision would bring only what was written above it."""
    copy = world.store.make_snapshot()
    await world.store.async_put_configuration(make_configuration(3))
    await world.async_until(lambda: get_version(world) == 3)
    await world.store.async_set_fault(StoreFault.RESET)
    await world.store.async_restore(copy)
    await async_leave(world, "i-records-1")
    for version in (3, 4, 5):
        await world.store.async_put_configuration(make_configuration(version))
    await world.store.async_set_fault(StoreFault.NONE)
    await world.async_until(lambda: get_state(world, "i-records-1") == "leaving")
    await world.async_until(lambda: get_version(world) == 5)


async def test_a_store_restored_without_an_outage_is_read_anew(
    world: ForwardingWorld, session: Session
) -> None:
    copy = world.store.make_snapshot()
    await world.store.async_put_configuration(make_configuration(3))
    await world.async_until(lambda: get_version(world) == 3)
    await world.store.async_restore(copy)
    await async_leave(world, "i-records-1")
    await world.async_until(lambda: get_state(world, "i-records-1") == "leaving")
    assert get_version(world) == 3


async def test_an_upstream_that_left_gets_nothing_by_the_word_of_the_copy(
    world: ForwardingWorld, session: Session
) -> None:
    copy = world.store.make_snapshot()
    await async_leave(world, "i-records-1")
    await world.async_until(lambda: get_state(world, "i-records-1") == "leaving")
    await world.store.async_remove("servers/i-records-1")
    await world.async_until(lambda: get_state(world, "i-records-1") == "gone")
    await world.store.async_restore(copy)
    await world.store.async_put_configuration(make_configuration(3))
    await world.async_until(lambda: get_version(world) == 3)
    await world.async_until(lambda: get_state(world, "i-records-1") == "leaving")
    for number in range(6):
        status, _, _ = await world.async_call(session, "GET", "/lookup/a", f"r{number}")
        assert status == 200
    assert not world.records[0].arrivals
