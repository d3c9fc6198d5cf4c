"""A fleet in two groups of data centres, each with its own instance list and addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from enum import StrEnum
from typing import Any, Final

from msgspec.structs import replace

from bench.processes import DaemonProcess
from bench.rig import Rig, Sections
from gypsumrouter.const import MS_PER_S
from gypsumrouter.instances import Address
from gypsumrouter.standins import (
    Deployment,
    Engine,
    EngineSettings,
    FaultProxy,
    InstanceListService,
    Partition,
    Service,
    StandinPlatform,
)
from gypsumrouter.util.clock import Clock

READY_POLL_MS: Final = 50


class Group(StrEnum):
    """The two sides of a network partition."""

    LEFT = "left"
    RIGHT = "right"

    @property
    def other(self) -> Group:
        """Return the group on the other side."""
        return Group.RIGHT if self is Group.LEFT else Group.LEFT


class SplitPlatform(StandinPlatform):
    """A platform whose instance list has one replica in each group.

    Both replicas receive the same changes in the same order; each lists the addresses at which its
    group reaches the instances.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        deployments: tuple[Deployment, ...],
        engine_settings: EngineSettings | None = None,
        service_delay_ms: int = 0,
    ) -> None:
        super().__init__(
            clock=clock,
            deployments=deployments,
            engine_settings=engine_settings,
            service_delay_ms=service_delay_ms,
        )
        self.lists = {
            Group.LEFT: self.instances,
            Group.RIGHT: InstanceListService(clock=clock),
        }

    async def async_start(self) -> None:
        """Start all services and publish the first configuration."""
        await self.lists[Group.RIGHT].async_start()
        await super().async_start()

    async def async_stop(self) -> None:
        """Stop all services."""
        await super().async_stop()
        await self.lists[Group.RIGHT].async_stop()

    def get_group(self, data_centre: str) -> Group:
        """Return the group of a data centre; the first one of each deployment is in LEFT."""
        first_data_centres = {deployment.get_data_centre(0) for deployment in self.deployments}
        return Group.LEFT if data_centre in first_data_centres else Group.RIGHT

    def make_side_settings(self, name: str, *, link: dict[str, Any]) -> dict[str, Any]:
        """Return the settings of a side, with the instance list of its group."""
        settings = super().make_side_settings(name, link=link)
        return self._choose_list(settings, self.get_plan(name).data_centre)

    def make_router_settings(
        self, name: str, *, data_centre: str, region: str, link: dict[str, Any]
    ) -> dict[str, Any]:
        """Return the settings of a router, with the instance list of its group."""
        settings = super().make_router_settings(
            name, data_centre=data_centre, region=region, link=link
        )
        return self._choose_list(settings, data_centre)

    def copy_listing(self, name: str, address: Address) -> None:
        """Copy the entry of an instance from the left list to the right, with another address."""
        instance = self.instances.get(name)
        if instance is not None:
            self.lists[Group.RIGHT].set(replace(instance, address=address))

    def remove_listed(self, name: str) -> None:
        """Remove an instance from both lists."""
        for service in self.lists.values():
            service.remove(name)

    def mark_draining(self, name: str) -> None:
        """Mark an instance as draining on both lists."""
        for service in self.lists.values():
            service.mark_leaving(name)

    def _choose_list(self, settings: dict[str, Any], data_centre: str) -> dict[str, Any]:
        address = self.lists[self.get_group(data_centre)].address
        settings["platform"]["instances"] = [f"http://{address}"]
        return settings


