"""Benchmark of control traffic by message kind, in small fleets and at the target size.

Small fleets of real processes give a linear fit of each kind; a router and a side are measured in a
fleet of the target size.
"""

from __future__ import annotations

import argparse
import asyncio
import math
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Final

from msgspec import Struct

from bench.config_fleet import ChangeCost, async_start_fleet
from bench.full_size import FullSizeFleet
from bench.grid import GridPoint, async_measure_point
from bench.ledger import HANDSHAKE_KINDS, KIND_STATUS, AverageUsage, Rates
from bench.report import print_machine, print_result, print_table
from bench.slope_math import Line, fit_kinds, get_mean_rate, sum_at
from bench.stages import STAGE_LOAD, FullSize
from bench.target_scale import (
    ANSWER_MS,
    CHANGES_PER_DAY,
    CONTROL_BYTES_S_MAX,
    DATA_CENTRES,
    LIST_CHANGES_PER_DAY,
    PROCESSES,
    REQUESTS_S_PER_PAIR,
    ROUTERS,
    SIDES,
)
from gypsumrouter.const import MS_PER_S
from gypsumrouter.settings import Link

SIZES: Final = (4, 8, 16, 32)
SECONDS: Final = 6.0
KIND_HANDSHAKES: Final = "handshakes"
KIND_LIST_CHANGES: Final = "platform_list_changes"
KIND_CHANGES: Final = "configuration_changes"
KIND_DOCUMENTS: Final = "platform_documents_in_turn"
CONFIG_FLEET_ROUTERS: Final = 3
CONFIG_FLEET_SIDES: Final = 12
CHANGES: Final = 4
CHANGE_INTERVAL_S: Final = 1.5


class RoleControl(Struct, frozen=True, kw_only=True):
    """Control traffic of one role by kind: bytes per second at the target size, and linear fits."""

    rates: Rates
    lines: dict[str, Line]

    @property
    def total(self) -> float:
        """Return the bytes per second of all kinds."""
        return sum(self.rates.values())


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="bench control")
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument(
        "--rates",
        type=float,
        nargs="*",
        default=[],
        help="additional load factors, measured at the second largest size",
    )
    options = parser.parse_args(argv)
    print_machine()
    return asyncio.run(async_run(options))


async def async_run(options: argparse.Namespace) -> int:
    """Run all measurements and print the results."""
    *smaller, largest = sorted(options.sizes)
    # Byte counts do not depend on the load of the machine, so small fleets run concurrently.
    points = await asyncio.gather(
        *(async_measure_point(size=size, seconds=options.seconds) for size in smaller)
    )
    points.append(await async_measure_point(size=largest, seconds=options.seconds))
    for load_factor in options.rates:
        size = smaller[-1] if smaller else largest
        points.append(
            await async_measure_point(size=size, seconds=options.seconds, load_factor=load_factor)
        )
    full = await FullSizeFleet(seconds=options.seconds).async_run(with_costs=False)
    async with AsyncExitStack() as stack:
        fleet = await async_start_fleet(
            stack, routers=CONFIG_FLEET_ROUTERS, sides=CONFIG_FLEET_SIDES, probes=False
        )
        change = await fleet.async_measure_changes(changes=CHANGES, interval_s=CHANGE_INTERVAL_S)
    report(points, full, change)
    return 0


def summarize(
    points: Sequence[GridPoint], full: FullSize, change: ChangeCost
) -> tuple[RoleControl, RoleControl]:
    """Return the control traffic of a router and of a side."""
    target_load = [point for point in points if point.load_factor == 1.0]
    router_lines = fit_kinds(
        [(point.size, _get_steady_rates(point.router)) for point in target_load]
    )
    side_lines = fit_kinds([(point.size, _get_steady_rates(point.side)) for point in target_load])
    router = _add_extrapolated_rates(full.router[STAGE_LOAD], full, change, links=SIDES)
    side = _add_extrapolated_rates(full.side[STAGE_LOAD], full, change, links=ROUTERS)
    # Every side is assumed to send statuses as often as the measured one.
    router[KIND_STATUS] = full.side_status_bytes_s * SIDES / ROUTERS
    side[KIND_STATUS] = full.side_status_bytes_s
    return RoleControl(rates=router, lines=router_lines), RoleControl(rates=side, lines=side_lines)


