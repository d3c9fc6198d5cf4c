"""The spread of the configuration through 1,260 light processes that share a few real ones."""

from __future__ import annotations

import asyncio
import secrets
import time
from contextlib import AsyncExitStack
from typing import Final

from msgspec import Struct

from bench.in_force import count_reverted, measure_delays
from bench.member_host import Events, MemberHost
from bench.metered_platform import MeteredPlatform
from bench.processes import read_usage
from bench.static_list import StillList
from bench.target_scale import REGIONS, ROUTERS, SIDES, Place, list_places
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.standins import OutageKind

HOSTS: Final = 8
ROUTER_HOSTS: Final = 2
JOINS_S: Final = 70
JOINED_S: Final = 8.0
NEWS_LEAD_S: Final = 0.1
OUTAGE_S: Final = 6.0
WORKSPACES: Final = 200
KEY_BYTES: Final = 32


class Spread(Struct, frozen=True, kw_only=True):
    """What the light fleet showed; `reads_s` counts a waiting watch as one read a second."""

    members: int
    delays_s: list[float]
    outage_delays_s: list[float]
    reverted: int
    reads_s: float
    waiting: float
    rss_bytes: int


async def async_measure_spread(*, changes: int, pause_s: float) -> Spread:
    """Start the fleet, publish changes, and return how they spread."""
    async with AsyncExitStack() as stack:
        platform = MeteredPlatform(workspaces=WORKSPACES)
        await platform.async_start()
        stack.push_async_callback(platform.async_stop)
        hosts = _make_hosts()
        for host in hosts:
            stack.push_async_callback(host.async_stop)
        found = await asyncio.gather(*(host.async_start() for host in hosts))
        listed = StillList(instances=[instance for members in found for instance in members])
        origins = {
            "configuration": [f"http://{platform.configuration.address}"],
            "instances": [f"http://{await listed.async_start()}"],
        }
        stack.push_async_callback(listed.async_stop)
        spacing_ms = HOSTS * MS_PER_S / JOINS_S
        joins = [host.async_join(platform=origins, spacing_ms=spacing_ms) for host in hosts]
        await asyncio.gather(*joins)
        await asyncio.sleep(JOINED_S)
        return await _async_publish(platform, hosts, changes=changes, pause_s=pause_s)


async def _async_publish(
    platform: MeteredPlatform, hosts: list[MemberHost], *, changes: int, pause_s: float
) -> Spread:
    service = platform.configuration
    accepted_ms: dict[int, int] = {}
    began_s, before, waited_ms = time.monotonic(), _count(platform), service.watch_ms_total
    for number in range(changes):
        platform.publish_workspaces(WORKSPACES, changed=number + 1)
        accepted_ms[service.version] = time.time_ns() // 1_000_000
        await asyncio.sleep(pause_s)
    seconds = time.monotonic() - began_s
    waiting = (service.watch_ms_total - waited_ms) / MS_PER_S / seconds
    reads_s = (_count(platform) - before) / seconds
    in_outage = await _async_fail(platform, changes)
    events: Events = {}
    for host in hosts:
        events |= await host.async_read()
    return Spread(
        members=len(events),
        delays_s=measure_delays(events, accepted_ms, accepted_ms),
        outage_delays_s=measure_delays(events, in_outage, in_outage),
        reverted=count_reverted(events),
        reads_s=reads_s + waiting,
        waiting=waiting,
        rss_bytes=sum(read_usage(host.pid).rss_bytes for host in hosts),
    )


async def _async_fail(platform: MeteredPlatform, changes: int) -> dict[int, int]:
    """Publish a change, have the service fail a moment later, and return when that was."""
    service = platform.configuration
    platform.publish_workspaces(WORKSPACES, changed=changes + 1)
    accepted_ms = {service.version: time.time_ns() // 1_000_000}
    await asyncio.sleep(NEWS_LEAD_S)
    await service.async_set_outage(OutageKind.REFUSE)
    await asyncio.sleep(OUTAGE_S)
    await service.async_set_outage(OutageKind.NONE)
    return accepted_ms


def _make_hosts() -> list[MemberHost]:
    key = secrets.token_hex(KEY_BYTES)
    routers = _deal(Role.ROUTER, ROUTERS, ROUTER_HOSTS)
    sides = _deal(Role.SIDE, SIDES, HOSTS - ROUTER_HOSTS)
    return [
        MemberHost(role=role, places=places, key=key)
        for role, dealt in ((Role.ROUTER, routers), (Role.SIDE, sides))
        for places in dealt
    ]


def _deal(role: Role, count: int, hosts: int) -> list[list[Place]]:
    places = list_places(role, count, regions=REGIONS)
    return [places[start::hosts] for start in range(hosts)]


def _count(platform: MeteredPlatform) -> int:
    return platform.configuration.reads + platform.configuration.watches
