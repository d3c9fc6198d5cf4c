"""Control traffic of small fleets of real processes, at the target load per pair of processes."""

from __future__ import annotations

import asyncio
import secrets
from contextlib import AsyncExitStack
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from bench.client_host import ClientPlan, async_run_clients
from bench.ledger import (
    KIND_CONFIGURATION,
    KIND_INSTANCES,
    AverageUsage,
    async_measure_since,
    async_take_snapshot,
)
from bench.metered_platform import MeteredPlatform
from bench.paced_engine import PacedEngine
from bench.rig import Rig
from bench.target_scale import FEW_WORKSPACES, STREAMS_PER_PAIR
from gypsumrouter.const import Role

TOKENS: Final = 24
WARM_UP_S: Final = 7.5


class GridPoint(Struct, frozen=True, kw_only=True):
    """Resource use of a router and a side in a fleet with `size` of each."""

    size: int
    load_factor: float
    router: AverageUsage
    side: AverageUsage
    requests_s: float
    failed: int


async def async_measure_point(*, size: int, seconds: float, load_factor: float = 1.0) -> GridPoint:
    """Run a fleet and measure it; `load_factor` is a multiple of the target load per pair."""
    async with AsyncExitStack() as stack:
        platform = MeteredPlatform(workspaces=FEW_WORKSPACES)
        await platform.async_start()
        rig = Rig(platform=platform)
        stack.push_async_callback(rig.async_stop)
        engine = PacedEngine(model=platform.deployment.model)
        address = await engine.async_start()
        stack.push_async_callback(engine.async_stop)
        platform.plan_sides(count=size, upstream=address)
        await rig.async_start(routers=size)
        plan = ClientPlan(
            origins=tuple(f"http://{address}" for address in rig.list_callers()),
            key=platform.deployment.workspaces[0].key,
            model=platform.deployment.model,
            streams=round(size * size * STREAMS_PER_PAIR * load_factor),
            tokens=TOKENS,
            warm_s=WARM_UP_S,
            measure_s=seconds,
            seed=secrets.randbits(16),
        )
        return await _async_measure(rig, platform, plan, size=size, load_factor=load_factor)


async def _async_measure(
    rig: Rig, platform: MeteredPlatform, plan: ClientPlan, *, size: int, load_factor: float
) -> GridPoint:
    clients = asyncio.create_task(async_run_clients(plan))
    await asyncio.sleep(plan.warm_s)
    processes_by_role = {
        Role.ROUTER: list(rig.routers.values()),
        Role.SIDE: list(rig.sides.values()),
    }
    begins = {
        role: await async_take_snapshot(rig, group) for role, group in processes_by_role.items()
    }
    bytes_before = {role: platform.count_bytes(role) for role in processes_by_role}
    await asyncio.sleep(plan.measure_s)
    spent: dict[Role, AverageUsage] = {}
    for role, group in processes_by_role.items():
        measured = await async_measure_since(rig, group, begins[role])
        exchanged = platform.count_bytes(role) - bytes_before[role]
        share = 1 / measured.seconds / len(group)
        rates = measured.rates | {
            KIND_CONFIGURATION: exchanged.configuration * share,
            KIND_INSTANCES: exchanged.instances * share,
        }
        spent[role] = replace(measured, rates=rates)
    result = await clients
    return GridPoint(
        size=size,
        load_factor=load_factor,
        router=spent[Role.ROUTER],
        side=spent[Role.SIDE],
        requests_s=len(result.first_ms) / plan.measure_s,
        failed=result.broken,
    )
