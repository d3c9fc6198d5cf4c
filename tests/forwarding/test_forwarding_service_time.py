"""Admission control of plain services near and above capacity, simulated on a manual clock."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from bench.plain_replay import SERVICE, SLOTS, PlainReplay, Tally
from gypsumrouter.forwarding.service_time import (
    MAX_SAVED_PERMITS,
    AdmissionPermits,
    ServiceTimes,
    estimate_response_ms,
    get_queue_factor,
)
from gypsumrouter.mechanisms import Mechanism


def test_response_time_grows_with_the_queue() -> None:
    assert get_queue_factor(load=SLOTS - 1, slots=SLOTS) == 0
    assert get_queue_factor(load=2 * SLOTS - 1, slots=SLOTS) == 1
    assert estimate_response_ms(load=3 * SLOTS - 1, slots=SLOTS, service_ms=90) == 270


def test_service_time_is_estimated_with_and_without_a_queue() -> None:
    times = ServiceTimes()
    for _ in range(60):
        times.note(service=SERVICE, upstream="i-1", load=2, slots=SLOTS, elapsed_ms=90)
        times.note(service=SERVICE, upstream="i-2", load=11, slots=SLOTS, elapsed_ms=80)
    assert times.get(service=SERVICE, upstream="i-1") == pytest.approx(90, abs=1)
    assert times.get(service=SERVICE, upstream="i-2") == pytest.approx(40, abs=1)
    assert times.get(service=SERVICE, upstream="i-3") is not None
    assert times.get(service="other", upstream="i-9") is None


def test_single_slow_response_hardly_changes_the_estimate() -> None:
    times = ServiceTimes()
    for elapsed_ms in (90, 90, 90, 5_000):
        times.note(service=SERVICE, upstream="i-1", load=0, slots=SLOTS, elapsed_ms=elapsed_ms)
    current_ms = times.get(service=SERVICE, upstream="i-1")
    assert current_ms is not None
    assert current_ms < 130


def play(
    *, pressure: float, upstreams: int, work_ms: float = 90.0, without: Iterable[Mechanism] = ()
) -> Tally:
    """Run the same load with several seeds and return the summed tallies."""
    total = Tally()
    for seed in range(1, 4):
        replay = PlainReplay(
            work_ms=work_ms, upstreams=upstreams, without=frozenset(without), seed=seed
        )
        tally = replay.play(pressure=pressure, duration_ms=120 * work_ms)
        assert tally.in_time + tally.late + tally.refused == tally.requests
        total.requests += tally.requests
        total.in_time += tally.in_time
        total.late += tally.late
        total.refused += tally.refused
    return total


@pytest.mark.parametrize("work_ms", [22.5, 90.0, 360.0])
@pytest.mark.parametrize("upstreams", [2, 3])
def test_nearly_all_requests_are_in_time_below_capacity(work_ms: float, upstreams: int) -> None:
    """Without spreading, all routers follow the same old reports and fill one queue at a time."""
    tally = play(pressure=0.85, upstreams=upstreams, work_ms=work_ms)
    assert tally.in_time > 0.97 * tally.requests
    baseline = play(
        pressure=0.85,
        upstreams=upstreams,
        work_ms=work_ms,
        without=(Mechanism.PLAIN_OWN_LOAD, Mechanism.DEADLINE_ADMISSION),
    )
    assert baseline.in_time < 0.95 * baseline.requests


@pytest.mark.parametrize("work_ms", [22.5, 90.0, 360.0])
@pytest.mark.parametrize("upstreams", [1, 2])
def test_refusing_late_requests_puts_more_in_time_above_capacity(
    work_ms: float, upstreams: int
) -> None:
    tally = play(pressure=1.15, upstreams=upstreams, work_ms=work_ms)
    baseline = play(
        pressure=1.15,
        upstreams=upstreams,
        work_ms=work_ms,
        without=(Mechanism.DEADLINE_ADMISSION,),
    )
    assert tally.in_time > baseline.in_time
    assert tally.credit > baseline.credit + 0.1
    # Most of the admitted requests are in time.
    assert tally.in_time > 2 * tally.late


def test_saved_permits_are_bounded_and_refilled() -> None:
    permits = AdmissionPermits()
    for _ in range(int(MAX_SAVED_PERMITS)):
        assert permits.has_permit("s", per_ms=0.01, now_ms=1_000)
        permits.spend("s")
    assert not permits.has_permit("s", per_ms=0.01, now_ms=1_050)
    assert permits.has_permit("s", per_ms=0.01, now_ms=1_100)
    assert permits.has_permit("other", per_ms=0.01, now_ms=1_100)
