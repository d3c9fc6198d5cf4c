"""Fair shares: a workspace that floods the service has an excess, and the others have none."""

from __future__ import annotations

import math
import random
import statistics
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumrouter.contention.heavy_hitters import MAX_EXPONENT, HeavyHitters
from gypsumrouter.contention.workspaces import (
    IDLE_MS,
    MIN_MEDIAN_SHARE,
    REFRESH_MS,
    WINDOW_MS,
    WorkspaceShares,
    get_level,
)

START_MS = 1_000_000
TRACKED = 256
# Work below a thousandth of a token does not occur.
DEMANDS = st.lists(st.just(0.0) | st.floats(1e-3, 1e6), min_size=1, max_size=40)


def make_shares() -> WorkspaceShares:
    return WorkspaceShares(tracked=TRACKED)


def get_excess(demand: float, level: float) -> float:
    if demand <= level:
        return 0.0
    return demand / level - 1 if level else math.inf


def note_all(shares: WorkspaceShares, demands: dict[str, float], *, served: float) -> None:
    for workspace, cost in demands.items():
        note_sent(shares, workspace, cost, now_ms=START_MS)
    shares.note_served(cost=served, now_ms=START_MS)


def note_sent(shares: WorkspaceShares, workspace: str, cost: float, *, now_ms: int) -> None:
    """Count a request that is sent as it arrives."""
    shares.note(workspace=workspace, cost=cost, now_ms=now_ms)
    shares.note_sent(workspace=workspace, cost=cost, now_ms=now_ms)


def test_level_of_known_demands() -> None:
    assert get_level([1.0, 2.0, 10.0], capacity=9.0) == 6.0
    assert get_level([8.0, 1.0, 8.0], capacity=15.0) == 7.0
    assert get_level([1.0, 2.0, 10.0], capacity=13.0) == math.inf
    assert get_level([], capacity=0.0) == math.inf


@given(DEMANDS, st.floats(-1e6, 5e7))
def test_capacity_is_used_up_exactly(demands: list[float], capacity: float) -> None:
    level = get_level(demands, capacity=capacity)
    total = sum(demands)
    if level == math.inf:
        assert len(demands) == 1 or total <= capacity * 1.000_01 + 1e-9
        return
    # With very little capacity the share is a part of the median demand.
    least = statistics.median_low(demands) * MIN_MEDIAN_SHARE
    used = max(capacity, sum(min(demand, least) for demand in demands))
    assert sum(min(demand, level) for demand in demands) == pytest.approx(used, rel=1e-6)


@given(DEMANDS, st.floats(0, 5e7), st.randoms(use_true_random=False))
def test_level_does_not_depend_on_the_order(
    demands: list[float], capacity: float, rng: random.Random
) -> None:
    shuffled = list(demands)
    rng.shuffle(shuffled)
    assert get_level(shuffled, capacity=capacity) == get_level(demands, capacity=capacity)


@given(DEMANDS, st.floats(0, 5e7), st.floats(1, 1_000))
def test_flood_does_not_raise_the_excess_of_workspaces_up_to_its_usual_demand(
    demands: list[float], capacity: float, factor: float
) -> None:
    usual = get_level(demands, capacity=capacity)
    flooded = get_level([demands[0] * factor, *demands[1:]], capacity=capacity)
    for demand in demands[1:]:
        if demand <= demands[0]:
            assert get_excess(demand, flooded) <= get_excess(demand, usual) + 1e-5


@given(DEMANDS, st.floats(0, 5e7), st.floats(1, 1_000))
def test_workspace_within_the_equal_part_of_the_capacity_never_has_excess(
    demands: list[float], capacity: float, factor: float
) -> None:
    level = get_level([demand * factor for demand in demands], capacity=capacity)
    assert level >= capacity / len(demands) * 0.999_999


def test_excess_is_the_ratio_of_work_to_the_share_minus_1() -> None:
    shares = make_shares()
    note_all(shares, {"a": 1_000.0, "b": 2_000.0, "c": 12_000.0}, served=9_000.0)
    excess = {name: shares.get_excess(name, now_ms=START_MS) for name in "abc"}
    assert excess == {"a": 0.0, "b": 0.0, "c": pytest.approx(1.0)}
    assert shares.get_share(now_ms=START_MS) == pytest.approx(6_000.0)


