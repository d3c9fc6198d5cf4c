"""Fixtures for the admission tests."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from admission_fakes import AdmissionHarness, make_harness, make_pool

from gypsumrouter.util.clock import ManualClock


@pytest.fixture
async def harness() -> AsyncIterator[AdmissionHarness]:
    """Admission with two slots and a queue of eight, below the cap's floor."""
    harness = make_harness(clock=ManualClock(now_ms=10_000), pool=make_pool())
    yield harness
    await harness.app.async_stop()
