"""How fast a configuration of the two-year size is in force everywhere, and what that costs."""

from __future__ import annotations

import argparse
import asyncio
import signal
import time
from contextlib import AsyncExitStack
from typing import Final

from msgspec import Struct, field

from bench.config_fleet import ChangeCost, ConfigFleet, async_start_fleet
from bench.in_force import Events, count_reverted, find_in_force, get_median, measure_delays
from bench.members import Spread, async_measure_spread
from bench.report import Value, print_machine, print_result, print_table
from bench.target_scale import PROCESSES
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.standins import OutageKind

NEWS_LEAD_S: Final = 0.25
OUTAGE_S: Final = 6.0
PAUSED_S: Final = 6.0
STALE_SHARE: Final = 0.5
PAUSE_S: Final = 1.5
MEMBER_CHANGES: Final = 6
MEMBER_PAUSE_S: Final = 3.0
NOT_DONE: Final = -1.0


class Story(Struct, kw_only=True):
    """What one run of the real processes showed; versions by the part of the run."""

    normal: list[int] = field(default_factory=list)
    outage: list[int] = field(default_factory=list)
    stale: list[int] = field(default_factory=list)
    cost: ChangeCost = field(default_factory=ChangeCost)
    idle_pauses: dict[Role, dict[str, float]] = field(default_factory=dict)
    pauses: dict[Role, dict[str, float]] = field(default_factory=dict)
    woken_s: float = NOT_DONE
    start_normal_s: float = NOT_DONE
    start_outage_s: float = NOT_DONE


def main(argv: list[str]) -> int:
    """Run the bench."""
    parser = argparse.ArgumentParser(prog="bench config")
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--sides", type=int, default=21)
    parser.add_argument("--changes", type=int, default=8)
    parser.add_argument("--no-members", action="store_true", help="without the 1,260 light ones")
    options = parser.parse_args(argv)
    print_machine()
    return asyncio.run(async_run(options))


async def async_run(options: argparse.Namespace) -> int:
    """Measure and print."""
    async with AsyncExitStack() as stack:
        fleet = await async_start_fleet(
            stack, routers=options.routers, sides=options.sides, spare=2
        )
        story = await async_play(fleet, changes=options.changes)
        events = fleet.read_events()
        accepted_ms = fleet.accepted_ms
    spread = None
    if not options.no_members:
        spread = await async_measure_spread(changes=MEMBER_CHANGES, pause_s=MEMBER_PAUSE_S)
    report(story, events, accepted_ms, spread)
    return 0


async def async_play(fleet: ConfigFleet, *, changes: int) -> Story:
    """Go through all parts of the run."""
    story = Story()
    await fleet.async_take_pauses()
    await asyncio.sleep(2.0)
    story.idle_pauses = await fleet.async_take_pauses()
    before = fleet.platform.configuration.version
    story.cost = await fleet.async_measure_changes(changes=changes, pause_s=PAUSE_S)
    story.normal = list(range(before + 1, fleet.platform.configuration.version + 1))
    story.pauses = await fleet.async_take_pauses()
    await fleet.async_start_another()
    story.start_normal_s = fleet.started_s[-1]
    await async_play_outage(fleet, story)
    await async_play_stale(fleet, story)
    story.woken_s = await async_play_pause(fleet)
    return story


async def async_play_outage(fleet: ConfigFleet, story: Story) -> None:
    """Have the service fail in the middle of a change, and publish another one meanwhile."""
    service = fleet.platform.configuration
    story.outage.append(fleet.publish())
    await asyncio.sleep(NEWS_LEAD_S)
    await service.async_set_outage(OutageKind.REFUSE)
    await fleet.async_start_another()
    story.start_outage_s = fleet.started_s[-1]
    await asyncio.sleep(OUTAGE_S)
    version = fleet.publish()
    story.outage.append(version)
    await asyncio.sleep(1.0)
    await service.async_set_outage(OutageKind.NONE)
    # Nobody could read it before.
    fleet.accepted_ms[version] = time.time_ns() // 1_000_000
    await fleet.async_wait_in_force(version)


async def async_play_stale(fleet: ConfigFleet, story: Story) -> None:
    """Have half of the answers come from a replica that has stood still."""
    service = fleet.platform.configuration
    service.serve_stale(service.version, share=STALE_SHARE)
    for _ in range(3):
        story.stale.append(fleet.publish())
        await asyncio.sleep(PAUSE_S)
    await fleet.async_wait_in_force(story.stale[-1])
    service.serve_stale(None)


