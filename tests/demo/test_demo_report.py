"""The verdict of the demo: good only when every answer was whole."""

from __future__ import annotations

import json

import pytest

from bench.tally import Tally
from gypsumrouter.demo.report import print_outcome


@pytest.mark.parametrize(
    ("tallies", "doubled_runs", "good"),
    [
        ([Tally(requests=2, whole=2), Tally(requests=1, whole=1)], 0, True),
        ([Tally()], 0, False),
        ([Tally(requests=2, whole=1, lost=1)], 0, False),
        ([Tally(requests=2, whole=1, not_run=1)], 0, False),
        ([Tally(requests=2, whole=1, truncated=1)], 0, False),
        ([Tally(requests=2, whole=1, crossed=1)], 0, False),
        ([Tally(requests=2, whole=2)], 1, False),
    ],
)
def test_the_demo_is_good_only_when_every_answer_was_whole(
    tallies: list[Tally], doubled_runs: int, good: bool, capsys: pytest.CaptureFixture[str]
) -> None:
    assert print_outcome(tallies, doubled_runs=doubled_runs) is good
    figures = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert figures.keys() == {"requests", "whole", "lost", "doubled", "crossed"}
    assert figures["doubled"] == doubled_runs
