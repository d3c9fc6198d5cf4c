"""Faults of the platform: its list and its configuration down, late, stale or flapping."""

from __future__ import annotations

import random
from typing import Final

from bench.faults_rig import Group
from bench.faults_stage import Stage
from gypsumrouter.standins import OutageKind

OUTAGES: Final = (OutageKind.ERROR, OutageKind.HANG, OutageKind.REFUSE)
OUTAGE_MS: Final = (2_000, 5_000)
LAG_MS: Final = (500, 2_500)
LAGGING_MS: Final = 4_000
STALE_BY_MS: Final = (2_000, 15_000)
FLAPS: Final = 4
BETWEEN_FLAPS_MS: Final = 400
VERSIONS: Final = 3
BETWEEN_VERSIONS_MS: Final = 700
STALE_BY_VERSIONS: Final = 2


async def async_fail_list(stage: Stage, randomness: random.Random) -> None:
    """Let the instance list be down for everyone."""
    kind = randomness.choice(OUTAGES)
    lists = stage.rig.platform.lists.values()
    for service in lists:
        await service.async_set_outage(kind)
    try:
        await stage.async_pause(randomness, *OUTAGE_MS)
    finally:
        for service in lists:
            await service.async_set_outage(OutageKind.NONE)


async def async_serve_stale_list(stage: Stage, randomness: random.Random) -> None:
    """Let one group read, every other time or always, what the list said some time ago."""
    service = stage.rig.platform.lists[randomness.choice(tuple(Group))]
    at_ms = stage.clock.wall_ms() - randomness.randint(*STALE_BY_MS)
    service.serve_stale(at_ms, share=randomness.choice((0.5, 1.0)))
    await stage.async_pause(randomness, *OUTAGE_MS)
    service.serve_stale(None)


async def async_lag_list(stage: Stage, randomness: random.Random) -> None:
    """Let one group see the list late, so that routers disagree about the instances."""
    service = stage.rig.platform.lists[randomness.choice(tuple(Group))]
    service.set_lag(randomness.randint(*LAG_MS))
    await stage.clock.async_sleep(LAGGING_MS)
    service.set_lag(0)


async def async_flap_listing(stage: Stage, randomness: random.Random) -> None:
    """Take a running side off the list and put it back, again and again."""
    with stage.reserve_side(randomness) as name:
        for _ in range(FLAPS):
            stage.rig.platform.remove_listed(name)
            await stage.clock.async_sleep(BETWEEN_FLAPS_MS)
            stage.rig.relist(name)
            await stage.clock.async_sleep(BETWEEN_FLAPS_MS)


async def async_fail_configuration(stage: Stage, randomness: random.Random) -> None:
    """Let the configuration service be down, and publish a version meanwhile."""
    service = stage.rig.platform.configuration
    await service.async_set_outage(randomness.choice(OUTAGES))
    try:
        await stage.async_pause(randomness, *OUTAGE_MS)
        stage.publish()
    finally:
        await service.async_set_outage(OutageKind.NONE)


async def async_serve_stale_configuration(stage: Stage, randomness: random.Random) -> None:
    """Publish, and answer every other read with an older version."""
    service = stage.rig.platform.configuration
    stage.publish()
    service.serve_stale(max(1, stage.version - STALE_BY_VERSIONS), share=0.5)
    await stage.async_pause(randomness, *OUTAGE_MS)
    service.serve_stale(None)


async def async_publish(stage: Stage, _randomness: random.Random) -> None:
    """Publish some versions one after the other."""
    for _ in range(VERSIONS):
        stage.publish()
        await stage.clock.async_sleep(BETWEEN_VERSIONS_MS)
