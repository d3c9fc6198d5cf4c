"""Benchmark of configuration changes: time until in force in every process, and their cost."""

from __future__ import annotations

import argparse
import asyncio
import signal
import time
from contextlib import AsyncExitStack
from typing import Final

from msgspec import Struct, field

from bench.config_fleet import ChangeCost, ConfigFleet, async_start_fleet
from bench.in_force import Events, count_rollbacks, get_in_force_ms, get_median, measure_delays
from bench.members import Propagation, async_measure_propagation
from bench.report import Value, print_machine, print_result, print_table
from bench.target_scale import PROCESSES
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.standins import OutageKind

OUTAGE_DELAY_S: Final = 0.25
OUTAGE_S: Final = 6.0
SUSPEND_S: Final = 6.0
STALE_SHARE: Final = 0.5
CHANGE_INTERVAL_S: Final = 1.5
MEMBER_CHANGES: Final = 6
MEMBER_CHANGE_INTERVAL_S: Final = 3.0
NOT_MEASURED: Final = -1.0


class RunResult(Struct, kw_only=True):
    """Results of a run with real processes.

    `normal`, `outage` and `stale` list the versions published in each phase.
    """

    normal: list[int] = field(default_factory=list)
    outage: list[int] = field(default_factory=list)
    stale: list[int] = field(default_factory=list)
    change_cost: ChangeCost = field(default_factory=ChangeCost)
    idle_lags: dict[Role, dict[str, float]] = field(default_factory=dict)
    lags: dict[Role, dict[str, float]] = field(default_factory=dict)
    resumed_s: float = NOT_MEASURED
    start_normal_s: float = NOT_MEASURED
    start_outage_s: float = NOT_MEASURED


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="bench config")
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--sides", type=int, default=21)
    parser.add_argument("--changes", type=int, default=8)
    parser.add_argument(
        "--no-members", action="store_true", help="skip the run with 1,260 lightweight processes"
    )
    options = parser.parse_args(argv)
    print_machine()
    return asyncio.run(async_run(options))


async def async_run(options: argparse.Namespace) -> int:
    """Run all measurements and print the results."""
    async with AsyncExitStack() as stack:
        fleet = await async_start_fleet(
            stack, routers=options.routers, sides=options.sides, spare_sides=2
        )
        result = await async_run_phases(fleet, changes=options.changes)
        events = fleet.read_events()
        accepted_ms = fleet.accepted_ms
    propagation = None
    if not options.no_members:
        propagation = await async_measure_propagation(
            changes=MEMBER_CHANGES, interval_s=MEMBER_CHANGE_INTERVAL_S
        )
    report(result, events, accepted_ms, propagation)
    return 0


async def async_run_phases(fleet: ConfigFleet, *, changes: int) -> RunResult:
    """Run all phases."""
    result = RunResult()
    await fleet.async_pop_lags()
    await asyncio.sleep(2.0)
    result.idle_lags = await fleet.async_pop_lags()
    before = fleet.platform.configuration.version
    result.change_cost = await fleet.async_measure_changes(
        changes=changes, interval_s=CHANGE_INTERVAL_S
    )
    result.normal = list(range(before + 1, fleet.platform.configuration.version + 1))
    result.lags = await fleet.async_pop_lags()
    await fleet.async_start_spare_side()
    result.start_normal_s = fleet.start_times_s[-1]
    await async_run_outage(fleet, result)
    await async_run_stale_reads(fleet, result)
    result.resumed_s = await async_run_suspension(fleet)
    return result


async def async_run_outage(fleet: ConfigFleet, result: RunResult) -> None:
    """Make the configuration service fail during a change, and publish another one meanwhile."""
    service = fleet.platform.configuration
    result.outage.append(fleet.publish())
    await asyncio.sleep(OUTAGE_DELAY_S)
    await service.async_set_outage(OutageKind.REFUSE)
    await fleet.async_start_spare_side()
    result.start_outage_s = fleet.start_times_s[-1]
    await asyncio.sleep(OUTAGE_S)
    version = fleet.publish()
    result.outage.append(version)
    await asyncio.sleep(1.0)
    await service.async_set_outage(OutageKind.NONE)
    # No process could read the version during the outage.
    fleet.accepted_ms[version] = time.time_ns() // 1_000_000
    await fleet.async_wait_in_force(version)


async def async_run_stale_reads(fleet: ConfigFleet, result: RunResult) -> None:
    """Publish changes while half of the reads are answered by a stale replica."""
    service = fleet.platform.configuration
    service.serve_stale(service.version, share=STALE_SHARE)
    for _ in range(3):
        result.stale.append(fleet.publish())
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await fleet.async_wait_in_force(result.stale[-1])
    service.serve_stale(None)


