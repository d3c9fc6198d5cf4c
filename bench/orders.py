"""Benchmark of model orders to engines: a surge, a version change, lost engines, late orders.

Real routers and sides run in front of stand-in engines that share three models, with a rate-limited
weight store. A late order is one that an engine receives after one with a higher fencing number.
Intervals are shortened, so that a run takes less than two minutes.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
from collections.abc import Mapping
from typing import Any, Final

import uvloop
from msgspec import Struct

from bench.orders_load import Traffic, open_traffic
from bench.orders_stage import (
    LEASE_MS,
    MIN_ENGINES,
    STORE_PER_S,
    OrdersStage,
    open_orders_stage,
)
from bench.processes import DaemonProcess
from bench.report import Value, print_machine, print_result, print_table
from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins import WeightStore
from gypsumrouter.standins.orders import OrderState
from gypsumrouter.util.clock import SystemClock

STEADY_RATE: Final = 2.0
SURGE_RATE: Final = 9.0
RATE_WINDOW_MS: Final = 5_000
LATE_ROUNDS: Final = 1
LATE_RATE: Final = 6.0
FIRST_LATE_VERSION: Final = 11
LOST_DIVISOR: Final = 3
COLUMNS: Final = (
    "event",
    "holders before",
    "after",
    "loads",
    "least",
    "took s",
    "target met",
    "requests",
    "not run",
    "lost",
    "tries refused",
)


class Phase(Struct, kw_only=True):
    """Results of one event: model loads, their minimum, duration, and request outcomes."""

    name: str
    loads: int
    min_loads: int
    took_s: float
    before: dict[str, int]
    after: dict[str, int]
    traffic: Traffic


class UncheckedResult(Struct, kw_only=True):
    """Applied late orders by fencing check, and weight stores by source of the loads."""

    late: dict[str, int]
    stores: dict[str, WeightStore]


class RunResult(UncheckedResult, kw_only=True):
    """All results of a run."""

    steady: Traffic
    steady_loads: int
    phases: list[Phase]


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="bench orders")
    parser.add_argument("--quiet-s", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=5)
    options = parser.parse_args(argv)
    print_machine()
    return uvloop.run(async_measure(options))


async def async_measure(options: argparse.Namespace) -> int:
    """Run all events and print the results.

    A second fleet, whose engines neither check fencing numbers nor serve weights to other engines,
    runs concurrently.
    """
    run, unchecked = await asyncio.gather(
        async_run_events(options), async_run_unchecked(options.seed)
    )
    run.late |= unchecked.late
    run.stores |= unchecked.stores
    report(run)
    return 0


async def async_run_events(options: argparse.Namespace) -> RunResult:
    """Run all events with engines that check fencing numbers."""
    async with open_orders_stage(checks_fence=True, gives_weights=True) as stage:
        await stage.async_wait_settled()
        loads_before = stage.count_loads()
        steady = await async_run_steady(stage, options)
        steady_loads = stage.count_loads() - loads_before
        phases = [
            await async_surge(stage, options.seed),
            await async_change_version(stage, options.seed),
        ]
        late = {"checking": await async_provoke_late_orders(stage, seed=options.seed)}
        phases.append(await async_stop_third(stage, options.seed))
        return RunResult(
            steady=steady,
            steady_loads=steady_loads,
            phases=phases,
            late=late,
            stores={"neighbours": stage.platform.weight_store},
        )


async def async_run_unchecked(seed: int) -> UncheckedResult:
    """Provoke late orders with engines that load from the store and check no fencing number."""
    async with open_orders_stage(checks_fence=False, gives_weights=False) as stage:
        await stage.async_wait_settled()
        late = {"not_checking": await async_provoke_late_orders(stage, seed=seed)}
        return UncheckedResult(late=late, stores={"store_alone": stage.platform.weight_store})


async def async_run_steady(stage: OrdersStage, options: argparse.Namespace) -> Traffic:
    """Send requests at a steady rate, under which no model has to be moved."""
    async with open_traffic(stage, rates=make_rates(stage), seed=options.seed) as traffic:
        await asyncio.sleep(options.quiet_s)
    return traffic


async def async_surge(stage: OrdersStage, seed: int) -> Phase:
    """Raise the request rate of one model until more engines have loaded it."""
    model = stage.models[1]
    before, loads_before = stage.count_holders(), stage.count_loads()

    async def async_has_moved() -> bool:
        return stage.count_holders()[model] > before[model] and await stage.async_is_settled()

    began_s = get_now_s()
    async with open_traffic(
        stage, rates={**make_rates(stage), model: SURGE_RATE}, seed=seed
    ) as traffic:
        await stage.async_wait_until(async_has_moved, "more engines have loaded the surging model")
        took_s = get_now_s() - began_s
    after = stage.count_holders()
    return Phase(
        name="surge",
        loads=stage.count_loads() - loads_before,
        min_loads=count_min_loads(before, after),
        took_s=took_s,
        before=before,
        after=after,
        traffic=traffic,
    )


async def async_change_version(stage: OrdersStage, seed: int) -> Phase:
    """Publish a new version of a model and wait until all engines with the model have it."""
    model, version = stage.models[0], "2"
    before, loads_before = stage.count_holders(), stage.count_loads()

    def has_changed() -> bool:
        versions = [models[model] for models in stage.get_holders().values() if model in models]
        return bool(versions) and all(found == version for found in versions)

    began_s = get_now_s()
    async with open_traffic(stage, rates=make_rates(stage), seed=seed + 1) as traffic:
        stage.publish({model: version})
        await stage.async_wait_until(has_changed, "all engines with the model have the new version")
        took_s = get_now_s() - began_s
        await stage.async_wait_settled()
    return Phase(
        name="version",
        loads=stage.count_loads() - loads_before,
        min_loads=before[model],
        took_s=took_s,
        before=before,
        after=stage.count_holders(),
        traffic=traffic,
    )


async def async_stop_third(stage: OrdersStage, seed: int) -> Phase:
    """Stop a third of the engines and their sides, those with a certain model first."""
    holders = stage.get_holders()
    model = stage.models[2]
    ordered = sorted(holders, key=lambda name: (model not in holders[name], name))
    lost = ordered[: len(ordered) // LOST_DIVISOR]
    loads_before = stage.count_loads()
    began_s = get_now_s()
    async with open_traffic(stage, rates=make_rates(stage), seed=seed + 2) as traffic:
        for name in lost:
            process = stage.rig.sides.pop(name)
            await process.async_kill()
            stage.engines[name].freeze()
            stage.platform.instances.remove(name)
        before = stage.count_holders()

        async def async_has_recovered() -> bool:
            counts = stage.count_holders()
            return min(counts.values()) >= MIN_ENGINES and await stage.async_is_settled()

        await stage.async_wait_until(
            async_has_recovered, "every model is loaded on the minimum number of engines"
        )
        took_s = get_now_s() - began_s
    after = stage.count_holders()
    min_loads = sum(max(0, MIN_ENGINES - count) for count in before.values())
    return Phase(
        name="loss",
        loads=stage.count_loads() - loads_before,
        min_loads=min_loads,
        took_s=took_s,
        before=before,
        after=after,
        traffic=traffic,
    )


async def async_provoke_late_orders(stage: OrdersStage, *, seed: int) -> int:
    """Suspend sides before they send an order, replace and resume them; count late orders."""
    model = stage.models[0]
    late = 0
    version = FIRST_LATE_VERSION
    for _ in range(LATE_ROUNDS):
        async with open_traffic(stage, rates={model: LATE_RATE}, seed=seed):
            stage.publish({model: str(version)})
            name = await async_suspend_draining_side(stage)
        suspended = stage.rig.sides[name]
        await stage.rig.async_start_side(name)
        stage.publish({model: str(version + 1)})
        await asyncio.sleep(2 * LEASE_MS / MS_PER_S)
        resumed_ms = SystemClock().wall_ms()
        suspended.send_signal(signal.SIGCONT)
        await stage.async_wait_settled()
        late += await async_count_applied(stage, suspended, since_ms=resumed_ms)
        await suspended.async_stop()
        version += 2
    return late + stage.count_late_orders()


async def async_count_applied(stage: OrdersStage, process: DaemonProcess, *, since_ms: int) -> int:
    """Return how many orders of a side its engine has applied since a wall time."""
    dump = await stage.async_dump(process)
    fences = {entry["fence"] for entry in dump["journal"]}
    return sum(
        record.order.fence in fences
        and record.wall_ms >= since_ms
        and record.state is not OrderState.REFUSED
        for record in stage.engines[process.name].orders.records
    )


async def async_suspend_draining_side(stage: OrdersStage) -> str:
    """Suspend the first side that drains its engine for an order; return its name."""
    found: list[str] = []

    async def async_find() -> bool:
        for name, process in stage.rig.sides.items():
            if is_draining(await stage.async_dump(process)):
                process.send_signal(signal.SIGSTOP)
                found.append(name)
                return True
        return False

    await stage.async_wait_until(async_find, "a side drains its engine for an order")
    return found[0]


def is_draining(dump: Mapping[str, Any]) -> bool:
    """Return whether a side is draining its engine and has not sent the order yet."""
    change = dump.get("pending")
    if change is None or not change["confirmed"]:
        return False
    return all(entry["wall_ms"] < change["since_ms"] for entry in dump["journal"])


def make_rates(stage: OrdersStage) -> dict[str, float]:
    """Return the steady request rate of each model."""
    return dict.fromkeys(stage.models, STEADY_RATE)


def count_min_loads(before: Mapping[str, int], after: Mapping[str, int]) -> int:
    """Return the minimum number of loads that turns one set of engine counts into another."""
    return sum(max(0, count - before[model]) for model, count in after.items())


def get_max_rate(store: WeightStore) -> float:
    """Return the highest rate of fetches per second in any window."""
    fetched_ms = list(store.fetched_ms)
    most = max(
        (
            sum(began_ms <= at < began_ms + RATE_WINDOW_MS for at in fetched_ms)
            for began_ms in fetched_ms
        ),
        default=0,
    )
    return most * MS_PER_S / RATE_WINDOW_MS


def get_now_s() -> float:
    """Return monotonic time in seconds."""
    return asyncio.get_running_loop().time()


def report(run: RunResult) -> None:
    """Print the table and the JSON result."""
    all_traffic = (run.steady, *(phase.traffic for phase in run.phases))
    rows: list[list[object]] = [
        ["quiet", "", "", run.steady_loads, 0, "", *list_outcomes(run.steady)],
    ]
    rows += [make_row(phase) for phase in run.phases]
    print_table(
        title="orders, kotlovnica: 9 engines that share 3 models, 2 routers",
        columns=COLUMNS,
        rows=rows,
    )
    loads: dict[str, Value] = {phase.name: phase.loads for phase in run.phases}
    least: dict[str, Value] = {phase.name: phase.min_loads for phase in run.phases}
    print_result(
        {
            "late_orders_applied": dict(run.late),
            "moves": {"quiet": run.steady_loads, **loads},
            "moves_least": {"quiet": 0, **least},
            "took_s": {phase.name: round(phase.took_s, 1) for phase in run.phases},
            "weight_store_rate_max": max(get_max_rate(store) for store in run.stores.values()),
            "weight_store_limit": STORE_PER_S,
            "weight_store_fetches": {
                name: len(store.fetched_ms) for name, store in run.stores.items()
            },
            "weight_store_refused": sum(store.rejected for store in run.stores.values()),
            "target_met": {phase.name: round(phase.traffic.target_met, 4) for phase in run.phases},
            "target_met_quiet": round(run.steady.target_met, 4),
            "lost_or_wrong": sum(count_lost_or_wrong(traffic) for traffic in all_traffic),
        }
    )


def make_row(phase: Phase) -> list[object]:
    """Return the table row of an event."""
    return [
        phase.name,
        format_counts(phase.before),
        format_counts(phase.after),
        phase.loads,
        phase.min_loads,
        round(phase.took_s, 1),
        *list_outcomes(phase.traffic),
    ]


def count_lost_or_wrong(traffic: Traffic) -> int:
    """Return how many requests had no known outcome or a wrong answer."""
    tally = traffic.tally
    return tally.lost + tally.doubled + tally.crossed + tally.truncated


def list_outcomes(traffic: Traffic) -> list[object]:
    """Return the table cells with request outcomes and refusals by error code."""
    refused = " ".join(f"{code} {count}" for code, count in traffic.tally.refused.most_common())
    met = round(traffic.target_met, 4)
    return [
        met,
        traffic.tally.requests,
        traffic.tally.not_run,
        count_lost_or_wrong(traffic),
        refused,
    ]


def format_counts(counts: Mapping[str, int]) -> str:
    """Return the number of engines with each model as one table cell."""
    return " ".join(str(count) for count in counts.values())