@pytest.mark.parametrize("served", [15_000.0, 90_000.0])
def test_nobody_has_excess_while_all_work_is_served(served: float) -> None:
    shares = make_shares()
    note_all(shares, {"a": 1_000.0, "b": 2_000.0, "c": 12_000.0}, served=served)
    assert [shares.get_excess(name, now_ms=START_MS) for name in "abc"] == [0.0, 0.0, 0.0]


def test_excess_is_bounded_while_nothing_is_served() -> None:
    # After a start no request has been served yet; the excess must still tell a flood from others.
    shares = make_shares()
    note_all(shares, {"a": 1_000.0, "b": 1_000.0, "flood": 8_000.0}, served=0.0)
    excess = {name: shares.get_excess(name, now_ms=START_MS) for name in ("a", "b", "flood")}
    assert excess == {"a": 3.0, "b": 3.0, "flood": 31.0}


def test_only_workspace_has_no_excess() -> None:
    shares = make_shares()
    note_all(shares, {"a": 9_000.0}, served=1_000.0)
    assert shares.get_excess("a", now_ms=START_MS) == 0.0


def run_flood(shares: WorkspaceShares, *, sent: float) -> int:
    """Count 8,000 of a flood and 1,000 beside it each 0.25 s, serve 3,000; return the end."""
    for step in range(40):
        now_ms = START_MS + step * 250
        shares.note(workspace="flood", cost=8_000.0, now_ms=now_ms)
        shares.note_sent(workspace="flood", cost=sent, now_ms=now_ms)
        note_sent(shares, "usual", 1_000.0, now_ms=now_ms)
        shares.note_served(cost=3_000.0, now_ms=now_ms)
    return now_ms


def test_refused_requests_count_for_the_share_but_not_as_work() -> None:
    # If they counted as work, the flood would be refused altogether instead of down to its share.
    all_sent, cut_down = make_shares(), make_shares()
    end_ms = run_flood(all_sent, sent=8_000.0)
    assert all_sent.get_excess("flood", now_ms=end_ms) == pytest.approx(3.0)
    run_flood(cut_down, sent=2_000.0)
    assert cut_down.get_excess("flood", now_ms=end_ms) == pytest.approx(0.0, abs=1e-6)
    assert cut_down.get_share(now_ms=end_ms) == all_sent.get_share(now_ms=end_ms)
    for shares in (all_sent, cut_down):
        assert shares.get_excess("usual", now_ms=end_ms) == 0.0


def test_more_sent_than_arrived_counts_as_what_arrived() -> None:
    # A counter that was taken over by another workspace starts again.
    shares = make_shares()
    note_all(shares, {"a": 1_000.0, "b": 9_000.0}, served=5_000.0)
    for name in ("b", "c"):
        shares.note_sent(workspace=name, cost=20_000.0, now_ms=START_MS)
    dumped = shares.dump(now_ms=START_MS)
    assert isinstance(dumped, dict)
    assert dumped["b"]["work"] == dumped["b"]["demand"] == 9_000.0
    assert "c" not in dumped


def test_new_workspace_has_its_share_at_once() -> None:
    shares = make_shares()
    note_all(shares, {f"w{n}": 10_000.0 for n in range(250)}, served=100_000.0)
    assert shares.get_excess("new", now_ms=START_MS) == 0.0
    later_ms = START_MS + REFRESH_MS
    note_sent(shares, "new", 300.0, now_ms=later_ms)
    assert shares.get_excess("new", now_ms=later_ms) == 0.0
    assert shares.get_excess("w0", now_ms=later_ms) == pytest.approx(3.0)


def test_excess_ends_after_the_flood() -> None:
    shares = make_shares()
    for step in range(400):
        now_ms = START_MS + step * 100
        flood = 8 if step < 200 else 1
        for name, cost in (("a", 100.0 * flood), ("b", 100.0), ("c", 100.0)):
            note_sent(shares, name, cost, now_ms=now_ms)
        shares.note_served(cost=400.0 if flood > 1 else 300.0, now_ms=now_ms)
        if step == 199:
            assert shares.get_excess("a", now_ms=now_ms) > 2.0
    assert shares.get_excess("a", now_ms=now_ms) < 0.05
    assert shares.get_excess("b", now_ms=now_ms) == 0.0


def test_flood_is_recognised_within_a_second() -> None:
    shares = make_shares()
    for step in range(210):
        now_ms = START_MS + step * 100
        for name in ("a", "b", "c", "d"):
            cost = 800.0 if name == "a" and step >= 200 else 100.0
            note_sent(shares, name, cost, now_ms=now_ms)
        shares.note_served(cost=400.0, now_ms=now_ms)
    assert shares.get_excess("a", now_ms=now_ms) > 0.5


