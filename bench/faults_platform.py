"""Faults of the instance list and the configuration service: outages, lag and stale reads."""

from __future__ import annotations

import random
from typing import Final

from bench.faults_rig import Group
from bench.faults_stage import Stage
from gypsumrouter.standins import OutageKind

OUTAGES: Final = (OutageKind.ERROR, OutageKind.HANG, OutageKind.REFUSE)
OUTAGE_MS: Final = (2_000, 5_000)
LAG_MS: Final = (500, 2_500)
LAG_DURATION_MS: Final = 4_000
STALE_BY_MS: Final = (2_000, 15_000)
FLAPS: Final = 4
BETWEEN_FLAPS_MS: Final = 400
VERSIONS: Final = 3
BETWEEN_VERSIONS_MS: Final = 700
STALE_BY_VERSIONS: Final = 2


async def async_fail_list(stage: Stage, randomness: random.Random) -> None:
    """Make the instance list unavailable in both groups."""
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
    """Serve an old state of the instance list to one group, on half or all of its reads."""
    service = stage.rig.platform.lists[randomness.choice(tuple(Group))]
    at_ms = stage.clock.wall_ms() - randomness.randint(*STALE_BY_MS)
    service.serve_stale(at_ms, share=randomness.choice((0.5, 1.0)))
    await stage.async_pause(randomness, *OUTAGE_MS)
    service.serve_stale(None)


async def async_lag_list(stage: Stage, randomness: random.Random) -> None:
    """Delay instance list changes for one group, so that routers disagree on instances."""
    service = stage.rig.platform.lists[randomness.choice(tuple(Group))]
    service.set_lag(randomness.randint(*LAG_MS))
    await stage.clock.async_sleep(LAG_DURATION_MS)
    service.set_lag(0)


async def async_flap_listing(stage: Stage, randomness: random.Random) -> None:
    """Remove a running side from the instance list and add it again, repeatedly."""
    with stage.reserve_side(randomness) as name:
        for _ in range(FLAPS):
            stage.rig.platform.remove_listed(name)
            await stage.clock.async_sleep(BETWEEN_FLAPS_MS)
            stage.rig.relist(name)
            await stage.clock.async_sleep(BETWEEN_FLAPS_MS)


async def async_fail_configuration(stage: Stage, randomness: random.Random) -> None:
    """Make the configuration service unavailable and publish a version during the outage."""
    service = stage.rig.platform.configuration
    await service.async_set_outage(randomness.choice(OUTAGES))
    try:
        await stage.async_pause(randomness, *OUTAGE_MS)
        stage.publish()
    finally:
        await service.async_set_outage(OutageKind.NONE)


async def async_serve_stale_configuration(stage: Stage, randomness: random.Random) -> None:
    """Publish a version, and answer half of the reads with an older one."""
    service = stage.rig.platform.configuration
    stage.publish()
    service.serve_stale(max(1, stage.version - STALE_BY_VERSIONS), share=0.5)
    await stage.async_pause(randomness, *OUTAGE_MS)
    service.serve_stale(None)


async def async_publish(stage: Stage, _randomness: random.Random) -> None:
    """Publish several configuration versions in sequence."""
    for _ in range(VERSIONS):
        stage.publish()
        await stage.clock.async_sleep(BETWEEN_VERSIONS_MS)
