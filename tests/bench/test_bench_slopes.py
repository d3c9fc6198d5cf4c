"""Tests of linear fits, cost equations and log parsing used by the benchmarks."""

from __future__ import annotations

import pytest

from bench.costs import MeasuredLoad, solve_costs
from bench.in_force import count_rollbacks, measure_delays, parse_log
from bench.slope_math import fit_kinds, fit_line, get_mean_rate, sum_at


def test_linear_fit_extrapolates_exact_points() -> None:
    line = fit_line([(4, 140.0), (8, 180.0), (32, 420.0)])

    assert line.slope == pytest.approx(10.0)
    assert line.base == pytest.approx(100.0)
    assert line.at(930) == pytest.approx(9_400.0)


def test_fit_of_single_size_is_constant_and_of_none_is_an_error() -> None:
    assert fit_line([(8, 5.0), (8, 7.0)]).at(930) == pytest.approx(6.0)
    with pytest.raises(ValueError, match="at least one point"):
        fit_line([])


def test_extrapolated_value_is_never_negative() -> None:
    assert fit_line([(0, 10.0), (10, 0.0)]).at(930) == 0.0


def test_missing_kind_counts_as_zero() -> None:
    lines = fit_kinds([(4, {"status": 40.0}), (8, {"status": 80.0, "heartbeat": 8.0})])

    assert lines["heartbeat"].at(8) == pytest.approx(8.0)
    assert lines["heartbeat"].at(4) == pytest.approx(0.0)
    assert sum_at(lines, 8) == pytest.approx(88.0)


def test_request_and_token_costs_are_solved_from_two_mixtures() -> None:
    many = MeasuredLoad(requests_s=5.0, tokens_s=1_000.0, core_share=5 * 0.002 + 1_000 * 0.00005)
    few = MeasuredLoad(requests_s=50.0, tokens_s=100.0, core_share=50 * 0.002 + 100 * 0.00005)

    costs = solve_costs(many, few)

    assert costs.request_us == pytest.approx(2_000.0)
    assert costs.token_us == pytest.approx(50.0)
    with pytest.raises(ValueError, match="same mixture"):
        solve_costs(many, many)


def test_mean_rate_over_a_day() -> None:
    assert get_mean_rate(86_400.0, times=2) == pytest.approx(2.0)


def test_delays_count_higher_versions_and_are_infinite_if_never_in_force() -> None:
    events = {"a": [(1, 1_000), (2, 2_500)], "b": [(1, 1_000), (3, 4_000)], "c": [(1, 1_000)]}

    assert measure_delays(events, {2: 2_000}, [2]) == [0.5, 2.0, float("inf")]
    assert count_rollbacks(events) == 0
    assert count_rollbacks({"d": [(3, 1_000), (2, 2_000), (2, 3_000)]}) == 2


def test_in_force_times_are_parsed_from_log() -> None:
    lines = (
        "2026-01-19 10:00:00,250 INFO [side-1] [-] gypsumrouter.configuration.store:"
        " Configuration 7 is in force\n"
        "2026-01-19 10:00:00,900 INFO [side-1] [-] gypsumrouter.daemon: Started\n"
        "2026-01-19 10:00:01,500 INFO [side-1] [-] gypsumrouter.configuration.store:"
        " Configuration 8 is in force\n"
    )

    (first, began_ms), (second, ended_ms) = parse_log(lines)

    assert (first, second) == (7, 8)
    assert ended_ms - began_ms == 1_250
