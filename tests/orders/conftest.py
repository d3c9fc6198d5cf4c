"""Fixtures of orders to engines."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from orders_world import World


@pytest.fixture
async def world() -> AsyncIterator[World]:
    """Return a world without sides and engines; its weight store runs."""
    world = World()
    await world.weights.async_start()
    yield world
    await world.async_stop()
