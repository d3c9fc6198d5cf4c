"""A fleet of real processes with a configuration of the target size, and the cost of changes."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from typing import Final

from msgspec import Struct, field

from bench.in_force import get_in_force_ms, read_logs
from bench.ledger import AverageUsage, async_measure_since, async_take_snapshot
from bench.metered_platform import MeteredPlatform
from bench.paced_engine import PacedEngine
from bench.probe_host import ProbedProcess
from bench.processes import DaemonProcess
from bench.rig import READY_POLL_MS, Rig
from bench.target_scale import WORKSPACES
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.instances import Address

CONFIGURATION_KINDS: Final = ("configuration_news", "parts_request", "parts")
SETTLE_S: Final = 3.0
START_TIMEOUT_S: Final = 20.0
IN_FORCE_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.2


class ChangeCost(Struct, kw_only=True):
    """Cost of one change for a process that watches the platform, and for any other.

    `documents` is the number of whole documents that the fleet reads per change.
    """

    watchers: int = 0
    documents: float = 0.0
    watcher_bytes: float = 0.0
    other_bytes: float = 0.0
    watcher_cpu_s: float = 0.0
    other_cpu_s: float = 0.0


class ConfigFleet(Struct, kw_only=True):
    """A fleet of real processes; those in `probed` also measure their event loop delays."""

    platform: MeteredPlatform
    rig: Rig
    upstream: Address
    spare_sides: list[str]
    document_bytes: int = 1
    probed: list[ProbedProcess] = field(default_factory=list)
    accepted_ms: dict[int, int] = field(default_factory=dict)
    start_times_s: list[float] = field(default_factory=list)

    def publish(self) -> int:
        """Publish the next version, with one workspace changed, and return its number."""
        number = self.platform.configuration.version + 1
        self.document_bytes = self.platform.publish_workspaces(WORKSPACES, changed=number)
        version = self.platform.configuration.version
        self.accepted_ms[version] = time.time_ns() // 1_000_000
        return version

    def list_processes(self) -> list[DaemonProcess]:
        """Return the processes without a probe."""
        return [*self.rig.routers.values(), *self.rig.sides.values()]

    def read_events(self) -> dict[str, list[tuple[int, int]]]:
        """Return the versions and the times at which they came into force, by process."""
        names = [process.name for process in self.list_processes()]
        return read_logs(self.rig.folder, names)

    async def async_wait_in_force(self, version: int) -> bool:
        """Wait until a version is in force in every process; return False after a timeout."""
        for _ in range(round(IN_FORCE_TIMEOUT_S / POLL_S)):
            events = self.read_events().values()
            if all(get_in_force_ms(in_force, version) < float("inf") for in_force in events):
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def async_start_spare_side(self) -> None:
        """Start one of the spare sides and record the time until it is ready."""
        began_s = time.monotonic()
        process = await self.rig.async_start_side(self.spare_sides.pop())
        while not await self.rig.async_is_ready(process):
            if time.monotonic() - began_s > START_TIMEOUT_S:
                break
            await asyncio.sleep(READY_POLL_MS / MS_PER_S)
        self.start_times_s.append(time.monotonic() - began_s)

    async def async_pop_lags(self) -> dict[Role, dict[str, float]]:
        """Return the longest event loop delays since the last call, by role."""
        return {probed.role: await probed.async_pop_longest() for probed in self.probed}

    async def async_measure_changes(self, *, changes: int, interval_s: float) -> ChangeCost:
        """Publish changes one after another and return the cost of one change."""
        processes = self.list_processes()
        watching_before = await self._async_list_watchers(processes)
        read_before = self._count_platform_bytes()
        begins = {
            process.name: await async_take_snapshot(self.rig, [process]) for process in processes
        }
        for _ in range(changes):
            self.publish()
            await asyncio.sleep(interval_s)
        await asyncio.sleep(SETTLE_S)
        spent = {
            process.name: await async_measure_since(self.rig, [process], begins[process.name])
            for process in processes
        }
        read = self._count_platform_bytes() - read_before
        watching_after = await self._async_list_watchers(processes)
        # Processes that started or stopped watching in between are excluded.
        watchers = [spent[name] for name in watching_before & watching_after]
        others = [spent[name] for name in spent.keys() - watching_before - watching_after]
        documents = max(1, round(read / self.document_bytes))
        return ChangeCost(
            watchers=len(watchers),
            documents=documents / changes,
            watcher_bytes=_average_bytes(watchers) / changes + read / documents,
            other_bytes=_average_bytes(others) / changes,
            watcher_cpu_s=_average_cpu_s(watchers) / changes,
            other_cpu_s=_average_cpu_s(others) / changes,
        )

    async def _async_list_watchers(self, processes: list[DaemonProcess]) -> set[str]:
        """Return the names of the processes that currently watch the platform."""
        dumps = [await self.rig.async_dump(process) for process in processes]
        return {
            process.name
            for process, dump in zip(processes, dumps, strict=True)
            if dump["configuration_spread"]["watches_platform"]
        }

    def _count_platform_bytes(self) -> int:
        return sum(self.platform.count_bytes(role).configuration for role in Role)


async def async_start_fleet(
    stack: AsyncExitStack, *, routers: int, sides: int, spare_sides: int = 0, probes: bool = True
) -> ConfigFleet:
    """Start a fleet and wait until the configuration is in force; the stack stops it."""
    platform = MeteredPlatform(workspaces=WORKSPACES)
    await platform.async_start()
    rig = Rig(platform=platform)
    stack.push_async_callback(rig.async_stop)
    engine = PacedEngine(model=platform.deployment.model)
    upstream = await engine.async_start()
    stack.push_async_callback(engine.async_stop)
    probed_sides = 1 if probes else 0
    platform.plan_sides(count=sides + spare_sides + probed_sides, upstream=upstream)
    names = [plan.name for plan in platform.plans]
    fleet = ConfigFleet(
        platform=platform,
        rig=rig,
        upstream=upstream,
        spare_sides=names[sides + probed_sides :],
    )
    await asyncio.gather(*(rig.async_start_side(name) for name in names[:sides]))
    await asyncio.gather(*(rig.async_start_router(index) for index in range(routers)))
    if probes:
        await _async_start_probes(stack, fleet, side=names[sides], router=routers)
    await rig.async_wait_ready()
    fleet.accepted_ms[platform.configuration.version] = time.time_ns() // 1_000_000
    await fleet.async_wait_in_force(platform.configuration.version)
    await asyncio.sleep(SETTLE_S)
    return fleet


async def _async_start_probes(
    stack: AsyncExitStack, fleet: ConfigFleet, *, side: str, router: int
) -> None:
    platform, deployment = fleet.platform, fleet.platform.deployment
    link = {"key_file": str(fleet.rig.folder / "link.key")}
    location = {"data_centre": deployment.get_data_centre(router), "region": deployment.region}
    name = f"{deployment.name}-router-{router + 1}"
    settings_by_role = {
        Role.SIDE: platform.make_side_settings(side, link=link),
        Role.ROUTER: platform.make_router_settings(name, link=link, **location),
    }
    for role, settings in settings_by_role.items():
        probed = ProbedProcess(role=role, settings=settings)
        stack.push_async_callback(probed.async_stop)
        await probed.async_start()
        fleet.probed.append(probed)
        if role is Role.SIDE:
            platform.register_side(side, probed.link)
        else:
            platform.register_router(name, probed.link, **location)


def _average_bytes(spent: list[AverageUsage]) -> float:
    return sum(_sum_bytes(item) for item in spent) / max(1, len(spent))


def _average_cpu_s(spent: list[AverageUsage]) -> float:
    return sum(item.core_share * item.seconds for item in spent) / max(1, len(spent))


def _sum_bytes(spent: AverageUsage) -> float:
    return sum(spent.rates.get(kind, 0.0) for kind in CONFIGURATION_KINDS) * spent.seconds