async def async_run_suspension(fleet: ConfigFleet) -> float:
    """Suspend a process during a change; return the seconds from resuming it until in force."""
    process = next(iter(fleet.rig.sides.values()))
    process.send_signal(signal.SIGSTOP)
    version = fleet.publish()
    await asyncio.sleep(SUSPEND_S)
    resumed_ms = time.time_ns() // 1_000_000
    process.send_signal(signal.SIGCONT)
    await fleet.async_wait_in_force(version)
    return (get_in_force_ms(fleet.read_events()[process.name], version) - resumed_ms) / MS_PER_S


def report(
    result: RunResult, events: Events, accepted_ms: dict[int, int], propagation: Propagation | None
) -> None:
    """Print the tables and the JSON result."""
    versions_by_phase = {
        "normal": result.normal,
        "outage": result.outage,
        "stale answers": result.stale,
    }
    delays = {
        name: measure_delays(
            _select_started_before(events, accepted_ms, versions), accepted_ms, versions
        )
        for name, versions in versions_by_phase.items()
    }
    if propagation is not None:
        delays[f"{propagation.members} lightweight processes"] = propagation.delays_s
        delays[f"{propagation.members} lightweight, outage"] = propagation.outage_delays_s
    print_table(
        title=f"seconds from acceptance until in force; {len(events)} real processes",
        columns=("part", "values", "p50", "max"),
        rows=[
            (name, len(values), get_median(values), max(values)) for name, values in delays.items()
        ],
    )
    _print_costs(result)
    print_result(_make_figures(result, events, delays, propagation))


def _select_started_before(
    events: Events, accepted_ms: dict[int, int], versions: list[int]
) -> Events:
    """Return the processes that were running when the first of the versions was accepted."""
    began_ms = accepted_ms[versions[0]]
    return {
        name: in_force
        for name, in_force in events.items()
        if in_force and in_force[0][1] <= began_ms
    }


def _print_costs(result: RunResult) -> None:
    cost = result.change_cost
    print_table(
        title="one change of one workspace out of 9,500",
        columns=("process", "bytes", "processor ms"),
        rows=[
            (f"watchers ({cost.watchers})", cost.watcher_bytes, cost.watcher_cpu_s * MS_PER_S),
            ("others", cost.other_bytes, cost.other_cpu_s * MS_PER_S),
        ],
    )
    print_table(
        title="longest delay of the event loop, ms",
        columns=("role", "idle, clock", "idle, processor", "changes, clock", "changes, processor"),
        rows=[
            (
                role,
                result.idle_lags[role]["wall_ms"],
                result.idle_lags[role]["cpu_ms"],
                lags["wall_ms"],
                lags["cpu_ms"],
            )
            for role, lags in result.lags.items()
        ],
    )


def _make_figures(
    result: RunResult,
    events: Events,
    delays: dict[str, list[float]],
    propagation: Propagation | None,
) -> dict[str, Value]:
    cost = result.change_cost
    every = [value for values in delays.values() for value in values]
    reverted = count_rollbacks(events) + (propagation.reverted if propagation else 0)
    return {
        "in_force_s_p50": round(get_median(delays["normal"]), 3),
        "in_force_s_max": round(max(every), 3),
        "in_force_s_max_normal": round(max(delays["normal"]), 3),
        "in_force_s_max_outage": round(max(delays["outage"]), 3),
        "in_force_s_max_stale": round(max(delays["stale answers"]), 3),
        "in_force_s_max_at_1260": round(max(propagation.delays_s), 3) if propagation else None,
        "in_force_s_max_outage_at_1260": (
            round(max(propagation.outage_delays_s), 3) if propagation else None
        ),
        "in_force_s_p50_at_1260": (
            round(get_median(propagation.delays_s), 3) if propagation else None
        ),
        "reverted": reverted,
        "reads_s_at_1260": round(propagation.reads_s, 1) if propagation else None,
        "members": propagation.members if propagation else None,
        "bytes_per_change_at_9500_workspaces": round(cost.other_bytes),
        "watcher_bytes_per_change": round(cost.watcher_bytes),
        "loop_pause_ms_max": round(max(p["wall_ms"] for p in result.lags.values()), 1),
        "loop_pause_cpu_ms_max": round(max(p["cpu_ms"] for p in result.lags.values()), 1),
        "start_to_serving_s_max": round(max(result.start_normal_s, result.start_outage_s), 2),
        "start_to_serving_s_normal": round(result.start_normal_s, 2),
        "start_to_serving_s_outage": round(result.start_outage_s, 2),
        "woken_in_force_s": round(result.resumed_s, 2),
        "processes": len(events),
        "two_year_processes": PROCESSES,
    }
