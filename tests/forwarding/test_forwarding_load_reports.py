"""Loads and paces that upstreams report: averages, estimates and the choice of an upstream."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping

import pytest
from hypothesis import given
from hypothesis import strategies as st
from load_report_machines import make_report

from bench.plain_replay import SERVICE, SLOTS
from bench.replay_placer import make_ready_entry, make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.load_reports import (
    MAX_PACE,
    MIN_PACE,
    PACE_HALF_LIFE_MS,
    REPORT_TTL_MS,
    USUAL_PACE,
    LoadReports,
)
from gypsumrouter.forwarding.models import LoadReport, ResponseMetadata
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placement import (
    CLEARLY_SLOWER,
    MAX_SLOWNESS,
    Candidate,
    Cap,
    choose_plain,
)
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.plain_admission import PlainAdmission
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.util.clock import ManualClock

NAMES = ("i-0", "i-1", "i-2")
CAP = Cap(factor=2.0, slack=3.0)
DRAWS = 3_000
IGNORED = "gypsumrouter_load_reports_ignored_total"


def make_candidate(upstream: str, *, load: int = 0, own_load: int = 0) -> Candidate:
    return Candidate(
        upstream=upstream, load=load, own_load=own_load, slots=SLOTS, same_data_centre=True
    )


def make_placement(upstream: str, *, load: int = 0) -> Placement:
    entry = make_ready_entry(upstream, service=SERVICE, slots=SLOTS)
    return Placement(entry=entry, load=load, mean_load=0.0, missing_tokens=0, candidates=1)


def count_choices(
    candidates: list[Candidate], expected_ms: Mapping[str, float] | None = None
) -> Counter[str]:
    """Return how often each candidate is chosen; each draw is one of many routers' decisions."""
    random.seed(1)
    chosen = (
        choose_plain(candidates, cap=CAP, mean=5.0, expected_ms=expected_ms or {})
        for _ in range(DRAWS)
    )
    return Counter(c.upstream for c in chosen if c is not None)


def test_pace_is_unknown_without_reports() -> None:
    reports = LoadReports()
    assert reports.get_pace("i-0", now_ms=0) == USUAL_PACE
    reports.note("i-0", make_report(3), now_ms=0)
    assert reports.get_pace("i-0", now_ms=0) == USUAL_PACE


def test_pace_is_an_average_over_some_hundred_milliseconds() -> None:
    """Guards against decisions that follow each of the many changes in a second."""
    reports = LoadReports()
    for number in range(100):
        reports.note("i-0", make_report(3, 3.0 if number % 2 else 1.0), now_ms=number * 50)
    assert reports.get_pace("i-0", now_ms=99 * 50) == pytest.approx(2.0, abs=0.2)
    # After a second at another pace, the former one hardly counts.
    for number in range(100, 120):
        reports.note("i-0", make_report(3, 1.0), now_ms=number * 50)
    assert reports.get_pace("i-0", now_ms=119 * 50) == pytest.approx(1.0, abs=0.15)


def test_pace_decays_to_unknown_after_the_last_report() -> None:
    """Guards against an upstream that is avoided for good because it gets no more requests."""
    reports = LoadReports()
    for number in range(100):
        reports.note("i-0", make_report(3, 3.0), now_ms=number)
    assert reports.get_pace("i-0", now_ms=99) == pytest.approx(3.0)
    assert reports.get_pace("i-0", now_ms=99 + PACE_HALF_LIFE_MS) == pytest.approx(2.0)
    assert reports.get_pace("i-0", now_ms=100 + REPORT_TTL_MS) == USUAL_PACE


def test_pace_of_a_removed_upstream_is_forgotten() -> None:
    reports = LoadReports()
    reports.note("i-0", make_report(3, 3.0), now_ms=0)
    reports.forget("i-0")
    assert reports.get_pace("i-0", now_ms=0) == USUAL_PACE


