"""Fixtures for the tests of at-most-once calls."""

from __future__ import annotations

import pytest
from idempotency_world import Side, make_instance

from gypsumrouter.fleet import Address


@pytest.fixture
def side() -> Side:
    """Return a side that has owned all keys for longer than the time window and the lease."""
    side = Side(name="a", address=Address(host="10.0.0.1", port=7000))
    own = make_instance(side.name, side.address)
    side.read(1, own)
    side.clock.advance(10 * 60_000)
    side.read(1, own)
    return side
