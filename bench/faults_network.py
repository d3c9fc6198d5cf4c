"""Faults of links and upstreams.

Links are reset, refused, slowed, partitioned or go silent, which means that their connections stay
open but drop all data. Upstreams crash, freeze or go silent.
"""

from __future__ import annotations

import random
from typing import Final

from bench.faults_rig import Group
from bench.faults_stage import Stage
from gypsumrouter.standins import BOTH_DIRECTIONS, Direction, OutageKind

SIDES_PER_FAULT: Final = 5
CUTS: Final = 3
BETWEEN_CUTS_MS: Final = 500
SILENT_MS: Final = 4_000
PARTITION_MS: Final = (2_000, 5_000)
BRIEF_MS: Final = (1_000, 3_000)
SLOW_MS: Final = 120
RESTART_WAIT_MS: Final = 2_500


async def async_cut_links(stage: Stage, randomness: random.Random) -> None:
    """Reset the link connections of some sides a few times."""
    for _ in range(CUTS):
        for name in stage.choose_sides(randomness, SIDES_PER_FAULT):
            stage.rig.proxies[name].reset_connections()
        await stage.clock.async_sleep(BETWEEN_CUTS_MS)


async def async_refuse_links(stage: Stage, randomness: random.Random) -> None:
    """Reset the link connections of some sides and refuse new ones for a while."""
    proxies = [stage.rig.proxies[name] for name in stage.choose_sides(randomness, SIDES_PER_FAULT)]
    for proxy in proxies:
        proxy.refuse_connections()
        proxy.reset_connections()
    await stage.async_pause(randomness, *BRIEF_MS)
    for proxy in proxies:
        await proxy.async_accept_connections()


async def async_silence_links(stage: Stage, randomness: random.Random) -> None:
    """Drop all data on the open links of some sides, one way or both; new links work."""
    ways = randomness.choice(
        (BOTH_DIRECTIONS, frozenset({Direction.FORWARD}), frozenset({Direction.BACK}))
    )
    for name in stage.choose_sides(randomness, SIDES_PER_FAULT):
        stage.rig.proxies[name].blackhole(directions=ways)
    await stage.clock.async_sleep(SILENT_MS)


async def async_slow_links(stage: Stage, randomness: random.Random) -> None:
    """Delay all data on the links of some sides."""
    proxies = [stage.rig.proxies[name] for name in stage.choose_sides(randomness, SIDES_PER_FAULT)]
    for proxy in proxies:
        proxy.set_delay(SLOW_MS)
    await stage.async_pause(randomness, *BRIEF_MS)
    for proxy in proxies:
        proxy.set_delay(0)


async def async_partition(stage: Stage, randomness: random.Random) -> None:
    """Partition the two groups, while callers can reach both."""
    stage.rig.partition.block([Group.LEFT], [Group.RIGHT])
    try:
        await stage.async_pause(randomness, *PARTITION_MS)
    finally:
        stage.rig.partition.unblock([Group.LEFT], [Group.RIGHT])


async def async_partition_without_list(stage: Stage, randomness: random.Random) -> None:
    """Partition the groups, with the instance list of one of them not responding."""
    listing = stage.rig.platform.lists[randomness.choice(tuple(Group))]
    await listing.async_set_outage(OutageKind.HANG)
    try:
        await async_partition(stage, randomness)
    finally:
        await listing.async_set_outage(OutageKind.NONE)


async def async_crash_upstream(stage: Stage, randomness: random.Random) -> None:
    """Crash an upstream and wait for its restart."""
    with stage.reserve_side(randomness) as name:
        stage.crash_upstream(name)
        await stage.clock.async_sleep(RESTART_WAIT_MS)


async def async_freeze_upstream(stage: Stage, randomness: random.Random) -> None:
    """Freeze an upstream for a few seconds."""
    with stage.reserve_side(randomness) as name:
        upstream = stage.rig.get_upstream(name)
        upstream.freeze()
        await stage.async_pause(randomness, *BRIEF_MS)
        upstream.thaw()


async def async_silence_upstream(stage: Stage, randomness: random.Random) -> None:
    """Drop all data on the open connections to some upstreams; new connections work."""
    for name in stage.choose_sides(randomness, SIDES_PER_FAULT):
        stage.rig.upstream_proxies[name].blackhole()
    await stage.clock.async_sleep(SILENT_MS)
