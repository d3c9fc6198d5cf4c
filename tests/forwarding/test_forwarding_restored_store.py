"""A forwarder whose store is restored from a snapshot that is some seconds old."""

from __future__ import annotations

import aiohttp
from forwarding_world import ForwardingWorld, make_configuration

from gypsumrouter.standins import StoreFault

Session = aiohttp.ClientSession


def get_state(world: ForwardingWorld, upstream: str) -> str:
    section = world.product.app.dump()["directory"]
    assert isinstance(section, dict)
    return str(next(u["state"] for u in section["upstreams"] if u["id"] == upstream))


async def async_publish_draining(world: ForwardingWorld, upstream: str) -> None:
    """Publish that an upstream is draining."""
    address = world.addresses[upstream]
    await world.store.async_put_runner(
        upstream, service="records", address=address, state="draining"
    )


async def test_drain_is_detected_although_the_restored_store_passed_the_last_seen_revision(
    world: ForwardingWorld, session: Session
) -> None:
    """A watch that resumes from the last seen revision would miss it."""
    snapshot = world.store.make_snapshot()
    await world.async_publish(make_configuration(3))
    await world.store.async_set_fault(StoreFault.RESET)
    await world.store.async_restore(snapshot)
    await async_publish_draining(world, "i-records-1")
    for version in (3, 4, 5):
        await world.store.async_put_configuration(make_configuration(version))
    await world.store.async_set_fault(StoreFault.NONE)
    await world.async_until(lambda: get_state(world, "i-records-1") == "leaving")
    await world.async_until(lambda: world.get_configuration_version() == 5)


async def test_state_is_reloaded_after_a_restore_without_an_outage(
    world: ForwardingWorld, session: Session
) -> None:
    snapshot = world.store.make_snapshot()
    await world.async_publish(make_configuration(3))
    await world.store.async_restore(snapshot)
    await async_publish_draining(world, "i-records-1")
    await world.async_until(lambda: get_state(world, "i-records-1") == "leaving")
    assert world.get_configuration_version() == 3


async def test_upstream_that_is_gone_gets_no_requests_after_a_restore_lists_it_again(
    world: ForwardingWorld, session: Session
) -> None:
    snapshot = world.store.make_snapshot()
    await async_publish_draining(world, "i-records-1")
    await world.async_until(lambda: get_state(world, "i-records-1") == "leaving")
    await world.store.async_remove("servers/i-records-1")
    await world.async_until(lambda: get_state(world, "i-records-1") == "gone")
    await world.store.async_restore(snapshot)
    await world.async_publish(make_configuration(3))
    await world.async_until(lambda: get_state(world, "i-records-1") == "leaving")
    for number in range(6):
        status, _, _ = await world.async_call(session, "GET", "/lookup/a", f"r{number}")
        assert status == 200
    assert not world.records[0].arrivals
