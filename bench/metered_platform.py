"""Stand-ins of the platform that count the bytes exchanged with each role."""

from __future__ import annotations

from typing import Any, Final

import msgspec
from msgspec import Struct

from bench.target_scale import make_configuration, make_deployment
from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.instances import Address
from gypsumrouter.standins import (
    Direction,
    FaultProxy,
    InstanceListService,
    SidePlan,
    StandinPlatform,
)
from gypsumrouter.util.clock import SystemClock

FIRST_CONFIGURATION: Final = 2


class PlatformBytes(Struct, frozen=True, kw_only=True):
    """Bytes of HTTP headers and bodies in both directions, of all processes of one role."""

    configuration: int
    instances: int

    def __sub__(self, earlier: PlatformBytes) -> PlatformBytes:
        return PlatformBytes(
            configuration=self.configuration - earlier.configuration,
            instances=self.instances - earlier.instances,
        )


class MeteredPlatform(StandinPlatform):
    """A platform that processes reach through one counting proxy per role and service."""

    def __init__(self, *, workspaces: int) -> None:
        self.deployment = make_deployment()
        super().__init__(clock=SystemClock(), deployments=(self.deployment,))
        self.workspaces = workspaces
        self._configuration: dict[Role, FaultProxy] = {}
        self._instances: dict[Role, FaultProxy] = {}

    async def async_start(self) -> None:
        """Start all services and proxies, and publish a configuration of the configured size."""
        await super().async_start()
        for role in Role:
            self._configuration[role] = await _async_start_proxy(self.configuration.address)
            self._instances[role] = await _async_start_proxy(self.instances.address)
        self.publish_workspaces(self.workspaces)

    async def async_stop(self) -> None:
        """Stop all proxies and services."""
        for proxy in (*self._configuration.values(), *self._instances.values()):
            await proxy.async_stop()
        await super().async_stop()

    def plan_sides(self, *, count: int, upstream: Address) -> None:
        """Plan sides that share one engine, the first one in the second data centre.

        With one router and one side, each then watches the platform for its own data centre.
        """
        deployment = self.deployment
        self.plans = tuple(
            SidePlan(
                name=f"{deployment.engine_pool}-{index + 1}",
                pool=deployment.engine_pool,
                kind=UpstreamKind.ENGINE,
                data_centre=deployment.get_data_centre(index + 1),
                region=deployment.region,
                upstream=upstream,
            )
            for index in range(count)
        )

    def publish_workspaces(self, workspaces: int, *, changed: int = 0) -> int:
        """Publish the next version, with one workspace changed, and return its size in bytes."""
        version = max(FIRST_CONFIGURATION, self.configuration.version + 1)
        configuration = make_configuration(
            self.deployment, version=version, workspaces=workspaces, changed=changed
        )
        # Defaults are omitted: with them, a document of the target size exceeds 1 MB.
        document = msgspec.json.encode(configuration)
        self.configuration.publish(document)
        return len(document)

    def switch_instance_list(self, service: InstanceListService) -> None:
        """Switch all processes to another instance list service."""
        for proxy in self._instances.values():
            proxy.target = service.address
            proxy.reset_connections()

    def count_bytes(self, role: Role) -> PlatformBytes:
        """Return the bytes that the processes of a role have exchanged so far."""
        return PlatformBytes(
            configuration=_count_exchanged_bytes(self._configuration[role]),
            instances=_count_exchanged_bytes(self._instances[role]),
        )

    def make_side_settings(self, name: str, *, link: dict[str, Any]) -> dict[str, Any]:
        """Return the settings of a side."""
        settings = super().make_side_settings(name, link=link)
        return settings | {"platform": self._make_origins(Role.SIDE)}

    def make_router_settings(
        self, name: str, *, data_centre: str, region: str, link: dict[str, Any]
    ) -> dict[str, Any]:
        """Return the settings of a router."""
        settings = super().make_router_settings(
            name, data_centre=data_centre, region=region, link=link
        )
        return settings | {"platform": self._make_origins(Role.ROUTER)}

    def _make_origins(self, role: Role) -> dict[str, Any]:
        return {
            "configuration": [f"http://{self._configuration[role].address}"],
            "instances": [f"http://{self._instances[role].address}"],
        }


async def _async_start_proxy(target: Address) -> FaultProxy:
    proxy = FaultProxy(target=target)
    await proxy.async_start()
    return proxy


def _count_exchanged_bytes(proxy: FaultProxy) -> int:
    return sum(proxy.get_forwarded_bytes(way) for way in Direction)
