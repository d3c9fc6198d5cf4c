from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import aiohttp
from small_deployment import FAST_SETTINGS

from bench.processes import DaemonProcess, async_start_daemon
from gypsumrouter.bootstrap import ADDRESS_LINK, ADDRESS_OPERATORS
from gypsumrouter.const import Role
from gypsumrouter.fleet import Address
from gypsumrouter.operators import PATH_READY
from gypsumrouter.standins import SidePlan, StandinPlatform

ENV_KEY = "GYPSUMROUTER_TEST_LINK_KEY"
ROUTER = "router-1"
LINK = {"key_env": ENV_KEY}


class DaemonFleet:
    """Runs one router and all sides as separate processes, and stand-ins in the test's process."""

    def __init__(self, *, platform: StandinPlatform, folder: Path, drain_ms: int) -> None:
        self.platform = platform
        self.folder = folder
        self.drain_ms = drain_ms
        self.daemons: dict[str, DaemonProcess] = {}

    @property
    def router(self) -> DaemonProcess:
        return self.daemons[ROUTER]

    @property
    def key(self) -> str:
        return self.platform.deployments[0].workspaces[0].key

    async def async_start(self) -> None:
        await self.platform.async_start()
        plans = self.platform.plans
        await asyncio.gather(self._async_start_router(), *map(self._async_start_side, plans))
        for daemon in self.daemons.values():
            await async_wait_until_ready(daemon, True)

    async def _async_start_side(self, plan: SidePlan) -> None:
        settings = self.platform.make_side_settings(plan.name, link=LINK)
        address = await self._async_start_daemon(Role.SIDE, plan.name, settings)
        self.platform.register_side(plan.name, address)

    async def _async_start_router(self) -> None:
        location = {"data_centre": "here-a", "region": "here"}
        settings = self.platform.make_router_settings(ROUTER, **location, link=LINK)
        address = await self._async_start_daemon(Role.ROUTER, ROUTER, settings)
        self.platform.register_router(ROUTER, address, **location)

    async def _async_start_daemon(self, role: Role, name: str, settings: dict[str, Any]) -> Address:
        settings["platform"].update(FAST_SETTINGS["platform"])
        settings["limits"] = {"drain_ms": self.drain_ms}
        daemon = await async_start_daemon(role=role, settings=settings, folder=self.folder)
        self.daemons[name] = daemon
        return daemon.addresses[ADDRESS_LINK]

    async def async_stop(self) -> None:
        for daemon in self.daemons.values():
            await daemon.async_kill()
        await self.platform.async_stop()

    def read_log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()


async def async_wait_until_ready(daemon: DaemonProcess, expected: bool) -> None:
    """Poll the readiness probe of a process until it has the expected result."""
    url = f"http://{daemon.addresses[ADDRESS_OPERATORS]}{PATH_READY}"
    async with asyncio.timeout(20), aiohttp.ClientSession() as session:
        while True:
            async with session.get(url) as response:
                if (response.status == 200) is expected:
                    return
            await asyncio.sleep(0.02)
