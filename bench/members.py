"""Measures the propagation of configurations to 1,260 lightweight members in a few processes."""

from __future__ import annotations

import asyncio
import secrets
import time
from contextlib import AsyncExitStack
from typing import Final

from msgspec import Struct

from bench.in_force import count_rollbacks, measure_delays
from bench.member_host import Events, MemberHost
from bench.metered_platform import MeteredPlatform
from bench.processes import read_usage
from bench.static_list import StaticList
from bench.target_scale import REGIONS, ROUTERS, SIDES, Location, list_locations
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.standins import OutageKind

HOSTS: Final = 8
ROUTER_HOSTS: Final = 2
JOINS_PER_S: Final = 70
SETTLE_S: Final = 8.0
OUTAGE_DELAY_S: Final = 0.1
OUTAGE_S: Final = 6.0
WORKSPACES: Final = 200
KEY_BYTES: Final = 32


class Propagation(Struct, frozen=True, kw_only=True):
    """Results of the lightweight fleet; a waiting watch counts as one read/s in `reads_s`."""

    members: int
    delays_s: list[float]
    outage_delays_s: list[float]
    reverted: int
    reads_s: float
    waiting_watches: float
    rss_bytes: int


async def async_measure_propagation(*, changes: int, interval_s: float) -> Propagation:
    """Start the fleet, publish changes and return how fast they propagated."""
    async with AsyncExitStack() as stack:
        platform = MeteredPlatform(workspaces=WORKSPACES)
        await platform.async_start()
        stack.push_async_callback(platform.async_stop)
        hosts = _make_hosts()
        for host in hosts:
            stack.push_async_callback(host.async_stop)
        started = await asyncio.gather(*(host.async_start() for host in hosts))
        instance_list = StaticList(
            instances=[instance for instances in started for instance in instances]
        )
        origins = {
            "configuration": [f"http://{platform.configuration.address}"],
            "instances": [f"http://{await instance_list.async_start()}"],
        }
        stack.push_async_callback(instance_list.async_stop)
        spacing_ms = HOSTS * MS_PER_S / JOINS_PER_S
        joins = [host.async_join(platform=origins, spacing_ms=spacing_ms) for host in hosts]
        await asyncio.gather(*joins)
        await asyncio.sleep(SETTLE_S)
        return await _async_publish(platform, hosts, changes=changes, interval_s=interval_s)


async def _async_publish(
    platform: MeteredPlatform, hosts: list[MemberHost], *, changes: int, interval_s: float
) -> Propagation:
    service = platform.configuration
    accepted_ms: dict[int, int] = {}
    began_s, before, waited_ms = time.monotonic(), _count_reads(platform), service.watch_ms_total
    for number in range(changes):
        platform.publish_workspaces(WORKSPACES, changed=number + 1)
        accepted_ms[service.version] = time.time_ns() // 1_000_000
        await asyncio.sleep(interval_s)
    seconds = time.monotonic() - began_s
    waiting_watches = (service.watch_ms_total - waited_ms) / MS_PER_S / seconds
    reads_s = (_count_reads(platform) - before) / seconds
    outage_accepted_ms = await _async_publish_before_outage(platform, changes)
    events: Events = {}
    for host in hosts:
        events |= await host.async_get_events()
    return Propagation(
        members=len(events),
        delays_s=measure_delays(events, accepted_ms, accepted_ms),
        outage_delays_s=measure_delays(events, outage_accepted_ms, outage_accepted_ms),
        reverted=count_rollbacks(events),
        reads_s=reads_s + waiting_watches,
        waiting_watches=waiting_watches,
        rss_bytes=sum(read_usage(host.pid).rss_bytes for host in hosts),
    )


async def _async_publish_before_outage(platform: MeteredPlatform, changes: int) -> dict[int, int]:
    """Publish a change, start an outage shortly after it, and return its time by version."""
    service = platform.configuration
    platform.publish_workspaces(WORKSPACES, changed=changes + 1)
    accepted_ms = {service.version: time.time_ns() // 1_000_000}
    await asyncio.sleep(OUTAGE_DELAY_S)
    await service.async_set_outage(OutageKind.REFUSE)
    await asyncio.sleep(OUTAGE_S)
    await service.async_set_outage(OutageKind.NONE)
    return accepted_ms


def _make_hosts() -> list[MemberHost]:
    key = secrets.token_hex(KEY_BYTES)
    routers = _split_locations(Role.ROUTER, ROUTERS, ROUTER_HOSTS)
    sides = _split_locations(Role.SIDE, SIDES, HOSTS - ROUTER_HOSTS)
    return [
        MemberHost(role=role, locations=locations, key=key)
        for role, split in ((Role.ROUTER, routers), (Role.SIDE, sides))
        for locations in split
    ]


def _split_locations(role: Role, count: int, hosts: int) -> list[list[Location]]:
    locations = list_locations(role, count, regions=REGIONS)
    return [locations[start::hosts] for start in range(hosts)]


def _count_reads(platform: MeteredPlatform) -> int:
    return platform.configuration.reads + platform.configuration.watches
