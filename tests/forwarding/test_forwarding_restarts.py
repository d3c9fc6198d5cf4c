"""Restarts of upstreams under the same id, and unusable directory entries, end to end."""

from __future__ import annotations

import logging

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld

STARTED_MS = 1_760_000_000_000
SHARED_TOKENS = 1_200


async def _async_put_models(world: ForwardingWorld, started_ms: int) -> None:
    for runner in world.models:
        await world.store.async_put_runner(
            runner.name, service="models", address=world.addresses[runner.name], born=started_ms
        )
    await world.async_until(lambda: _get_start_times(world) == {started_ms})


def _list_missing(caplog: pytest.LogCaptureFixture) -> list[int]:
    """Return the tokens that were missing from the cache for each placed request."""
    placed = [record for record in caplog.records if record.message == "request_placed"]
    return [record.event["missing_tokens"] for record in placed]  # type: ignore[attr-defined]


def _get_start_times(world: ForwardingWorld) -> set[int]:
    section = world.product.app.dump()["directory"]
    assert isinstance(section, dict)
    upstreams = section["upstreams"]
    return {entry["started_ms"] for entry in upstreams if entry["service"] == "models"}


async def test_cache_index_is_empty_for_an_upstream_restarted_under_the_same_id(
    world: ForwardingWorld, session: aiohttp.ClientSession, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    await _async_put_models(world, STARTED_MS)
    for number in range(2):
        await world.async_call(session, "POST", "/quote/a", f"r{number}", extra=PROMPT, body=b"{}")
    await _async_put_models(world, STARTED_MS + 5_000)
    await world.async_call(session, "POST", "/quote/a", "r2", extra=PROMPT, body=b"{}")
    arrivals = {number: world.arrivals(f"r{number}")[0].headers for number in range(3)}
    ids = {headers["X-Expect-Instance"] for headers in arrivals.values()}
    assert ids <= {runner.name for runner in world.models}
    assert _list_missing(caplog) == [SHARED_TOKENS, 0, SHARED_TOKENS]


async def test_cache_index_survives_expiry_and_return_of_an_entry(
    world: ForwardingWorld, session: aiohttp.ClientSession, caplog: pytest.LogCaptureFixture
) -> None:
    """Lost heartbeats let an entry expire while its upstream keeps running."""
    caplog.set_level(logging.INFO)
    await world.async_call(session, "POST", "/quote/a", "r0", extra=PROMPT, body=b"{}")
    for runner in world.models:
        await world.store.async_remove(f"servers/{runner.name}")
        await world.async_until(lambda name=runner.name: _get_state(world, name) == "gone")
    for runner in world.models:
        address = world.addresses[runner.name]
        await world.store.async_put_runner(runner.name, service="models", address=address)
        await world.async_until(lambda name=runner.name: _get_state(world, name) == "ready")
    await world.async_call(session, "POST", "/quote/a", "r1", extra=PROMPT, body=b"{}")
    assert _list_missing(caplog) == [SHARED_TOKENS, 0]


async def test_directory_updates_are_followed_after_malformed_entries(
    world: ForwardingWorld, session: aiohttp.ClientSession
) -> None:
    good = {"service": "records", "zone": "dc-a", "slots": 6, "state": "ready"}
    await world.store.async_put("servers/i-bad-1", {**good, "address": "abc"})
    await world.store.async_put("servers/i-bad-2", {**good, "address": "1.2.3.4:x"})
    await world.store.async_put("servers/i-bad-3", [1, {"a": None}])
    await world.store.async_put("servers/", {**good, "address": "127.0.0.1:1"})
    draining = world.records[0]
    address = world.addresses[draining.name]
    await world.store.async_put_runner(
        draining.name, service="records", address=address, state="draining"
    )
    await world.async_until(lambda: _get_state(world, draining.name) == "leaving")
    for number in range(6):
        status, _, _ = await world.async_call(session, "GET", "/lookup/a", f"r{number}")
        assert status == 200
    assert not draining.arrivals


async def test_upstream_serves_again_after_its_overwritten_entry_is_restored(
    world: ForwardingWorld, session: aiohttp.ClientSession
) -> None:
    for runner in world.records:
        await world.store.async_put(f"servers/{runner.name}", {"service": 7})
        await world.async_until(lambda name=runner.name: _get_state(world, name) == "unusable")
    status, _, headers = await world.async_call(session, "GET", "/lookup/a", "r1")
    assert (status, "Retry-After" in headers) == (503, True)
    for runner in world.records:
        address = world.addresses[runner.name]
        await world.store.async_put_runner(runner.name, service="records", address=address)
        await world.async_until(lambda name=runner.name: _get_state(world, name) == "ready")
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "r2")
    assert status == 200


async def test_upstream_that_changes_its_service_gets_no_requests_of_the_former_one(
    world: ForwardingWorld, session: aiohttp.ClientSession
) -> None:
    moved = world.records[0]
    address = world.addresses[moved.name]
    await world.store.async_put_runner(moved.name, service="elsewhere", address=address)
    await world.async_until(lambda: _get_service(world, moved.name) == "elsewhere")
    for number in range(6):
        await world.async_call(session, "GET", "/lookup/a", f"r{number}")
    assert not moved.arrivals


def _get_state(world: ForwardingWorld, upstream: str) -> str:
    return _get_field(world, upstream, "state")


def _get_service(world: ForwardingWorld, upstream: str) -> str:
    return _get_field(world, upstream, "service")


def _get_field(world: ForwardingWorld, upstream: str, field: str) -> str:
    section = world.product.app.dump()["directory"]
    assert isinstance(section, dict)
    return str(next(entry[field] for entry in section["upstreams"] if entry["id"] == upstream))
