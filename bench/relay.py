"""Benchmark of token relaying: processor time of a router and a side, added first-token latency.

The same callers send requests directly to the engines first, then through a router. Every engine,
side, router and group of callers is a separate process.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
from contextlib import AsyncExitStack
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from bench.client_host import ClientPlan, ClientResult, async_run_clients
from bench.engine_host import start_engine
from bench.processes import DaemonProcess
from bench.report import print_machine, print_result, print_table
from bench.rig import Rig
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.const import MS_PER_S, UpstreamKind
from gypsumrouter.instances import Address
from gypsumrouter.standins import EngineSettings, StandinPlatform, kotlovnica
from gypsumrouter.standins.deployments import make_configuration
from gypsumrouter.standins.platform import SidePlan
from gypsumrouter.util.clock import SystemClock

TARGET_ROUTER_TOKENS_S: Final = 13_333
TOKEN_GAP_MS: Final = 28
ENGINES: Final = 4
CLIENTS: Final = 4
SLOTS: Final = 256


class Phase(Struct, frozen=True, kw_only=True):
    """Results of one run of the callers."""

    result: ClientResult
    seconds: float
    router_cpu_s: float = 0.0
    side_cpu_s: float = 0.0

    @property
    def tokens_s(self) -> float:
        """Return the tokens per second that the callers received."""
        return self.result.tokens / self.seconds

    def first_ms(self, quantile: int) -> float:
        """Return a percentile of the first-token latency in ms."""
        return get_percentile(self.result.first_ms, quantile)

    def gap_ms(self, quantile: int) -> float:
        """Return a percentile of the time between chunks in ms."""
        return get_percentile(self.result.gap_ms, quantile)


def get_percentile(values: list[float], percent: int) -> float:
    """Return a percentile of the values, or 0 if there are none."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="bench relay")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--share", type=float, default=0.5, help="fraction of the target load")
    options = parser.parse_args(argv)
    print_machine()
    return asyncio.run(async_measure(seconds=options.seconds, share=options.share))


async def async_measure(*, seconds: float, share: float) -> int:
    """Measure direct and routed requests and print the results."""
    deployment = replace(kotlovnica(), engines=0, services=0)
    settings = EngineSettings(
        slots=SLOTS,
        step_ms=float(TOKEN_GAP_MS),
        step_ms_per_sequence=0.0,
        models=(deployment.model,),
    )
    streams = round(TARGET_ROUTER_TOKENS_S * share * TOKEN_GAP_MS / MS_PER_S)
    plan = ClientPlan(
        origins=(),
        key=deployment.workspaces[0].key,
        model=deployment.model,
        streams=streams // CLIENTS,
        tokens=220,
        warm_s=4.0,
        measure_s=seconds,
    )
    async with AsyncExitStack() as stack:
        engines = [await stack.enter_async_context(start_engine(settings)) for _ in range(ENGINES)]
        direct = await async_run_phase(replace(plan, origins=tuple(f"http://{a}" for a in engines)))
        platform = StandinPlatform(clock=SystemClock(), deployments=(deployment,))
        await platform.async_start()
        platform.publish(raise_pool_limits(make_configuration(deployment, version=2)))
        platform.plans = tuple(
            make_side_plan(index, address) for index, address in enumerate(engines)
        )
        rig = Rig(platform=platform)
        stack.push_async_callback(rig.async_stop)
        await rig.async_start(routers=1)
        routed = await async_run_phase(
            replace(plan, origins=tuple(f"http://{a}" for a in rig.list_callers())),
            routers=list(rig.routers.values()),
            sides=list(rig.sides.values()),
        )
    report(direct, routed)
    return 0


def make_side_plan(index: int, address: Address) -> SidePlan:
    """Return the plan of the side of an engine."""
    deployment = kotlovnica()
    return SidePlan(
        name=f"{deployment.engine_pool}-{index + 1}",
        pool=deployment.engine_pool,
        kind=UpstreamKind.ENGINE,
        data_centre=deployment.get_data_centre(index),
        region=deployment.region,
        upstream=address,
    )


def raise_pool_limits(configuration: Configuration) -> Configuration:
    """Return the configuration with pool limits that this load does not reach."""
    pools = tuple(replace(pool, slots=SLOTS, floor=SLOTS) for pool in configuration.pools)
    return replace(configuration, pools=pools)


async def async_run_phase(
    plan: ClientPlan,
    *,
    routers: list[DaemonProcess] | None = None,
    sides: list[DaemonProcess] | None = None,
) -> Phase:
    """Run the callers and measure the processor time of the processes after the warm-up."""
    clients = [
        asyncio.create_task(async_run_clients(replace(plan, seed=number)))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(plan.warm_s)
    before = (sum_cpu_s(routers), sum_cpu_s(sides))
    await asyncio.sleep(plan.measure_s)
    after = (sum_cpu_s(routers), sum_cpu_s(sides))
    results = await asyncio.gather(*clients)
    merged = ClientResult(
        tokens=sum(result.tokens for result in results),
        whole=sum(result.whole for result in results),
        broken=sum(result.broken for result in results),
        first_ms=[value for result in results for value in result.first_ms],
        gap_ms=[value for result in results for value in result.gap_ms],
    )
    return Phase(
        result=merged,
        seconds=plan.measure_s,
        router_cpu_s=after[0] - before[0],
        side_cpu_s=after[1] - before[1],
    )


def sum_cpu_s(processes: list[DaemonProcess] | None) -> float:
    """Return the processor seconds used by processes so far."""
    return sum(process.read_usage().cpu_s for process in processes or ())


def report(direct: Phase, routed: Phase) -> None:
    """Print the tables and the JSON result."""
    print_table(
        title=f"relay, {ENGINES} engines, one router; measured by callers",
        columns=("path", "tokens/s", "whole", "broken", "first p50", "first p95", "gap p95 ms"),
        rows=[
            [
                name,
                phase.tokens_s,
                phase.result.whole,
                phase.result.broken,
                phase.first_ms(50),
                phase.first_ms(95),
                phase.gap_ms(95),
            ]
            for name, phase in (("direct", direct), ("routed", routed))
        ],
    )
    router_rate = routed.result.tokens / max(routed.router_cpu_s, 1e-9)
    side_rate = routed.result.tokens / max(routed.side_cpu_s, 1e-9)
    print_table(
        title="processor time",
        columns=("role", "core share of one", "us/token", "tokens per core and s"),
        rows=[
            [
                "router",
                routed.router_cpu_s / routed.seconds,
                1e6 / router_rate,
                router_rate,
            ],
            ["side", routed.side_cpu_s / routed.seconds / ENGINES, 1e6 / side_rate, side_rate],
        ],
    )
    print_result(
        {
            "router_tokens_per_core_s": round(router_rate),
            "side_tokens_per_core_s": round(side_rate),
            "added_first_token_ms_p50": round(routed.first_ms(50) - direct.first_ms(50), 2),
            "added_first_token_ms_p95": round(routed.first_ms(95) - direct.first_ms(95), 2),
            "direct_ratio": round(routed.tokens_s / max(direct.tokens_s, 1e-9), 4),
            "tokens_s": round(routed.tokens_s),
            "gap_ms_p95": round(routed.gap_ms(95), 2),
            "broken": routed.result.broken + direct.result.broken,
        }
    )
