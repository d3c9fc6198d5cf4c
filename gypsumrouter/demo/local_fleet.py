"""A whole fleet in one process on loopback: stand-ins, sides and routers."""

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
READY_MS: Final = 15_000

SettingsPart = dict[str, Any]


class LocalFleet:
    """Runs one side beside each upstream of a platform of stand-ins, and some routers.

    `extra` is laid over the settings of every process, section by section.
    """

    __slots__ = ("_clock", "_extra", "platform", "routers", "sides")

    def __init__(
        self, *, platform: StandinPlatform, clock: Clock, extra: SettingsPart | None = None
    ) -> None:
        self._clock = clock
        self._extra = extra or {}
        self.platform = platform
        self.sides: dict[str, RunningProcess] = {}
        self.routers: dict[str, RunningProcess] = {}
        os.environ.setdefault(ENV_LINK_KEY, secrets.token_hex(LINK_KEY_BYTES))

    async def async_start(self, *, routers: int) -> None:
        """Start everything and wait until it is ready; raises NotReady after 15 s."""
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
        """Start the side beside one upstream and put it on the instance list."""
        settings = self.platform.make_side_settings(name, link={"key_env": ENV_LINK_KEY})
        product = await self._async_start(Role.SIDE, settings)
        self.sides[name] = product
        self.platform.list_side(name, product.addresses[ADDRESS_LINK])
        return product

    async def async_start_router(
        self, name: str, *, data_centre: str, region: str
    ) -> RunningProcess:
        """Start a router and put it on the instance list."""
        settings = self.platform.make_router_settings(
            name, data_centre=data_centre, region=region, link={"key_env": ENV_LINK_KEY}
        )
        product = await self._async_start(Role.ROUTER, settings)
        self.routers[name] = product
        self.platform.list_router(
            name, product.addresses[ADDRESS_LINK], data_centre=data_centre, region=region
        )
        return product

    async def async_wait_ready(self) -> None:
        """Wait until every process takes work; raises NotReady."""
        products = (*self.sides.values(), *self.routers.values())
        for _ in range(READY_MS // READY_POLL_MS):
            if all(product.is_ready() for product in products):
                return
            await self._clock.async_sleep(READY_POLL_MS)
        late = [product.app.name for product in products if not product.is_ready()]
        raise NotReady(f"not ready in time: {', '.join(late)}")

    def list_callers(self) -> tuple[Address, ...]:
        """Return where the routers take callers' requests."""
        return tuple(product.addresses[ADDRESS_CALLERS] for product in self.routers.values())

    async def async_stop(self) -> None:
        """Release everything, the routers first."""
        for product in (*self.routers.values(), *self.sides.values()):
            await product.app.async_stop()
        await self.platform.async_stop()

    async def _async_start(self, role: Role, settings: SettingsPart) -> RunningProcess:
        merged = {
            name: {**settings.get(name, {}), **self._extra.get(name, {})}
            for name in settings.keys() | self._extra.keys()
        }
        checked = check_linked_settings(role=role, document=json.dumps(merged).encode())
        # A task of its own: the instance's name stays with what it starts.
        return await asyncio.create_task(async_setup(settings=checked, clock=self._clock))