def estimate_reopened_links_s(links: int) -> float:
    """Return how many links per second are reopened after they were closed as idle.

    Assumes that requests of a pair of router and side arrive as a Poisson process.
    """
    gap_s = Link().idle_close_ms / MS_PER_S
    open_s = ANSWER_MS / MS_PER_S
    idle_share = math.exp(-REQUESTS_S_PER_PAIR * (gap_s + open_s))
    return links * REQUESTS_S_PER_PAIR * idle_share


def _add_extrapolated_rates(
    spent: AverageUsage, full: FullSize, change: ChangeCost, *, links: int
) -> Rates:
    """Return the rates of a stage plus those of events that are too rare to be measured in it."""
    rates = _get_steady_rates(spent)
    rates[KIND_HANDSHAKES] = estimate_reopened_links_s(links) * full.handshake_bytes
    rates[KIND_LIST_CHANGES] = get_mean_rate(full.list_change_bytes, times=LIST_CHANGES_PER_DAY)
    rates[KIND_CHANGES] = get_mean_rate(change.other_bytes, times=CHANGES_PER_DAY)
    # One process in each data centre reads the whole document, a different one each time.
    documents = DATA_CENTRES * full.document_bytes / PROCESSES
    rates[KIND_DOCUMENTS] = get_mean_rate(documents, times=CHANGES_PER_DAY)
    return rates


def _get_steady_rates(spent: AverageUsage) -> Rates:
    rates = spent.list_control_rates()
    return {kind: rate for kind, rate in rates.items() if kind not in HANDSHAKE_KINDS}


def report(points: Sequence[GridPoint], full: FullSize, change: ChangeCost) -> None:
    """Print the tables and the JSON result."""
    router, side = summarize(points, full, change)
    _print_points(points)
    for name, control, links in (("router", router, SIDES), ("side", side, ROUTERS)):
        _print_role(name, control, links)
    print_result(
        {
            "router_bytes_s_at_330x930": round(router.total),
            "side_bytes_s_at_330x930": round(side.total),
            "router_bytes_s_by_slopes": round(sum_at(router.lines, SIDES)),
            "side_bytes_s_by_slopes": round(sum_at(side.lines, ROUTERS)),
            "watcher_adds_bytes_s": round(
                get_mean_rate(change.watcher_bytes, times=CHANGES_PER_DAY)
            ),
            "aim_bytes_s": CONTROL_BYTES_S_MAX,
            "router_links": round(full.router[STAGE_LOAD].links),
            "side_links": round(full.side[STAGE_LOAD].links),
            "whole": full.whole,
            "broken": full.broken + sum(point.failed for point in points),
        }
    )


def _print_points(points: Sequence[GridPoint]) -> None:
    print_table(
        title="control bytes per second of one process, real processes, target load of each pair",
        columns=("fleet", "load", "requests/s", "router", "side", "broken"),
        rows=[
            (
                f"{point.size}x{point.size}",
                point.load_factor,
                point.requests_s,
                sum(_get_steady_rates(point.router).values()),
                sum(_get_steady_rates(point.side).values()),
                point.failed,
            )
            for point in points
        ],
    )


def _print_role(name: str, control: RoleControl, links: int) -> None:
    kinds = sorted(control.rates, key=lambda kind: -control.rates[kind])
    zero = Line(base=0.0, slope=0.0)
    print_table(
        title=f"{name}: bytes per second by kind, with {links} links",
        columns=("kind", "measured", "by slope", "slope per link"),
        rows=[
            (
                kind,
                control.rates[kind],
                control.lines.get(kind, zero).at(links),
                control.lines.get(kind, zero).slope,
            )
            for kind in kinds
            if control.rates[kind] > 0
        ],
    )
