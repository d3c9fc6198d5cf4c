"""Fixture with three sides of one pool."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from prefixes_fakes import FakeFleet, Side

NAMES = ("engine-1", "engine-2", "engine-3")


@pytest.fixture
async def sides() -> AsyncIterator[tuple[Side, Side, Side]]:
    fleet = FakeFleet()
    made = tuple(Side(name=name, fleet=fleet) for name in NAMES)
    for side in made:
        await side.async_start()
        fleet.sides[side.app.name] = side
    yield made[0], made[1], made[2]
    for side in made:
        await side.async_stop()