async def async_play_pause(fleet: ConfigFleet) -> float:
    """Stop a process, publish a change, and return how long it takes once it goes on."""
    process = next(iter(fleet.rig.sides.values()))
    process.send_signal(signal.SIGSTOP)
    version = fleet.publish()
    await asyncio.sleep(PAUSED_S)
    woken_ms = time.time_ns() // 1_000_000
    process.send_signal(signal.SIGCONT)
    await fleet.async_wait_in_force(version)
    return (find_in_force(fleet.read_events()[process.name], version) - woken_ms) / MS_PER_S


def report(
    story: Story, events: Events, accepted_ms: dict[int, int], spread: Spread | None
) -> None:
    """Print the tables and the last line."""
    parts = {"normal": story.normal, "outage": story.outage, "stale answers": story.stale}
    delays = {
        name: measure_delays(_list_present(events, accepted_ms, versions), accepted_ms, versions)
        for name, versions in parts.items()
    }
    if spread is not None:
        delays[f"{spread.members} light processes"] = spread.delays_s
        delays[f"{spread.members} light, outage"] = spread.outage_delays_s
    print_table(
        title=f"seconds from acceptance until in force; {len(events)} real processes",
        columns=("part", "values", "p50", "max"),
        rows=[
            (name, len(values), get_median(values), max(values)) for name, values in delays.items()
        ],
    )
    _print_costs(story)
    print_result(_make_figures(story, events, delays, spread))


def _list_present(events: Events, accepted_ms: dict[int, int], versions: list[int]) -> Events:
    """Return the processes that were there when the first of some versions was accepted."""
    began_ms = accepted_ms[versions[0]]
    return {
        name: in_force
        for name, in_force in events.items()
        if in_force and in_force[0][1] <= began_ms
    }


def _print_costs(story: Story) -> None:
    cost = story.cost
    print_table(
        title="one change of one workspace out of 9,500",
        columns=("process", "bytes", "processor ms"),
        rows=[
            (f"watches ({cost.watchers})", cost.watcher_bytes, cost.watcher_cpu_s * MS_PER_S),
            ("others", cost.other_bytes, cost.other_cpu_s * MS_PER_S),
        ],
    )
    print_table(
        title="longest pause of the loop, ms",
        columns=("role", "idle, clock", "idle, processor", "changes, clock", "changes, processor"),
        rows=[
            (
                role,
                story.idle_pauses[role]["wall_ms"],
                story.idle_pauses[role]["cpu_ms"],
                taken["wall_ms"],
                taken["cpu_ms"],
            )
            for role, taken in story.pauses.items()
        ],
    )


def _make_figures(
    story: Story, events: Events, delays: dict[str, list[float]], spread: Spread | None
) -> dict[str, Value]:
    cost = story.cost
    every = [value for values in delays.values() for value in values]
    reverted = count_reverted(events) + (spread.reverted if spread else 0)
    return {
        "in_force_s_p50": round(get_median(delays["normal"]), 3),
        "in_force_s_max": round(max(every), 3),
        "in_force_s_max_normal": round(max(delays["normal"]), 3),
        "in_force_s_max_outage": round(max(delays["outage"]), 3),
        "in_force_s_max_stale": round(max(delays["stale answers"]), 3),
        "in_force_s_max_at_1260": round(max(spread.delays_s), 3) if spread else None,
        "in_force_s_max_outage_at_1260": round(max(spread.outage_delays_s), 3) if spread else None,
        "in_force_s_p50_at_1260": round(get_median(spread.delays_s), 3) if spread else None,
        "reverted": reverted,
        "reads_s_at_1260": round(spread.reads_s, 1) if spread else None,
        "members": spread.members if spread else None,
        "bytes_per_change_at_9500_workspaces": round(cost.other_bytes),
        "watcher_bytes_per_change": round(cost.watcher_bytes),
        "loop_pause_ms_max": round(max(p["wall_ms"] for p in story.pauses.values()), 1),
        "loop_pause_cpu_ms_max": round(max(p["cpu_ms"] for p in story.pauses.values()), 1),
        "start_to_serving_s_max": round(max(story.start_normal_s, story.start_outage_s), 2),
        "start_to_serving_s_normal": round(story.start_normal_s, 2),
        "start_to_serving_s_outage": round(story.start_outage_s, 2),
        "woken_in_force_s": round(story.woken_s, 2),
        "processes": len(events),
        "two_year_processes": PROCESSES,
    }