class SplitRig(Rig):
    """Router and side processes in two groups, with fault proxies for links and upstreams.

    A process is reached from its own group through its proxy in `proxies`, and from the other group
    through a second proxy, which `partition` can block. Proxies of replaced processes stay open, so
    that instances with an outdated list can still reach a process that resumes late.
    """

    platform: SplitPlatform

    def __init__(self, *, platform: SplitPlatform, extra: Sections | None = None) -> None:
        super().__init__(platform=platform, proxied=True, extra=extra)
        self.partition = Partition()
        self.upstream_proxies: dict[str, FaultProxy] = {}
        self._upstreams: dict[str, Engine | Service] = {}
        self._crossing_proxies: list[FaultProxy] = []
        self._retired_proxies: list[FaultProxy] = []
        self._listed: dict[str, dict[Group, Address]] = {}
        self._replacements = 0

    async def async_start(self, *, routers: int) -> None:
        """Start the upstream proxies, sides and routers, and wait until all are ready."""
        await asyncio.gather(
            *(self._async_add_upstream_proxy(plan.name) for plan in self.platform.plans)
        )
        await super().async_start(routers=routers)

    async def async_stop(self) -> None:
        """Stop all processes, proxies and stand-ins."""
        await super().async_stop()
        proxies = (
            *self._crossing_proxies,
            *self._retired_proxies,
            *set(self.upstream_proxies.values()),
        )
        for proxy in proxies:
            await proxy.async_stop()

    def get_upstream(self, name: str) -> Engine | Service:
        """Return the stand-in upstream of a side."""
        return self._upstreams[name]

    def make_replacement(self, name: str) -> str:
        """Replace the plan of a side by one with a new name and the same upstream."""
        self._replacements += 1
        stem = name.partition("-new-")[0]
        successor = f"{stem}-new-{self._replacements}"
        plans = self.platform.plans
        plan = replace(self.platform.get_plan(name), name=successor)
        self.platform.plans = (*(item for item in plans if item.name != name), plan)
        self.upstream_proxies[successor] = self.upstream_proxies[name]
        self._upstreams[successor] = self._upstreams[name]
        return successor

    def relist(self, name: str) -> None:
        """Add a running side to the lists again, at its previous addresses."""
        plan = self.platform.get_plan(name)
        addresses = self._listed[plan.name]
        self.platform.register_side(name, addresses[Group.LEFT])
        self.platform.copy_listing(name, addresses[Group.RIGHT])

    async def async_wait_until_ready(self, process: DaemonProcess, *, limit_ms: int) -> bool:
        """Return whether a process becomes ready within a time limit."""
        for _ in range(limit_ms // READY_POLL_MS):
            if await self.async_is_ready(process):
                return True
            await asyncio.sleep(READY_POLL_MS / MS_PER_S)
        return False

    async def _async_add_upstream_proxy(self, name: str) -> None:
        plan = self.platform.get_plan(name)
        upstream = self.platform.engines.get(name) or self.platform.services[name]
        self._upstreams[name] = upstream
        proxy = FaultProxy(target=plan.upstream)
        address = await proxy.async_start()
        self.upstream_proxies[name] = proxy
        self.platform.plans = tuple(
            replace(item, upstream=address) if item.name == name else item
            for item in self.platform.plans
        )

    async def _async_make_proxy(self, name: str, settings: Sections) -> FaultProxy | None:
        old = self.proxies.pop(name, None)
        if old is not None:
            self._retired_proxies.append(old)
        return await super()._async_make_proxy(name, settings)

    async def _async_list_side(self, name: str, address: Address) -> None:
        plan = self.platform.get_plan(name)
        addresses = await self._async_add_crossing_proxy(name, address, plan.data_centre)
        await super()._async_list_side(name, addresses[Group.LEFT])
        self.platform.copy_listing(name, addresses[Group.RIGHT])

    async def _async_list_router(
        self, name: str, address: Address, *, data_centre: str, region: str
    ) -> None:
        addresses = await self._async_add_crossing_proxy(name, address, data_centre)
        await super()._async_list_router(
            name, addresses[Group.LEFT], data_centre=data_centre, region=region
        )
        self.platform.copy_listing(name, addresses[Group.RIGHT])

    async def _async_add_crossing_proxy(
        self, name: str, address: Address, data_centre: str
    ) -> dict[Group, Address]:
        """Start the proxy for the other group and return the address by group."""
        group = self.platform.get_group(data_centre)
        crossing = FaultProxy(target=address)
        self._crossing_proxies.append(crossing)
        self.partition.add(source=group.other, target=group, proxy=crossing)
        addresses = {group: address, group.other: await crossing.async_start()}
        self._listed[name] = addresses
        return addresses


def list_sides(rig: SplitRig, *, pools: Collection[str] = ()) -> list[str]:
    """Return the names of the running sides, optionally only those of some pools."""
    return [name for name in rig.sides if not pools or rig.platform.get_plan(name).pool in pools]
