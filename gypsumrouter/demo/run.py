"""One run of the demo: starts the fleet, runs the workloads and prints the report."""

from __future__ import annotations

import asyncio
import json

import aiohttp
from msgspec import Struct

from bench.load import CallerContext
from bench.tally import Tally
from gypsumrouter.configuration.models import DEFAULT_FLOOR
from gypsumrouter.const import HEADER_CHAT, MS_PER_S, PATH_CHAT
from gypsumrouter.demo.local_fleet import LocalFleet
from gypsumrouter.demo.measure import SkewSampler, sum_control_bytes
from gypsumrouter.demo.plan import (
    EXTRA_SETTINGS,
    FIRST_SEED,
    MAX_DURATION_MS,
    PROGRESS_MS,
    ROUTERS,
    SEEDS_PER_DEPLOYMENT,
)
from gypsumrouter.demo.report import (
    print_control_traffic,
    print_deployment,
    print_outcome,
    print_progress,
)
from gypsumrouter.demo.silences import async_draw_silences
from gypsumrouter.demo.workload import async_run_workload
from gypsumrouter.helpers.process_signals import STOP_SIGNALS
from gypsumrouter.standins import Deployment, StandinPlatform, chapin, kotlovnica
from gypsumrouter.util.clock import Clock, SystemClock


class DeploymentRun(Struct, frozen=True, kw_only=True):
    """The workload of one deployment with its tally and its load skew."""

    deployment: Deployment
    tally: Tally
    sampler: SkewSampler


async def async_run_demo(*, stay: bool) -> bool:
    """Run the demo and return whether it passed; its totals are the last line.

    With `stay` no workload is run, and the fleet stays up until SIGINT or SIGTERM.
    """
    clock = SystemClock()
    platform = StandinPlatform(clock=clock, deployments=(kotlovnica(), chapin()))
    fleet = LocalFleet(platform=platform, clock=clock, extra=EXTRA_SETTINGS)
    try:
        print("Starting the fleet on loopback", flush=True)
        await fleet.async_start(routers=ROUTERS)
        print(f"{len(fleet.routers)} routers, {len(fleet.sides)} sides with stand-ins", flush=True)
        if stay:
            print_curl(fleet)
            await _async_wait_for_signal()
            return True
        tallies = await async_run_workloads(fleet, clock)
    finally:
        await fleet.async_stop()
    # Processes that stop may still log something.
    return print_outcome(tallies, repeated_executions=platform.count_repeated_calls())


async def async_run_workloads(fleet: LocalFleet, clock: Clock) -> list[Tally]:
    """Run the workloads of all deployments, print the figures and return the tallies."""
    runs = [_make_run(fleet, item) for item in fleet.platform.deployments]
    began_ms = clock.now_ms()
    tasks = [asyncio.create_task(run.sampler.async_run(clock)) for run in runs]
    tasks.append(asyncio.create_task(_async_print_progress(runs, clock)))
    upstreams = (tuple(fleet.platform.engines.values()), tuple(fleet.platform.services.values()))
    silences = async_draw_silences(kinds=upstreams, clock=clock, seed=FIRST_SEED)
    tasks.append(asyncio.create_task(silences))
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await asyncio.gather(
            *(
                async_run_workload(
                    deployment=run.deployment,
                    context=_make_context(session, fleet, run, clock),
                    seed=FIRST_SEED + number * SEEDS_PER_DEPLOYMENT,
                    until_ms=began_ms + MAX_DURATION_MS,
                )
                for number, run in enumerate(runs)
            )
        )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    _print_figures(fleet, runs, (clock.now_ms() - began_ms) / MS_PER_S)
    return [run.tally for run in runs]


def print_curl(fleet: LocalFleet) -> None:
    """Print a curl command that sends a chat request to the first router."""
    deployment = fleet.platform.deployments[0]
    body = {
        "model": deployment.model,
        "messages": [{"role": "user", "content": "May vessel 7 be closed again?"}],
        "stream": True,
    }
    print(
        f"curl -N http://{fleet.list_caller_addresses()[0]}{PATH_CHAT}"
        f" -H 'Authorization: Bearer {deployment.workspaces[0].key}'"
        f" -H 'Content-Type: application/json' -H '{HEADER_CHAT}: vessel-7'"
        f" -d '{json.dumps(body)}'",
        flush=True,
    )


async def _async_wait_for_signal() -> None:
    stopped = asyncio.Event()
    for number in STOP_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()


def _make_run(fleet: LocalFleet, deployment: Deployment) -> DeploymentRun:
    engines = tuple(
        fleet.platform.engines[plan.name]
        for plan in fleet.platform.plans
        if plan.pool == deployment.engine_pool
    )
    return DeploymentRun(
        deployment=deployment,
        tally=Tally(),
        sampler=SkewSampler(engines=engines, floor=DEFAULT_FLOOR),
    )


def _make_context(
    session: aiohttp.ClientSession, fleet: LocalFleet, run: DeploymentRun, clock: Clock
) -> CallerContext:
    return CallerContext(
        session=session, routers=fleet.list_caller_addresses(), tally=run.tally, clock=clock
    )


async def _async_print_progress(runs: list[DeploymentRun], clock: Clock) -> None:
    began_ms = clock.now_ms()
    while True:
        await clock.async_sleep(PROGRESS_MS)
        tallies = [run.tally for run in runs]
        print_progress(tallies, elapsed_ms=clock.now_ms() - began_ms)


def _print_figures(fleet: LocalFleet, runs: list[DeploymentRun], elapsed_s: float) -> None:
    for run in runs:
        print_deployment(run.deployment.name, run.tally, run.sampler)
    routers, sides = list(fleet.routers.values()), list(fleet.sides.values())
    print_control_traffic(
        router_bytes_s=sum_control_bytes(routers) / len(routers) / elapsed_s,
        side_bytes_s=sum_control_bytes(sides) / len(sides) / elapsed_s,
    )
