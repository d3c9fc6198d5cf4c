"""A fleet of routers, sides and stand-in upstreams in one process on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
from typing import Any, Final

from gypsumrouter.bootstrap import ADDRESS_CALLERS, ADDRESS_LINK, async_setup
from gypsumrouter.const import Role
from gypsumrouter.exceptions import NotReady
from gypsumrouter.fleet import Address
from gypsumrouter.helpers.settings_file import check_linked_settings
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.standins import StandinPlatform
from gypsumrouter.util.clock import Clock

ENV_LINK_KEY: Final = "GYPSUMROUTER_LOCAL_LINK_KEY"
LINK_KEY_BYTES: Final = 32
READY_POLL_MS: Final = 10
READY_TIMEOUT_MS: Final = 15_000

SettingsSections = dict[str, Any]


class LocalFleet:
    """Runs one side for each upstream of a stand-in platform, and a number of routers.

    `extra` overrides settings of all sides and routers, section by section.
    """

    __slots__ = ("_clock", "_extra", "platform", "routers", "sides")

    def __init__(
        self, *, platform: StandinPlatform, clock: Clock, extra: SettingsSections | None = None
    ) -> None:
        self._clock = clock
        self._extra = extra or {}
        self.platform = platform
        self.sides: dict[str, RunningProcess] = {}
        self.routers: dict[str, RunningProcess] = {}
        os.environ.setdefault(ENV_LINK_KEY, secrets.token_hex(LINK_KEY_BYTES))

    async def async_start(self, *, routers: int) -> None:
        """Start all processes and wait until they are ready; raises NotReady on a timeout."""
        await self.platform.async_start()
        for plan in self.platform.plans:
            await self.async_start_side(plan.name)
        for index in range(routers):
            deployment = self.platform.deployments[index % len(self.platform.deployments)]
            await self.async_start_router(
                f"{deployment.name}-router-{index + 1}",
                data_centre=deployment.get_data_centre(index),
                region=deployment.region,
            )
        await self.async_wait_ready()

    async def async_start_side(self, name: str) -> RunningProcess:
        """Start the side of an upstream and add it to the instance list."""
        settings = self.platform.make_side_settings(name, link={"key_env": ENV_LINK_KEY})
        process = await self._async_start(Role.SIDE, settings)
        self.sides[name] = process
        self.platform.register_side(name, process.addresses[ADDRESS_LINK])
        return process

    async def async_start_router(
        self, name: str, *, data_centre: str, region: str
    ) -> RunningProcess:
        """Start a router and add it to the instance list."""
        settings = self.platform.make_router_settings(
            name, data_centre=data_centre, region=region, link={"key_env": ENV_LINK_KEY}
        )
        process = await self._async_start(Role.ROUTER, settings)
        self.routers[name] = process
        self.platform.register_router(
            name, process.addresses[ADDRESS_LINK], data_centre=data_centre, region=region
        )
        return process

    async def async_wait_ready(self) -> None:
        """Wait until all routers and sides are ready; raises NotReady on a timeout."""
        processes = (*self.sides.values(), *self.routers.values())
        for _ in range(READY_TIMEOUT_MS // READY_POLL_MS):
            if all(process.is_ready() for process in processes):
                return
            await self._clock.async_sleep(READY_POLL_MS)
        not_ready = [process.app.name for process in processes if not process.is_ready()]
        raise NotReady(f"not ready within {READY_TIMEOUT_MS} ms: {', '.join(not_ready)}")

    def list_caller_addresses(self) -> tuple[Address, ...]:
        """Return the addresses on which the routers accept requests of callers."""
        return tuple(process.addresses[ADDRESS_CALLERS] for process in self.routers.values())

    async def async_stop(self) -> None:
        """Stop the routers, then the sides and the platform."""
        for process in (*self.routers.values(), *self.sides.values()):
            await process.app.async_stop()
        await self.platform.async_stop()

    async def _async_start(self, role: Role, settings: SettingsSections) -> RunningProcess:
        merged = {
            name: {**settings.get(name, {}), **self._extra.get(name, {})}
            for name in settings.keys() | self._extra.keys()
        }
        checked = check_linked_settings(role=role, document=json.dumps(merged).encode())
        # A separate task has its own context, which carries the instance's name into the logs.
        return await asyncio.create_task(async_setup(settings=checked, clock=self._clock))
