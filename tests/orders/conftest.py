"""Fixtures for the tests of orders."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from orders_fakes import Cluster


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    """Return a cluster without sides and engines and with a running weight store."""
    cluster = Cluster()
    await cluster.weights.async_start()
    yield cluster
    await cluster.async_stop()
