from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
from gateway_fakes import (
    CONFIGURATION,
    FakeFleet,
    FakeLinks,
    FakePlacement,
    FakeStore,
    FakeSuspicion,
    RouterHarness,
)

from gypsumrouter.configuration import Configuration
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.gateway import Gateway
from gypsumrouter.settings import Identity, Limits, Link, Platform, RouterSettings
from gypsumrouter.util.clock import ManualClock


@pytest.fixture
def limits() -> Limits:
    return Limits(max_body_bytes=64 * 1024, caller_idle_ms=5_000)


@pytest.fixture
def configuration() -> Configuration:
    return CONFIGURATION


@pytest.fixture
async def router(limits: Limits, configuration: Configuration) -> AsyncIterator[RouterHarness]:
    clock = ManualClock()
    app = Application(
        name="router-1",
        role=Role.ROUTER,
        data_centre="dc-1",
        region="here",
        clock=clock,
        incarnation=7,
    )
    settings = RouterSettings(
        instance=Identity(name="router-1", data_centre="dc-1", region="here"),
        link=Link(key_env="UNUSED"),
        platform=Platform(),
        limits=limits,
    )
    links, fleet, store = FakeLinks(), FakeFleet(), FakeStore(configuration)
    placement, suspicion = FakePlacement(fleet), FakeSuspicion()
    parts: dict[str, Any] = {
        "store": store,
        "fleet": fleet,
        "links": links,
        "placement": placement,
        "suspicion": suspicion,
    }
    gateway = Gateway(app=app, settings=settings, **parts)
    address = await gateway.async_start()
    async with aiohttp.ClientSession() as http:
        router = RouterHarness(
            app=app, clock=clock, gateway=gateway, http=http, address=address, **parts
        )
        await router.async_wait_until(lambda: router.gateway.ready)
        yield router
    await app.async_stop()
