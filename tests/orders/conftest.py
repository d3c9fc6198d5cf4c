"""Fixtures of orders to engines."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from orders_fakes import Cluster


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    """Return a world without sides and engines; its weight store runs."""
    cluster = Cluster()
    await cluster.weights.async_start()
    yield cluster
    await cluster.async_stop()
