"""Control traffic by kind: slopes from small fleets, and one router and side at full size."""

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
from bench.slope_math import Line, fit_kinds, spread_over_day, sum_at
from bench.stages import STAGE_LOAD, FullSize
from bench.two_year import (
    ANSWER_MS,
    CHANGES_A_DAY,
    CONTROL_BYTES_S_MAX,
    DATA_CENTRES,
    LIST_CHANGES_A_DAY,
    PROCESSES,
    REQUESTS_S_A_PAIR,
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
HOLDING_ROUTERS: Final = 3
HOLDING_SIDES: Final = 12
CHANGES: Final = 4
CHANGE_PAUSE_S: Final = 1.5


class RoleControl(Struct, frozen=True, kw_only=True):
    """The control traffic of one role by kind, bytes a second at full size, and its slopes."""

    rates: Rates
    lines: dict[str, Line]

    @property
    def total(self) -> float:
        """Return the bytes a second of all kinds."""
        return sum(self.rates.values())


def main(argv: list[str]) -> int:
    """Run the bench."""
    parser = argparse.ArgumentParser(prog="bench control")
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument(
        "--rates", type=float, nargs="*", default=[], help="more loads at the second largest size"
    )
    options = parser.parse_args(argv)
    print_machine()
    return asyncio.run(async_run(options))


async def async_run(options: argparse.Namespace) -> int:
    """Measure and print."""
    *smaller, largest = sorted(options.sizes)
    # Bytes do not depend on how busy the machine is, so small fleets may run side by side.
    points = await asyncio.gather(
        *(async_measure_point(size=size, seconds=options.seconds) for size in smaller)
    )
    points.append(await async_measure_point(size=largest, seconds=options.seconds))
    for rate in options.rates:
        size = smaller[-1] if smaller else largest
        points.append(await async_measure_point(size=size, seconds=options.seconds, rate=rate))
    full = await FullSizeFleet(seconds=options.seconds).async_run(with_costs=False)
    async with AsyncExitStack() as stack:
        holders = await async_start_fleet(
            stack, routers=HOLDING_ROUTERS, sides=HOLDING_SIDES, probes=False
        )
        change = await holders.async_measure_changes(changes=CHANGES, pause_s=CHANGE_PAUSE_S)
    report(points, full, change)
    return 0


def summarize(
    points: Sequence[GridPoint], full: FullSize, change: ChangeCost
) -> tuple[RoleControl, RoleControl]:
    """Return the control traffic of a router and of a side."""
    same_rate = [point for point in points if point.rate == 1.0]
    router_lines = fit_kinds([(point.size, _list_steady(point.router)) for point in same_rate])
    side_lines = fit_kinds([(point.size, _list_steady(point.side)) for point in same_rate])
    router = _complete(full.router[STAGE_LOAD], full, change, links=SIDES)
    side = _complete(full.side[STAGE_LOAD], full, change, links=ROUTERS)
    # Every side tells each router as often as the measured one did.
    router[KIND_STATUS] = full.side_status_bytes_s * SIDES / ROUTERS
    side[KIND_STATUS] = full.side_status_bytes_s
    return RoleControl(rates=router, lines=router_lines), RoleControl(rates=side, lines=side_lines)


def count_reopened(links: int) -> float:
    """Return how many links a second are opened again because they had been idle for long.

    Requests of one pair come independently of each other; a link is closed after a gap.
    """
    gap_s = Link().idle_close_ms / MS_PER_S
    open_s = ANSWER_MS / MS_PER_S
    idle_share = math.exp(-REQUESTS_S_A_PAIR * (gap_s + open_s))
    return links * REQUESTS_S_A_PAIR * idle_share


def _complete(spent: AverageUsage, full: FullSize, change: ChangeCost, *, links: int) -> Rates:
    """Return the rates of a stage with what a short one cannot show."""
    rates = _list_steady(spent)
    rates[KIND_HANDSHAKES] = count_reopened(links) * full.handshake_bytes
    rates[KIND_LIST_CHANGES] = spread_over_day(full.list_change_bytes, times=LIST_CHANGES_A_DAY)
    rates[KIND_CHANGES] = spread_over_day(change.other_bytes, times=CHANGES_A_DAY)
    # One process in each data centre reads the whole document, and all take turns.
    documents = DATA_CENTRES * full.document_bytes / PROCESSES
    rates[KIND_DOCUMENTS] = spread_over_day(documents, times=CHANGES_A_DAY)
    return rates


def _list_steady(spent: AverageUsage) -> Rates:
    rates = spent.list_control_rates()
    return {kind: rate for kind, rate in rates.items() if kind not in HANDSHAKE_KINDS}


def report(points: Sequence[GridPoint], full: FullSize, change: ChangeCost) -> None:
    """Print the tables and the last line."""
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
                spread_over_day(change.watcher_bytes, times=CHANGES_A_DAY)
            ),
            "aim_bytes_s": CONTROL_BYTES_S_MAX,
            "router_links": round(full.router[STAGE_LOAD].links),
            "side_links": round(full.side[STAGE_LOAD].links),
            "whole": full.whole,
            "broken": full.broken + sum(point.broken for point in points),
        }
    )


def _print_points(points: Sequence[GridPoint]) -> None:
    print_table(
        title="control bytes a second of one process, real processes, load of each pair as planned",
        columns=("fleet", "load", "requests/s", "router", "side", "broken"),
        rows=[
            (
                f"{point.size}x{point.size}",
                point.rate,
                point.requests_s,
                sum(_list_steady(point.router).values()),
                sum(_list_steady(point.side).values()),
                point.broken,
            )
            for point in points
        ],
    )


def _print_role(name: str, control: RoleControl, links: int) -> None:
    kinds = sorted(control.rates, key=lambda kind: -control.rates[kind])
    nothing = Line(base=0.0, slope=0.0)
    print_table(
        title=f"{name}: bytes a second by kind, with {links} links",
        columns=("kind", "measured", "by slope", "slope a link"),
        rows=[
            (
                kind,
                control.rates[kind],
                control.lines.get(kind, nothing).at(links),
                control.lines.get(kind, nothing).slope,
            )
            for kind in kinds
            if control.rates[kind] > 0
        ],
    )
