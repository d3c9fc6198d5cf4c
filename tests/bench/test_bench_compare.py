"""Ways of deciding, compared over the same loads."""

from __future__ import annotations

import pytest

from bench.compare import DECISIONS, PlainLoad, compare, get_win_share, main
from bench.plain_replay import Tally


def test_each_way_plays_the_same_requests() -> None:
    load = PlainLoad(offered_load=0.85, upstreams=2)
    results = compare(DECISIONS["plain"], load, 1)
    assert len({tallies[0].asked for tallies in results.values()}) == 1
    assert all(tally.asked for tallies in results.values() for tally in tallies)


def test_the_same_seed_is_played_the_same_way() -> None:
    load = PlainLoad(offered_load=1.15, upstreams=1)
    assert compare(DECISIONS["plain"], load, 1) == compare(DECISIONS["plain"], load, 1)


def test_seeds_are_won_by_credit() -> None:
    better, worse = Tally(asked=4, in_time=3), Tally(asked=4, in_time=1, late=3)
    results = {"one": [better, worse], "other": [worse, worse]}
    assert get_win_share(results, "one") == 1.0
    assert get_win_share(results, "other") == 0.5


def test_the_kept_way_of_each_decision_is_not_beaten_over_its_loads() -> None:
    """The mean over loads; a single load may go to another variant."""
    for decision in DECISIONS.values():
        credits_ = {variant.name: 0.0 for variant in decision.variants}
        for load in decision.loads:
            for name, tallies in compare(decision, load, 2).items():
                credits_[name] += sum(tally.credit for tally in tallies)
        assert max(credits_, key=lambda name: credits_[name]) == decision.variants[0].name


def test_an_unknown_decision_is_refused() -> None:
    with pytest.raises(SystemExit):
        main(["weather"])
