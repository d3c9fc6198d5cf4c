"""Fixtures of admission."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from admission_fakes import Side, make_pool, make_side

from gypsumrouter.util.clock import ManualClock


@pytest.fixture
async def side() -> AsyncIterator[Side]:
    """One side of two slots and a queue of eight, whose cap does not bind."""
    side = make_side(clock=ManualClock(now_ms=10_000), pool=make_pool())
    yield side
    await side.app.async_stop()
