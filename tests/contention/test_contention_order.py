"""Order of release and of eviction, and the guaranteed part of each class."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

import pytest
from contention_fakes import FakeService, make_claim

from gypsumrouter.contention import Expected, Return
from gypsumrouter.contention.const import MIN_CLASS_SHARE
from gypsumrouter.contention.models import Waiting
from gypsumrouter.contention.order import ClassCredits, WaitingOrder, choose_next

NOW_MS = 1_000


def make_waiting(sequence: int, **more: Any) -> Waiting:
    returned = more.pop("returned", Return.UNKNOWN)
    own_ms = more.pop("own_ms", 100)
    return Waiting(
        claim=make_claim(FakeService(), f"r{sequence}", **more),
        sequence=sequence,
        arrived_ms=NOW_MS,
        expected=Expected(backlog_ms=0, own_ms=own_ms),
        returned=returned,
        future=asyncio.get_running_loop().create_future(),
    )


def get_excess(workspace: str) -> float:
    return {"heavy": 2.0}.get(workspace, 0.0)


# In the order of release.
ORDERED: tuple[dict[str, Any], ...] = (
    {"returned": Return.KEPT, "workspace": "heavy", "priority": 2},
    {"priority": 0, "target_ms": 400},
    {"priority": 0, "target_ms": 800},
    {"priority": 1, "target_ms": 200},
    {"priority": 1, "target_ms": 200},
    {"priority": 0, "workspace": "heavy"},
    {"priority": 0, "returned": Return.EARLY},
)


async def test_release_order_is_that_of_the_page() -> None:
    """Guards the order: kept places, shares, priority, latest start, arrival."""
    waiting = [make_waiting(number, **more) for number, more in enumerate(ORDERED)]
    random.Random(3).shuffle(waiting)
    released = []
    while waiting:
        item = choose_next(waiting, now_ms=NOW_MS, get_excess=get_excess)
        assert item is not None
        released.append(item.sequence)
        waiting.remove(item)
    assert released == list(range(len(ORDERED)))


async def test_eviction_is_in_reverse_order() -> None:
    """Guards against the refusal of an urgent request while less urgent ones wait."""
    waiting = [make_waiting(number, **more) for number, more in enumerate(ORDERED)]
    order = WaitingOrder(by_urgency=True)
    for item in random.Random(3).sample(waiting, k=len(waiting)):
        order.add(item, now_ms=NOW_MS, get_excess=get_excess)
    for number in reversed(range(len(ORDERED))):
        victim = order.choose_victim()
        assert victim is not None
        assert victim.sequence == number
        assert order.get_position(victim) == number
        order.remove(victim)
    assert order.choose_victim() is None


async def test_without_urgency_the_order_is_that_of_arrival() -> None:
    waiting = [make_waiting(0, priority=2), make_waiting(1, priority=0)]
    item = choose_next(waiting, now_ms=NOW_MS, get_excess=get_excess, by_urgency=False)
    assert item is waiting[0]


async def test_request_that_can_still_meet_its_target_goes_before_one_that_cannot() -> None:
    waiting = [make_waiting(0, target_ms=50), make_waiting(1, target_ms=400)]
    assert choose_next(waiting, now_ms=NOW_MS, get_excess=get_excess) is waiting[1]


@pytest.mark.parametrize("classes", [2, 3, 7])
async def test_each_class_gets_a_quarter_of_an_equal_part_of_the_releases(classes: int) -> None:
    """Guards against starvation of the less urgent by a steady stream of urgent requests."""
    names = [f"c{number}" for number in range(classes)]
    waiting = [
        make_waiting(number, caller_class=name, priority=number)
        for number, name in enumerate(names)
    ]
    turns = ClassCredits()
    released: Counter[str] = Counter()
    rounds = 400 * classes
    for _ in range(rounds):
        item = choose_next(
            waiting, now_ms=NOW_MS, get_excess=get_excess, overdue=turns.find_overdue()
        )
        assert item is not None
        released[item.claim.caller_class] += 1
        turns.note_released(item.claim.caller_class, waiting=names)
    for name in names:
        assert released[name] >= int(MIN_CLASS_SHARE * rounds / classes) - 1
    assert released[names[0]] == max(released.values())
