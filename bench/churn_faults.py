"""Churn of a fleet: replaced instances and routers, and flapping instance list entries."""

from __future__ import annotations

import asyncio
import random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from bench.stage import Stage
from gypsumrouter.const import MS_PER_S

FLAP_EVERY_MS: Final = 3_000
FLAP_MS: Final = 800
INSTANCE_REPLACED_AT: Final = 0.2
ROUTER_REPLACED_AT: Final = 0.5
DRAIN_NOTICE_MS: Final = 300


class ChurnCounts(Struct, kw_only=True):
    """Numbers of replaced instances and routers, and of flaps."""

    instances: int = 0
    routers: int = 0
    flaps: int = 0


class Churn:
    """Replaces and flaps instances of one stage, in an order set by the seed."""

    def __init__(self, *, stage: Stage, renames: bool, seed: int) -> None:
        self._stage = stage
        self._renames = renames
        self._random = random.Random(seed)
        self._routers = len(stage.rig.routers)
        self._order = [plan.name for plan in stage.platform.plans]
        self._random.shuffle(self._order)
        self.counts = ChurnCounts()

    async def async_run(self, *, seconds: float, every_s: float) -> None:
        """Replace a side with its engine, and a router, once per `every_s`, with flaps between."""
        rounds = max(1, round(seconds / every_s))
        flaps = asyncio.create_task(self._async_flap(round(seconds * MS_PER_S)))
        for number in range(rounds):
            await asyncio.gather(
                self._async_replace_instance_in(self._order[number % len(self._order)], every_s),
                self._async_replace_router_in(every_s),
                self._stage.clock.async_sleep(round(every_s * MS_PER_S)),
            )
        flaps.cancel()
        await asyncio.gather(flaps, return_exceptions=True)

    async def async_replace_all_routers(self) -> None:
        """Start a new router for each running one, then stop the old ones gracefully."""
        await self._async_replace_routers(list(self._stage.rig.routers))

    async def _async_replace_instance_in(self, name: str, every_s: float) -> None:
        await self._stage.clock.async_sleep(round(INSTANCE_REPLACED_AT * every_s * MS_PER_S))
        platform, rig = self._stage.platform, self._stage.rig
        platform.instances.mark_leaving(name)
        await self._stage.clock.async_sleep(DRAIN_NOTICE_MS)
        await rig.sides.pop(name).async_stop()
        engine = platform.engines[name]
        engine.crash()
        platform.instances.remove(name)
        successor = self._rename(name) if self._renames else name
        await rig.async_start_side(successor)
        self.counts.instances += 1

    def _rename(self, name: str) -> str:
        platform = self._stage.platform
        successor = f"{name}-r{self.counts.instances + 1}"
        platform.plans = tuple(
            replace(plan, name=successor) if plan.name == name else plan for plan in platform.plans
        )
        platform.engines[successor] = platform.engines.pop(name)
        self._order = [successor if item == name else item for item in self._order]
        return successor

    async def _async_replace_router_in(self, every_s: float) -> None:
        await self._stage.clock.async_sleep(round(ROUTER_REPLACED_AT * every_s * MS_PER_S))
        await self._async_replace_routers(list(self._stage.rig.routers)[:1])

    async def _async_replace_routers(self, names: list[str]) -> None:
        rig = self._stage.rig
        old = {name: rig.routers[name] for name in names}
        for _ in names:
            process = await rig.async_start_router(self._routers)
            self._routers += 1
            while not await rig.async_is_ready(process):
                await self._stage.clock.async_sleep(20)
        for name in names:
            del rig.routers[name]
        self._stage.refresh_callers()
        for name, process in old.items():
            self._stage.platform.instances.remove(name)
            await process.async_stop()
        self.counts.routers += len(names)

    async def _async_flap(self, limit_ms: int) -> None:
        """Remove an instance from the list for a moment, repeatedly."""
        clock, instances = self._stage.clock, self._stage.platform.instances
        for _ in range(limit_ms // FLAP_EVERY_MS):
            await clock.async_sleep(FLAP_EVERY_MS - FLAP_MS)
            name = self._random.choice(sorted(self._stage.rig.sides))
            instance = instances.get(name)
            if instance is None:
                continue
            instances.remove(name)
            await clock.async_sleep(FLAP_MS)
            if name in self._stage.rig.sides:
                instances.set(instance)
            self.counts.flaps += 1
