"""Fixtures of placement."""

from __future__ import annotations

import pytest
from placement_fakes import FakeFleet, FakeLinks, World, make_instance

from gypsumrouter.util.clock import ManualClock


@pytest.fixture
def world() -> World:
    members = tuple(make_instance(number) for number in range(9))
    return World(fleet=FakeFleet(members), links=FakeLinks(), clock=ManualClock(now_ms=10_000))
