"""Shared fixtures: routers and sides with stand-in upstreams, running in the test's process."""

from __future__ import annotations

import os

os.environ.setdefault("UV_USE_IO_URING", "0")

from collections.abc import AsyncIterator
from typing import Any

import pytest
from small_deployment import FAST_SETTINGS, StartLocalFleet, make_small_deployment

from gypsumrouter.demo.local_fleet import LocalFleet
from gypsumrouter.standins import Deployment, EngineSettings, StandinPlatform
from gypsumrouter.util.clock import SystemClock


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--write-golden", action="store_true", help="Rewrite the golden files.")


@pytest.fixture
def write_golden(request: pytest.FixtureRequest) -> bool:
    return bool(request.config.getoption("--write-golden"))


@pytest.fixture
async def start_local_fleet() -> AsyncIterator[StartLocalFleet]:
    """Return a function that starts a fleet with the given deployment, engines and settings."""
    fleets: list[LocalFleet] = []

    async def async_start(
        *,
        deployment: Deployment | None = None,
        engine_settings: EngineSettings | None = None,
        routers: int = 1,
        extra: dict[str, Any] | None = None,
    ) -> LocalFleet:
        clock = SystemClock()
        platform = StandinPlatform(
            clock=clock,
            deployments=(deployment or make_small_deployment(),),
            engine_settings=engine_settings,
        )
        fleet = LocalFleet(platform=platform, clock=clock, extra=extra or FAST_SETTINGS)
        fleets.append(fleet)
        await fleet.async_start(routers=routers)
        return fleet

    yield async_start
    for fleet in fleets:
        await fleet.async_stop()


@pytest.fixture
async def local_fleet(start_local_fleet: StartLocalFleet) -> LocalFleet:
    """One router, two engines and two services with their sides; all are ready."""
    return await start_local_fleet()
