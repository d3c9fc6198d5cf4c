"""Fixtures for the placement tests."""

from __future__ import annotations

import pytest
from placement_fakes import FakeFleet, FakeLinks, PlacementHarness, make_instance

from gypsumrouter.util.clock import ManualClock


@pytest.fixture
def harness() -> PlacementHarness:
    members = tuple(make_instance(number) for number in range(9))
    return PlacementHarness(
        fleet=FakeFleet(members), links=FakeLinks(), clock=ManualClock(now_ms=10_000)
    )