@given(st.lists(st.tuples(st.integers(0, 5_000), st.floats(0.01, 1_000.0)), max_size=20))
def test_pace_stays_within_its_limits(noted: list[tuple[int, float]]) -> None:
    """Guards against a false pace that makes an upstream look free of cost or unusable."""
    reports = LoadReports()
    for now_ms, pace in noted:
        reports.note("i-0", make_report(0, pace), now_ms=now_ms)
    assert MIN_PACE <= reports.get_pace("i-0", now_ms=5_000) <= MAX_PACE


def test_slow_moment_counts_once_in_the_expected_completion() -> None:
    """Guards against a pace that is multiplied by a service time measured at that pace."""
    reports = LoadReports()
    plain = PlainAdmission(count_routers=lambda: 1, reports=reports)
    for now_ms in range(0, 2_000, 50):
        reports.note("i-0", make_report(0, 2.0), now_ms=now_ms)
        plain.note_answered(make_placement("i-0"), elapsed_ms=180, now_ms=now_ms)
    expected_ms = plain.estimate_all(SERVICE, [make_candidate("i-0")], now_ms=2_000)
    assert expected_ms["i-0"] == pytest.approx(180, rel=0.05)
    # Back at the usual pace, it is expected to be as fast as usual at once.
    for now_ms in range(2_000, 3_500, 50):
        reports.note("i-0", make_report(0, 1.0), now_ms=now_ms)
    expected_ms = plain.estimate_all(SERVICE, [make_candidate("i-0")], now_ms=3_450)
    assert expected_ms["i-0"] == pytest.approx(90, rel=0.1)


def test_steadily_slow_upstream_is_expected_to_be_slow_between_reports() -> None:
    """Guards against an estimate that forgets a slow upstream when its reports are rare."""
    reports = LoadReports()
    plain = PlainAdmission(count_routers=lambda: 1, reports=reports)
    for now_ms in range(0, 40_000, 1_000):
        reports.note("i-0", make_report(0, 3.0), now_ms=now_ms)
        plain.note_answered(make_placement("i-0"), elapsed_ms=270, now_ms=now_ms)
    expected_ms = plain.estimate_all(SERVICE, [make_candidate("i-0")], now_ms=39_900)
    assert expected_ms["i-0"] == pytest.approx(270, rel=0.1)


@pytest.mark.parametrize(("counted", "reported"), [(11, 0), (0, 11)])
def test_larger_of_counted_and_reported_load_is_expected(counted: int, reported: int) -> None:
    reports = LoadReports()
    plain = PlainAdmission(count_routers=lambda: 1, reports=reports)
    plain.note_answered(make_placement("i-0"), elapsed_ms=90, now_ms=0)
    reports.note("i-0", make_report(reported), now_ms=0)
    candidate = make_candidate("i-0", load=counted)
    assert plain.estimate_all(SERVICE, [candidate], now_ms=0)["i-0"] == pytest.approx(180)
    admitted = [
        plain.admit(service=SERVICE, entries=(), chosen=candidate, limit_ms=200, now_ms=0)
        for _ in range(5)
    ]
    assert isinstance(admitted[-1], PlacementRefusal)


def test_nothing_is_expected_without_recent_reports() -> None:
    """Guards against a change for services whose upstreams report nothing."""
    reports = LoadReports()
    candidates = [make_candidate(name) for name in NAMES]
    for plain in (
        PlainAdmission(count_routers=lambda: 1, reports=reports),
        PlainAdmission(count_routers=lambda: 1),
    ):
        plain.note_answered(make_placement("i-0"), elapsed_ms=90, now_ms=0)
        assert plain.estimate_all(SERVICE, candidates, now_ms=0) == {}
    reports.note("i-0", make_report(3, 2.0), now_ms=0)
    plain = PlainAdmission(count_routers=lambda: 1, reports=reports)
    plain.note_answered(make_placement("i-0"), elapsed_ms=90, now_ms=0)
    assert plain.estimate_all(SERVICE, candidates, now_ms=0).keys() == set(NAMES)
    assert plain.estimate_all(SERVICE, candidates, now_ms=REPORT_TTL_MS + 1) == {}


