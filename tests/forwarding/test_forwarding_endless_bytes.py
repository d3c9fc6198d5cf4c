"""Upstreams that send bytes without end: their callers are served elsewhere or told at once."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld

from gypsumrouter.standins.endless_upstream import STATES, EndlessUpstream

REQUESTS = 12
# Deadlines are 2.5 s; a true answer comes long before.
AT_ONCE_S = 1.5
LASTING_S = 3.0
Replace = Callable[[str, str], Awaitable[EndlessUpstream]]


@pytest.fixture
async def replace(world: ForwardingWorld) -> AsyncIterator[Replace]:
    """Put an endless upstream in the place of the first sound one of a service."""
    endless: list[EndlessUpstream] = []

    async def async_replace(state: str, service: str) -> EndlessUpstream:
        upstream = EndlessUpstream(choose=lambda _head: state)
        endless.append(upstream)
        runner = (world.records if service == "records" else world.models)[0]
        world.addresses[runner.name] = await upstream.async_start()
        await world.async_put_entry(runner, service=service)
        await world.async_until(lambda: has_read(world))
        return upstream

    yield async_replace
    for upstream in endless:
        await upstream.async_stop()


def has_read(world: ForwardingWorld) -> bool:
    """Return whether the forwarder has read all that is in the store."""
    directory = world.product.app.dump()["directory"]
    assert isinstance(directory, dict)
    return bool(directory["revision"] >= world.store.revision)


# Guards against callers that wait for a response which never ends.
@pytest.mark.parametrize("state", STATES.keys())
async def test_requests_that_may_be_repeated_are_served_elsewhere(
    world: ForwardingWorld, session: aiohttp.ClientSession, replace: Replace, state: str
) -> None:
    endless = await replace(state, "records")
    calls = [world.async_call(session, "GET", "/lookup/a", f"l{n}") for n in range(REQUESTS)]
    assert [status for status, _, _ in await asyncio.gather(*calls)] == [200] * REQUESTS
    assert endless.requests > 0


@pytest.mark.parametrize("state", STATES.keys())
async def test_requests_that_must_not_be_repeated_get_a_true_answer_at_once(
    world: ForwardingWorld, session: aiohttp.ClientSession, replace: Replace, state: str
) -> None:
    endless = await replace(state, "records")
    begun_s = time.monotonic()
    calls = [world.async_call(session, "POST", "/reserve/a", f"r{n}") for n in range(REQUESTS)]
    statuses = {status for status, _, _ in await asyncio.gather(*calls, return_exceptions=False)}
    assert statuses <= {200, 502, 503}
    assert time.monotonic() - begun_s < AT_ONCE_S
    assert endless.requests > 0


async def test_stream_whose_event_never_ends_goes_on_elsewhere(
    world: ForwardingWorld, session: aiohttp.ClientSession, replace: Replace
) -> None:
    await replace("event", "models")
    calls = [
        world.async_call(session, "GET", "/quote/a", f"q{n}", extra=PROMPT) for n in range(REQUESTS)
    ]
    answers = await asyncio.gather(*calls)
    assert [status for status, _, _ in answers] == [200] * REQUESTS
    assert all(body.endswith(b"piece 4\n\n") for _, body, _ in answers)
