"""Fixtures of the configuration tests."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import pytest
from configuration_fakes import FakeFleet

from gypsumrouter.configuration import ConfigurationStore
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.util.clock import ManualClock


@pytest.fixture
def app() -> Application:
    return Application(
        name="router-1",
        role=Role.ROUTER,
        data_centre="dc-0",
        region="hr-zagreb",
        clock=ManualClock(),
    )


@pytest.fixture
def store(app: Application) -> ConfigurationStore:
    return ConfigurationStore(app=app)


@pytest.fixture
async def make_fleet() -> AsyncIterator[Callable[[int], FakeFleet]]:
    fleets: list[FakeFleet] = []

    def make(size: int) -> FakeFleet:
        fleet = FakeFleet(names=tuple(f"router-{number}" for number in range(size)))
        fleets.append(fleet)
        return fleet

    yield make
    for fleet in fleets:
        await fleet.async_stop_all()
