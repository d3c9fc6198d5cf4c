"""Loads under which upstreams lack capacity: what becomes of each class with and without the queue.

The classes have the targets and deadlines of a deployment; 4 engines are used to 0.6 of their
capacity. The thresholds follow from what callers need: the most urgent in time, none of them behind
a less urgent class, and no request held longer than half of its target.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from service_simulation import LoadClass, Result, Simulation

from gypsumrouter.contention.const import HOLD_SHARE, TICK_MS

SHORT = LoadClass("short", 0, 15, 408, 12_200, 38)
LONG = LoadClass("long", 1, 80, 820, 15_400, 17)
TAGGING = LoadClass("tagging", 2, 30, 410, 3_100, 26)
CLASSES = (SHORT, LONG, TAGGING)
START_MS = 3_000
END_MS = 15_000
GetFactor = Callable[[LoadClass, int], float]


def usual(_item: LoadClass, _now_ms: int) -> float:
    return 1.0


def flood_of_the_least_urgent(item: LoadClass, now_ms: int) -> float:
    return 8.0 if item is TAGGING and now_ms > START_MS else 1.0


def burst(_item: LoadClass, now_ms: int) -> float:
    return 2.2 if now_ms > START_MS else 1.0


def run(
    get_factor: GetFactor, *, queued: bool, routers: int = 1, lost: int = 0, seed: int = 1
) -> dict[str, Result]:
    """Run a load; `lost` engines fail at `START_MS`."""
    simulation = Simulation(classes=CLASSES, queued=queued, routers=routers, seed=seed)
    simulation.run(START_MS, get_factor)
    for engine in simulation.engines[:lost]:
        engine.alive = False
    simulation.run(END_MS - START_MS, get_factor)
    return simulation.results


def check_waits(results: dict[str, Result]) -> None:
    """Check that no wait was longer than stated."""
    for item in CLASSES:
        assert results[item.name].longest_wait_ms <= item.target_ms * HOLD_SHARE + TICK_MS


@pytest.mark.parametrize("routers", [1, 9])
async def test_usual_load_is_served_without_any_wait(routers: int) -> None:
    """Guards against waits while upstreams are in time."""
    results = run(usual, queued=True, routers=routers)
    for result in results.values():
        assert result.share == 1.0
        assert result.longest_wait_ms == 0


@pytest.mark.parametrize(("routers", "in_time"), [(1, 0.98), (9, 0.8)])
async def test_flood_of_the_least_urgent_class(routers: int, in_time: float) -> None:
    """Guards the more urgent classes against a class that sends 8 times its usual rate."""
    before = run(flood_of_the_least_urgent, queued=False, routers=routers)
    after = run(flood_of_the_least_urgent, queued=True, routers=routers)
    check_waits(after)
    assert before[SHORT.name].share < 0.4
    for item in (SHORT, LONG):
        assert after[item.name].share >= in_time
    assert after[TAGGING.name].share > 2 * before[TAGGING.name].share
    assert min(after[SHORT.name].share, after[LONG.name].share) > after[TAGGING.name].share


@pytest.mark.parametrize(("routers", "in_time"), [(1, 0.95), (9, 0.7)])
async def test_half_of_the_engines_lost_at_once(routers: int, in_time: float) -> None:
    before = run(usual, queued=False, routers=routers, lost=2)
    after = run(usual, queued=True, routers=routers, lost=2)
    check_waits(after)
    assert before[SHORT.name].share < 0.4
    assert after[SHORT.name].share >= in_time
    for item in CLASSES:
        assert after[item.name].share > before[item.name].share
        assert after[item.name].late <= before[item.name].late / 3


@pytest.mark.parametrize(("routers", "in_time"), [(1, 0.95), (9, 0.75)])
async def test_restart_of_the_fleet_into_a_burst(routers: int, in_time: float) -> None:
    """Guards against routers without any figures that all fill the same engines."""

    def at_once(_item: LoadClass, _now_ms: int) -> float:
        return 2.2

    before = run(at_once, queued=False, routers=routers)
    after = run(at_once, queued=True, routers=routers)
    check_waits(after)
    assert before[SHORT.name].share < 0.4
    assert after[SHORT.name].share >= in_time
    for item in CLASSES:
        assert after[item.name].share > before[item.name].share


@pytest.mark.parametrize("seed", [2, 3, 4])
async def test_overload_is_refused_on_arrival_rather_than_after_a_wait(seed: int) -> None:
    """Guards against requests that are held and then refused."""
    results = run(burst, queued=True, seed=seed)
    refused = sum(result.refused for result in results.values())
    after_wait = sum(result.refused_late for result in results.values())
    assert refused > 100
    assert after_wait < refused / 5


async def test_no_class_is_served_less_than_a_quarter_of_the_average() -> None:
    """Guards the least urgent class against starvation."""
    results = run(burst, queued=True)
    shares = [result.share for result in results.values()]
    assert min(shares) >= 0.25 * sum(shares) / len(shares)


async def test_engines_stay_busy_under_overload() -> None:
    """Guards against capacity that is idle while requests wait or are refused."""
    results = run(burst, queued=True)
    work_ms = sum(
        item.own_ms * (r := results[item.name]).in_time + item.own_ms * r.late for item in CLASSES
    )
    capacity_ms = 4 * (END_MS - START_MS)
    usual_ms = 0.6 * 4 * START_MS
    assert work_ms >= 0.95 * (capacity_ms + usual_ms)
