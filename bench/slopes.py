"""Benchmark of marginal costs, and of the control overhead at the target size."""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Mapping
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

from bench.config_fleet import ChangeCost, async_start_fleet
from bench.control import (
    CHANGE_INTERVAL_S,
    CHANGES,
    CONFIG_FLEET_ROUTERS,
    CONFIG_FLEET_SIDES,
    RoleControl,
    summarize,
)
from bench.costs import (
    async_measure_requests,
    measure_record_bytes,
    measure_sticky_chat_bytes,
)
from bench.full_size import ROUTER_STREAMS, SIDE_STREAMS, TOKENS, FullSizeFleet
from bench.plots import Bar, save_plot
from bench.report import Value, print_machine, print_result, print_table
from bench.role_slopes import (
    MB,
    SLOPES,
    RoleSlopes,
    derive_slopes,
    measure_spread_token_us,
    measure_status_us,
)
from bench.stages import STAGE_LOAD, FullSize
from bench.target_scale import (
    CONTROL_BYTES_S_MAX,
    CONTROL_RSS_MB_MAX,
    CORE_SHARE_MAX,
)
from gypsumrouter.const import MS_PER_S

SECONDS: Final = 8.0


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="bench slopes")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument(
        "--tokens",
        type=int,
        default=TOKENS,
        help="tokens per answer under load; 220 at the target scale",
    )
    parser.add_argument("--plot", type=Path, help="file for a bar chart of the results")
    options = parser.parse_args(argv)
    print_machine()
    return asyncio.run(async_run(options))


async def async_run(options: argparse.Namespace) -> int:
    """Run all measurements and print the results."""
    full = await FullSizeFleet(seconds=options.seconds, tokens=options.tokens).async_run(
        with_costs=True
    )
    async with AsyncExitStack() as stack:
        fleet = await async_start_fleet(
            stack, routers=CONFIG_FLEET_ROUTERS, sides=CONFIG_FLEET_SIDES, probes=False
        )
        change = await fleet.async_measure_changes(changes=CHANGES, interval_s=CHANGE_INTERVAL_S)
    costs = await async_measure_requests()
    controls = summarize([], full, change)
    router = derive_slopes(full.router, change, costs[0], streams=ROUTER_STREAMS)
    side = derive_slopes(full.side, change, costs[1], streams=SIDE_STREAMS)
    report(full, change, {"router": router, "side": side}, controls)
    if options.plot is not None:
        save_plot(options.plot, _list_bars({"router": router, "side": side}, controls))
        print(f"plot written to {options.plot}")
    _print_figures(router, side, controls, full)
    return 0


def report(
    full: FullSize,
    change: ChangeCost,
    roles: Mapping[str, RoleSlopes],
    controls: tuple[RoleControl, RoleControl],
) -> None:
    """Print the tables of stages, marginal costs and control traffic."""
    for name, stages in (("router", full.router), ("side", full.side)):
        print_table(
            title=f"{name} by stage; each stage adds to the one before",
            columns=("stage", "core share", "resident MB", "links", "control bytes/s"),
            rows=[
                (
                    stage,
                    spent.core_share,
                    spent.rss_bytes / MB,
                    spent.links,
                    spent.sum_control_rates(),
                )
                for stage, spent in stages.items()
            ],
        )
    print_table(
        title="slopes",
        columns=("what", *roles),
        rows=[(label, *(read(role) for role in roles.values())) for label, read in SLOPES],
    )
    frame_bytes = full.status_frame_bytes
    print_table(
        title="other slopes",
        columns=("what", "value"),
        rows=[
            (
                "status received by a router, us",
                measure_status_us(full.router, frame_bytes=frame_bytes),
            ),
            ("token of the load on all links, us", measure_spread_token_us(full, roles["router"])),
            ("tokens per second of that load", full.load_tokens_s),
            ("status frame, bytes", frame_bytes),
            ("handshake, bytes", full.handshake_bytes),
            ("list read of 1,260, bytes", full.list_change_bytes),
            ("document of 9,500 workspaces, bytes", full.document_bytes),
            ("change, bytes, watchers", change.watcher_bytes),
            ("change, bytes, others", change.other_bytes),
            ("change, ms, watchers", change.watcher_cpu_s * MS_PER_S),
            ("change, ms, others", change.other_cpu_s * MS_PER_S),
            ("idempotency record, bytes", measure_record_bytes()),
            ("chat of the sticky baseline, bytes", measure_sticky_chat_bytes()),
        ],
    )
    for name, control in zip(roles, controls, strict=True):
        rows = sorted(control.rates.items(), key=lambda item: -item[1])
        print_table(
            title=f"{name}: control bytes per second at 330 x 930",
            columns=("kind", "bytes/s"),
            rows=[row for row in rows if row[1] > 0],
        )


def _list_bars(
    roles: Mapping[str, RoleSlopes], controls: tuple[RoleControl, RoleControl]
) -> list[Bar]:
    return [
        bar
        for (name, role), control in zip(roles.items(), controls, strict=True)
        for bar in (
            Bar(name=f"{name}\ncore share", value=role.control_core_share, limit=CORE_SHARE_MAX),
            Bar(name=f"{name}\nresident MB", value=role.control_rss / MB, limit=CONTROL_RSS_MB_MAX),
            Bar(name=f"{name}\nbytes/s", value=control.total, limit=CONTROL_BYTES_S_MAX),
        )
    ]


def _print_figures(
    router: RoleSlopes,
    side: RoleSlopes,
    controls: tuple[RoleControl, RoleControl],
    full: FullSize,
) -> None:
    figures: dict[str, Value] = {
        "control_core_share": {
            "router": round(router.control_core_share, 4),
            "side": round(side.control_core_share, 4),
        },
        "control_rss_mb": {
            "router": round(router.control_rss / MB, 1),
            "side": round(side.control_rss / MB, 1),
        },
        "control_bytes_s": {
            "router": round(controls[0].total),
            "side": round(controls[1].total),
        },
        "aims": {
            "control_core_share": CORE_SHARE_MAX,
            "control_rss_mb": CONTROL_RSS_MB_MAX,
            "control_bytes_s": CONTROL_BYTES_S_MAX,
        },
        "router_links": full.router[STAGE_LOAD].links,
        "side_links": full.side[STAGE_LOAD].links,
        "whole": full.whole,
        "broken": full.broken,
    }
    print_result(figures)
