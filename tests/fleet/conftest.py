"""Fixtures of the membership tests."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from fleet_world import World


@pytest.fixture
async def world() -> AsyncIterator[World]:
    """Return a started fleet that has no list yet."""
    world = World()
    await world.fleet.async_start()
    yield world
    await world.app.async_stop()
