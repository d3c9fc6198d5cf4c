"""Fixtures: a forwarder in the test process, with stand-ins for the store and the runners."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator

import aiohttp
import pytest
from checked_ends import Checked
from dying_world import DyingWorld
from forwarding_world import KEY, ForwardingWorld
from stating_upstream import StatingUpstream

from gypsumrouter.const import Role
from gypsumrouter.core import Application


@pytest.fixture
def link_key(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the key of the links for the time of a test."""
    monkeypatch.setenv("GYPSUMROUTER_LINK_KEY", KEY)


@pytest.fixture
async def world() -> AsyncIterator[ForwardingWorld]:
    """Start two plain runners, two engines and one forwarder, and wait until they are ready."""
    os.environ["GYPSUMROUTER_LINK_KEY"] = KEY
    world = ForwardingWorld()
    await world.async_start()
    yield world
    await world.async_stop()


@pytest.fixture
async def dying(link_key: None) -> AsyncIterator[DyingWorld]:
    """Start a store and a forwarder whose upstreams are processes that a test starts."""
    async with DyingWorld() as world:
        yield world


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """Open a caller's HTTP client that uses a new connection each time, so it never retries."""
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session


@pytest.fixture
async def checked() -> AsyncIterator[Checked]:
    """Start an upstream, and a pool whose answers end with their connections."""
    app = Application(name="r1", role=Role.FORWARDER, data_centre="dc", region="r")
    upstream = StatingUpstream()
    yield Checked(app, upstream, await upstream.async_start())
    upstream.stop()
    await app.async_stop()
