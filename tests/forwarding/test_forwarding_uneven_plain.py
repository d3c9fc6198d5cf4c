"""Plain upstreams of which one is slow, shares its machine or reports a false load, replayed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import pytest
from load_report_machines import LyingMachine, ReportingMachine

from bench.plain_replay import Machine, PlainReplay, Tally
from gypsumrouter.mechanisms import Mechanism

WORK_MS = 90.0
NAMES = ("i-0", "i-1", "i-2")
BEFORE = frozenset({Mechanism.LOAD_REPORTS})


def play(
    *,
    pressure: float,
    machines: Mapping[str, Machine],
    without: Iterable[Mechanism] = (),
    seeds: Iterable[int] = (1, 2, 3),
    duration_ms: float = 20_000,
) -> tuple[Tally, Counter[str]]:
    """Run the same load with several seeds; return the sums of tallies and served requests."""
    total, served = Tally(), Counter[str]()
    for seed in seeds:
        replay = PlainReplay(
            work_ms=WORK_MS,
            upstreams=len(NAMES),
            without=frozenset(without),
            seed=seed,
            machines=machines,
        )
        tally = replay.play(pressure=pressure, duration_ms=duration_ms)
        total.requests += tally.requests
        total.in_time += tally.in_time
        total.late += tally.late
        total.refused += tally.refused
        served.update(replay.count_served())
    return total, served


def make_machines(first: ReportingMachine) -> dict[str, ReportingMachine]:
    """Return machines of which only the first one is not as usual."""
    return {NAMES[0]: first} | {name: ReportingMachine() for name in NAMES[1:]}


@pytest.mark.parametrize("pace", [2.5, 4.0])
def test_one_slow_plain_upstream_makes_fewer_requests_late(pace: float) -> None:
    """Guards against requests that wait at a slow upstream while another has a free slot."""
    machines = make_machines(ReportingMachine(pace=pace, varies=True))
    before, _ = play(pressure=0.6, machines=machines, without=BEFORE)
    after, _ = play(pressure=0.6, machines=machines)
    assert after.requests - after.in_time < 0.7 * (before.requests - before.in_time)


def test_third_of_the_time_of_a_machine_goes_elsewhere() -> None:
    """Guards against admission that counts on throughput which the machine does not have."""
    machines = make_machines(ReportingMachine(pace=1.5, varies=True))
    below, _ = play(pressure=0.6, machines=machines)
    assert below.in_time > 0.99 * below.requests
    before, _ = play(pressure=1.15, machines=machines, without=BEFORE)
    after, _ = play(pressure=1.15, machines=machines)
    assert after.in_time > before.in_time + 0.03 * before.requests
    assert after.credit > before.credit


@pytest.mark.parametrize("pressure", [0.6, 0.85, 1.15])
def test_equal_upstreams_that_report_serve_no_less_than_before(pressure: float) -> None:
    """Guards against herding: all routers see the same reports."""
    machines = {name: ReportingMachine() for name in NAMES}
    before, _ = play(pressure=pressure, machines=machines, without=BEFORE)
    after, _ = play(pressure=pressure, machines=machines)
    assert after.in_time > before.in_time - 0.003 * before.requests


def test_upstreams_that_report_nothing_are_served_as_before() -> None:
    for machines in ({}, {"i-0": _SilentSlowMachine()}):
        before = play(pressure=0.85, machines=machines, without=BEFORE, seeds=(1,))
        after = play(pressure=0.85, machines=machines, seeds=(1,))
        assert after == before


class _SilentSlowMachine(ReportingMachine):
    """Works at half speed and reports nothing."""

    def __init__(self) -> None:
        super().__init__(pace=2.0)

    def make_report(self, *, held: int, at_ms: float) -> None:
        """Return None."""


@pytest.mark.parametrize(
    "liar",
    [
        LyingMachine(held=0, true_pace=4.0),
        LyingMachine(held=0, pace=0.01, true_pace=4.0),
        LyingMachine(held=0, pace=0.01),
    ],
)
def test_upstream_that_reports_to_be_idle_does_not_attract_all_work(liar: ReportingMachine) -> None:
    tally, served = play(pressure=0.6, machines=make_machines(liar))
    before, _ = play(pressure=0.6, machines=make_machines(liar), without=BEFORE)
    assert served["i-0"] < 0.36 * served.total()
    assert tally.in_time > before.in_time - 0.01 * before.requests


@pytest.mark.parametrize(
    "liar", [LyingMachine(held=30), LyingMachine(held=0, pace=100), LyingMachine(held=30, pace=100)]
)
@pytest.mark.parametrize("pressure", [0.3, 0.6])
def test_upstream_that_reports_to_be_full_keeps_a_share(
    liar: ReportingMachine, pressure: float
) -> None:
    tally, served = play(pressure=pressure, machines=make_machines(liar))
    assert served["i-0"] > 0.1 * served.total()
    assert tally.in_time > 0.99 * tally.requests


def test_upstream_that_no_longer_reports_a_false_load_regains_its_share() -> None:
    """Guards against a bad opinion of an upstream that outlasts its cause by more than 2 s."""
    repaired_ms = 6_000.0
    liar = LyingMachine(held=30, pace=100, until_ms=repaired_ms)
    machines = make_machines(liar)
    play(pressure=0.6, machines=machines)
    counts = {
        name: sum(at_ms > repaired_ms + 2_000 for at_ms in machine.answered_ms)
        for name, machine in machines.items()
    }
    assert counts["i-0"] > 0.28 * sum(counts.values())