def test_idle_workspaces_are_not_active() -> None:
    shares = make_shares()
    note_all(shares, {"a": 1_000.0, "b": 9_000.0}, served=5_000.0)
    later_ms = START_MS + IDLE_MS + 1
    assert shares.dump(now_ms=later_ms) == {}
    assert shares.get_share(now_ms=later_ms) == math.inf


@pytest.mark.parametrize("elapsed_ms", [int(MAX_EXPONENT * WINDOW_MS) + 1, 400 * 86_400_000])
def test_counts_survive_any_time_without_requests(elapsed_ms: int) -> None:
    # The decay factor of a year is 0 as a float.
    shares = make_shares()
    note_all(shares, {"a": 1_000.0}, served=0.0)
    later_ms = START_MS + elapsed_ms
    assert shares.get_excess("a", now_ms=later_ms) == 0.0
    shares.note(workspace="b", cost=500.0, now_ms=later_ms)
    summary = shares.summarize(now_ms=later_ms)
    assert summary is not None
    assert summary.total == pytest.approx(500.0)


@pytest.mark.parametrize("cost", [0.0, -5.0, math.nan, math.inf, 1e300])
def test_false_costs_leave_the_figures_finite(cost: float) -> None:
    shares = make_shares()
    note_all(shares, {"a": cost, "b": 1_000.0}, served=cost)
    assert math.isfinite(shares.get_excess("a", now_ms=START_MS))
    assert shares.get_excess("b", now_ms=START_MS) == 0.0


@given(
    st.lists(st.tuples(st.integers(0, 12), st.floats(0.1, 100)), min_size=1, max_size=80),
    st.integers(1, 8),
)
def test_summary_bounds_every_true_sum(noted: list[tuple[int, float]], size: int) -> None:
    hitters = HeavyHitters(size=size, window_ms=WINDOW_MS)
    true: dict[str, float] = {}
    for number, amount in noted:
        hitters.add(f"k{number}", amount, now_ms=START_MS)
        true[f"k{number}"] = true.get(f"k{number}", 0.0) + amount
    sums = hitters.get_sums(now_ms=START_MS)
    assert len(sums) <= size
    assert hitters.get_total(now_ms=START_MS) == pytest.approx(sum(true.values()))
    most = hitters.get_max_uncounted(now_ms=START_MS)
    for key, amount in true.items():
        if key in sums:
            assert sums[key] <= amount * 1.000_001
        else:
            assert amount <= most * 1.000_001


def test_9500_equal_workspaces_have_no_excess_and_a_flood_has() -> None:
    rng = random.Random(7)
    shares = make_shares()
    seen: set[float] = set()
    for step in range(12_000):
        now_ms = START_MS + step * 3
        name = "flood" if step % 10 == 0 else f"w{rng.randrange(9_500)}"
        note_sent(shares, name, 1_000.0, now_ms=now_ms)
        if step % 5:
            shares.note_served(cost=1_000.0, now_ms=now_ms)
        # In the first second each has one request or none, and two are an excess.
        if name != "flood" and now_ms > START_MS + WINDOW_MS:
            seen.add(shares.get_excess(name, now_ms=now_ms))
    assert seen == {0.0}
    assert shares.get_excess("flood", now_ms=now_ms) > 1.0
    assert len(shares._own) <= TRACKED
    assert len(shares._demand) <= TRACKED


