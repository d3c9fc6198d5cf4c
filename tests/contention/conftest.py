"""Fixtures: a router's admission queue with a driven clock."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from contention_fakes import World


@pytest.fixture
async def world() -> AsyncIterator[World]:
    """Yield an admission queue for one service."""
    world = World()
    yield world
    await world.async_stop()
