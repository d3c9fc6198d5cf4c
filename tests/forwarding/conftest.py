"""A forwarder in the test's process, before stand-ins of the platform's store and runners."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator

import aiohttp
import pytest
from forwarding_world import KEY, ForwardingWorld


@pytest.fixture
async def world() -> AsyncIterator[ForwardingWorld]:
    """Two plain runners, two engines and one forwarder, all ready."""
    os.environ["GYPSUMROUTER_LINK_KEY"] = KEY
    world = ForwardingWorld()
    await world.async_start()
    yield world
    await world.async_stop()


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """A caller's HTTP client that never tries again by itself."""
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session