class Hour:
    """An hour of 24 workspaces, 4 of them large, that share an upstream with limited capacity."""

    USUAL: Final = {f"w{n:02}": 2.0 if n < 4 else 1.0 for n in range(24)}
    COST = 1_000.0
    TICKS_PER_S = 5
    FLOODING = "w10"
    FLOOD_S = range(600, 3_000)

    def __init__(self, *, factor: float, fair: bool, capacity: float = 30_000.0) -> None:
        # Work of a second; the usual demand is 28 requests of 1,000 tokens.
        self.capacity = capacity
        self.rng = random.Random(11)
        self.factor = factor
        self.fair = fair
        self.room = 0.0
        # Ticks and workspaces of requests that wait; they are refused after a second.
        self.waiting: list[tuple[int, str]] = []
        self.shares = make_shares()
        self.sent = dict.fromkeys(self.USUAL, 0)
        self.served = dict.fromkeys(self.USUAL, 0)

    def run(self) -> dict[str, float]:
        """Return the share of each workspace's requests that were served during the flood."""
        for tick in range(3_600 * self.TICKS_PER_S):
            self.run_tick(tick)
        return {name: self.served[name] / self.sent[name] for name in self.USUAL}

    def run_tick(self, tick: int) -> None:
        flooding = tick // self.TICKS_PER_S in self.FLOOD_S
        now_ms = START_MS + tick * 1_000 // self.TICKS_PER_S
        arrived = []
        for name, usual in self.USUAL.items():
            rate = usual * (self.factor if flooding and name == self.FLOODING else 1.0)
            arrived += [name] * int(rate / self.TICKS_PER_S + self.rng.random())
        self.rng.shuffle(arrived)
        for name in arrived:
            self.shares.note(workspace=name, cost=self.COST, now_ms=now_ms)
        waiting = [*self.waiting, *((tick, name) for name in arrived)]
        if self.fair:
            waiting.sort(key=lambda item: (self.shares.get_excess(item[1], now_ms=now_ms), item[0]))
        self.room = min(self.room, self.COST) + self.capacity / self.TICKS_PER_S
        admitted = waiting[: int(self.room / self.COST)]
        self.room -= len(admitted) * self.COST
        self.waiting = []
        for item in waiting[len(admitted) :]:
            if tick - item[0] < self.TICKS_PER_S:
                self.waiting.append(item)
        for _, name in admitted:
            self.shares.note_sent(workspace=name, cost=self.COST, now_ms=now_ms)
            self.shares.note_served(cost=self.COST, now_ms=now_ms)
        if flooding:
            for counts, names in ((self.sent, arrived), (self.served, [n for _, n in admitted])):
                for name in names:
                    counts[name] += 1


def test_hour_with_a_workspace_at_eight_times_its_usual_costs_the_others_nothing() -> None:
    usual = Hour(factor=1.0, fair=True).run()
    flooded = Hour(factor=8.0, fair=True).run()
    by_arrival = Hour(factor=8.0, fair=False).run()
    others = [name for name in flooded if name != Hour.FLOODING]
    # Without the shares, each of the others loses at least a tenth of its requests.
    assert max(by_arrival[name] for name in others) < 0.9
    assert min(flooded[name] - usual[name] for name in others) >= -0.01
    # The flooding workspace gets what the others leave, 3 of the 8 requests that it sends.
    assert flooded[Hour.FLOODING] == pytest.approx(3 / 8, rel=0.15)


@pytest.mark.parametrize("factor", [1.0, 8.0])
def test_no_workspace_starves_in_an_hour_with_two_thirds_of_the_capacity(factor: float) -> None:
    # Compared by all that it sends, a large workspace would always come after all small ones.
    served = Hour(factor=factor, fair=True, capacity=18_700.0).run()
    large = [served[f"w{number:02}"] for number in range(4)]
    small = [served[f"w{number:02}"] for number in range(4, 24) if number != 10]
    assert min(large) > sum(served.values()) / len(served) / 4
    assert min(small) > max(large)


@settings(max_examples=30)
@given(st.permutations(range(12)))
def test_shares_do_not_depend_on_the_order_of_requests(order: list[int]) -> None:
    shares = make_shares()
    for number in order:
        shares.note(workspace=f"w{number}", cost=100.0 * (1 + number), now_ms=START_MS)
    shares.note_served(cost=5_000.0, now_ms=START_MS)
    assert shares.get_share(now_ms=START_MS) == pytest.approx(get_reference_share())


def get_reference_share() -> float:
    return get_level([100.0 * (1 + number) for number in range(12)], capacity=5_000.0)


def test_dump_lists_the_largest_workspaces() -> None:
    shares = make_shares()
    note_all(shares, {f"w{n:02}": 1_000.0 + n for n in range(30)}, served=20_000.0)
    dumped = shares.dump(now_ms=START_MS)
    assert isinstance(dumped, dict)
    assert list(dumped) == [f"w{n:02}" for n in range(29, 9, -1)]
    assert dumped["w29"]["work"] == 1_029.0
    assert dumped["w29"]["share"] == pytest.approx(20_000 / 30, abs=0.1)
    assert dumped["w29"]["excess"] == pytest.approx(1_029 * 30 / 20_000 - 1, abs=0.001)
