from __future__ import annotations

from collections.abc import AsyncIterator

import pytest_asyncio
from integration_fleet import IntegrationFleet
from msgspec.structs import replace
from small_deployment import make_small_deployment


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet() -> AsyncIterator[IntegrationFleet]:
    """Two routers, three engines and three services with their sides; shared by a module."""
    fleet = IntegrationFleet(deployment=replace(make_small_deployment(), engines=3, services=3))
    try:
        await fleet.async_start()
        yield fleet
    finally:
        await fleet.async_stop()