def test_own_load_decides_between_upstreams_of_similar_speed() -> None:
    """Guards against routers that all follow the same report to the same upstream."""
    busy, idle = make_candidate("i-0", own_load=1), make_candidate("i-1")
    chosen = count_choices([busy, idle], {"i-0": 100.0, "i-1": 100.0 * CLEARLY_SLOWER})
    assert chosen == {"i-1": DRAWS}


def test_equal_upstreams_get_equal_shares() -> None:
    candidates = [make_candidate(name) for name in NAMES]
    chosen = count_choices(candidates, dict.fromkeys(NAMES, 90.0))
    assert all(chosen[name] == pytest.approx(DRAWS / 3, rel=0.1) for name in NAMES)


def test_ties_are_weighed_by_expected_completion() -> None:
    candidates = [make_candidate("i-0"), make_candidate("i-1", load=9)]
    chosen = count_choices(candidates, {"i-0": 135.0, "i-1": 90.0})
    assert chosen["i-1"] == pytest.approx(DRAWS * 0.6, rel=0.1)


def test_clearly_slower_upstream_is_passed_over_but_keeps_a_share() -> None:
    """Guards against an upstream that wrongly appears slow and is never tried again."""
    slow, fast = make_candidate("i-0"), make_candidate("i-1", own_load=1)
    assert count_choices([slow, fast])["i-0"] == DRAWS
    chosen = count_choices([slow, fast], {"i-0": 400.0, "i-1": 100.0})
    assert chosen["i-0"] == pytest.approx(DRAWS * CLEARLY_SLOWER / 4, rel=0.1)
    chosen = count_choices([slow, fast], {"i-0": 1e9, "i-1": 1.0})
    assert chosen["i-0"] == pytest.approx(DRAWS * CLEARLY_SLOWER / MAX_SLOWNESS, rel=0.1)


@given(
    st.lists(st.tuples(st.integers(0, 40), st.integers(0, 9), st.floats(0, 1e9)), min_size=1),
    st.floats(0, 40),
)
def test_some_candidate_is_always_chosen(values: list[tuple[int, int, float]], mean: float) -> None:
    """Guards against a request that fails because every upstream was passed over."""
    candidates = [
        make_candidate(f"i-{number}", load=load, own_load=own)
        for number, (load, own, _) in enumerate(values)
    ]
    expected_ms = {f"i-{number}": ms for number, (_, _, ms) in enumerate(values) if ms > 1}
    assert choose_plain(candidates, cap=CAP, mean=mean, expected_ms=expected_ms) in candidates


def apply_reports(
    *stated: tuple[bool, LoadReport | None], without: frozenset[Mechanism] = frozenset()
) -> tuple[Placer, str]:
    """Apply responses of an upstream to a placer; return it and its metrics."""
    clock = ManualClock(now_ms=1_000)
    app = Application(name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
    journal = Journal(app=app)
    placer = make_replay_placer(
        app=app,
        journal=journal,
        directory=Directory(app=app, journal=journal),
        cap=CAP,
        without=without,
    )
    for reports_load, load in stated:
        metadata = ResponseMetadata(
            request_id=None,
            signed=True,
            not_run=False,
            content_encoded=False,
            is_event_stream=False,
            keep_alive_ms=None,
            reports_load=reports_load,
            load=load,
        )
        placer.apply_response_metadata(make_placement("i-0").entry, metadata)
    return placer, app.metrics.render().decode()


def test_malformed_reports_are_counted() -> None:
    """Guards against reports that are ignored unnoticed, and against counting absent ones."""
    placer, metrics = apply_reports((False, None), (True, make_report(3, 2.0)), (True, None))
    assert f"{IGNORED} 1" in metrics
    assert placer.load_reports.get_pace("i-0", now_ms=1_000) == 2.0


def test_reports_are_not_used_when_switched_off() -> None:
    """Guards against a part of the mechanism that stays on."""
    placer, metrics = apply_reports(
        (True, make_report(3, 2.0)), (True, None), without=frozenset({Mechanism.LOAD_REPORTS})
    )
    assert f"{IGNORED} 1" not in metrics
    assert placer.load_reports.get_held("i-0", now_ms=1_000) is None
    assert placer.load_reports.get_pace("i-0", now_ms=1_000) == USUAL_PACE
