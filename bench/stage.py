"""A deployment of router and side processes for one policy that a bench compares."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import aiohttp
from msgspec import Struct
from msgspec.structs import replace

from bench.load import CallerContext
from bench.planned_chats import ChatRun, PlannedCaller, PlannedChat, async_run_chats
from bench.policies import BenchPolicy
from bench.rig import Rig
from bench.tally import Tally
from gypsumrouter.configuration.models import Pool
from gypsumrouter.instances import Address
from gypsumrouter.standins import Deployment, EngineSettings, StandinPlatform, chapin, kotlovnica
from gypsumrouter.standins.deployments import make_configuration
from gypsumrouter.util.clock import Clock, SystemClock

DEPLOYMENTS: Final = {"chapin": chapin, "kotlovnica": kotlovnica}
CONFIGURATION_VERSION: Final = 2
TIMEOUT_S: Final = 120.0


def get_deployment(name: str) -> Deployment:
    """Return a deployment without its plain services."""
    return replace(DEPLOYMENTS[name](), services=0)


class Stage(Struct, kw_only=True):
    """The running processes of one policy, and their callers."""

    deployment: Deployment
    rig: Rig
    platform: StandinPlatform
    clock: Clock
    session: aiohttp.ClientSession
    callers: list[Address]
    play: ChatRun
    tally: Tally
    tries: int

    def refresh_callers(self) -> None:
        """Update the routers that callers use to those that run now."""
        self.callers[:] = self.rig.list_callers()

    async def async_play(self, chats: tuple[PlannedChat, ...], *, seed: int, stream: bool) -> None:
        """Run all chats to their end, with times relative to now."""
        self.play.began_ms = self.clock.now_ms()
        context = CallerContext(
            session=self.session,
            routers=self.callers,
            tally=self.tally,
            clock=self.clock,
            tries=self.tries,
            timeout_s=TIMEOUT_S,
        )

        def make_caller(number: int, chat: PlannedChat) -> PlannedCaller:
            return PlannedCaller(
                context=context,
                run=self.play,
                chat=chat,
                model=self.deployment.model,
                seed=seed + number,
                stream=stream,
            )

        await async_run_chats(chats, make_caller=make_caller)


@asynccontextmanager
async def open_stage(
    *,
    deployment: Deployment,
    policy: BenchPolicy,
    engine: EngineSettings,
    routers: int,
    tries: int,
    pool: Pool | None = None,
) -> AsyncIterator[Stage]:
    """Run the processes of one policy while the context is open; kill them afterwards."""
    # Stand-ins log an error for each preempted request whose connection is closed.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    clock = SystemClock()
    platform = StandinPlatform(clock=clock, deployments=(deployment,), engine_settings=engine)
    await platform.async_start()
    configuration = make_configuration(deployment, version=CONFIGURATION_VERSION)
    if pool is not None:
        pools = tuple(pool if item.name == pool.name else item for item in configuration.pools)
        configuration = replace(configuration, pools=pools)
    platform.publish(policy.adapt(configuration))
    rig = Rig(platform=platform, placement=policy.placement)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        try:
            await rig.async_start(routers=routers)
            stage = Stage(
                deployment=deployment,
                rig=rig,
                platform=platform,
                clock=clock,
                session=session,
                callers=rig.list_callers(),
                play=ChatRun(began_ms=clock.now_ms(), sends_hint=policy.sends_hint),
                tally=Tally(),
                tries=tries,
            )
            yield stage
        finally:
            # Kill the processes: a graceful stop would first transfer prefixes.
            await asyncio.gather(*(item.async_kill() for item in rig.list_processes()))
            await rig.async_stop()
