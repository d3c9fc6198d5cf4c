"""Tests of the comparison of algorithm variants over the same loads."""

from __future__ import annotations

import pytest

from bench.compare import DECISIONS, PlainLoad, compare, get_win_share, main
from bench.plain_replay import Tally


def test_all_variants_replay_the_same_requests() -> None:
    load = PlainLoad(offered_load=0.85, upstreams=2)
    results = compare(DECISIONS["plain"], load, 1)
    assert len({tallies[0].requests for tallies in results.values()}) == 1
    assert all(tally.requests for tallies in results.values() for tally in tallies)


def test_replay_is_deterministic_for_a_seed() -> None:
    load = PlainLoad(offered_load=1.15, upstreams=1)
    assert compare(DECISIONS["plain"], load, 1) == compare(DECISIONS["plain"], load, 1)


def test_win_share_compares_credit_by_seed() -> None:
    better, worse = Tally(requests=4, in_time=3), Tally(requests=4, in_time=1, late=3)
    results = {"one": [better, worse], "other": [worse, worse]}
    assert get_win_share(results, "one") == 1.0
    assert get_win_share(results, "other") == 0.5


def test_variant_in_use_has_the_highest_credit_over_all_loads() -> None:
    """Compares the sum over all loads; for a single load, another variant may be better."""
    for decision in DECISIONS.values():
        credits_ = {variant.name: 0.0 for variant in decision.variants}
        for load in decision.loads:
            for name, tallies in compare(decision, load, 2).items():
                credits_[name] += sum(tally.credit for tally in tallies)
        assert max(credits_, key=lambda name: credits_[name]) == decision.variants[0].name


def test_unknown_decision_is_rejected() -> None:
    with pytest.raises(SystemExit):
        main(["weather"])
