"""Ways of deciding, compared over the same loads."""

from __future__ import annotations

import pytest

from bench.compare import DECISIONS, PlainLoad, compare, count_won, main
from bench.plain_replay import Tally


def test_each_way_plays_the_same_requests() -> None:
    load = PlainLoad(pressure=0.85, upstreams=2)
    played = compare(DECISIONS["plain"], load, 1)
    assert len({tallies[0].requests for tallies in played.values()}) == 1
    assert all(tally.requests for tallies in played.values() for tally in tallies)


def test_the_same_seed_is_played_the_same_way() -> None:
    load = PlainLoad(pressure=1.15, upstreams=1)
    assert compare(DECISIONS["plain"], load, 1) == compare(DECISIONS["plain"], load, 1)


def test_seeds_are_won_by_credit() -> None:
    better, worse = Tally(requests=4, in_time=3), Tally(requests=4, in_time=1, late=3)
    played = {"one": [better, worse], "other": [worse, worse]}
    assert count_won(played, "one") == 1.0
    assert count_won(played, "other") == 0.5


def test_the_kept_way_of_each_decision_is_not_beaten_over_its_loads() -> None:
    """The mean over loads; a single load may go to another way."""
    for decision in DECISIONS.values():
        credits_ = {way.name: 0.0 for way in decision.ways}
        for load in decision.loads:
            for name, tallies in compare(decision, load, 2).items():
                credits_[name] += sum(tally.credit for tally in tallies)
        assert max(credits_, key=lambda name: credits_[name]) == decision.ways[0].name


def test_an_unknown_decision_is_refused() -> None:
    with pytest.raises(SystemExit):
        main(["weather"])
