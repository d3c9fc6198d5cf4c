"""The checks of streams taken up at routers out of step detect joins, and a short soak has none."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from bench.soak_out_of_step import (
    Shape,
    Taken,
    async_soak_out_of_step,
    check_taken,
    count_results,
)
from bench.soak_rig import ENV_KEY, KEY

FORWARDERS = 4
SHAPES = (Shape.CUT, Shape.STOPPED_ALL, Shape.CALM)


def make_taken(
    *, first: str = "v1", second: str = "v1", shape: Shape = Shape.CUT, status: int = 200
) -> Taken:
    return Taken(
        shape=shape,
        request_id="r",
        out_of_step=True,
        states_start=False,
        first=[first],
        second=[second] if status == 200 else [],
        status=status,
    )


def test_joined_versions_are_detected() -> None:
    taken = [make_taken(), make_taken(first="v2"), make_taken(status=503)]
    assert [violation.guarantee for violation in check_taken(taken)] == ["joined versions"]
    assert count_results(taken) == {
        "cut": {"goes on": 1, "joined": 1, "refused": 1, "median_ms": 0}
    }


def test_refusals_at_calm_routers_are_detected() -> None:
    taken = [make_taken(shape=Shape.CALM), make_taken(shape=Shape.CALM, status=503)]
    assert [violation.guarantee for violation in check_taken(taken)] == ["streams do not go on"]


@pytest.mark.parametrize("seed", [1, 2])
async def test_short_soak_of_routers_out_of_step_has_no_violations(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(os.environ, ENV_KEY, KEY)
    figures, violations, rig = await async_soak_out_of_step(
        seed=seed, folder=tmp_path, forwarders=FORWARDERS, shapes=SHAPES
    )
    assert violations == []
    # Without streams that are taken up there is nothing that could have been joined.
    assert int(str(figures["taken_up"])) > 100
    decided = [line for line in rig.read_journals() if line.get("event") == "stream_taken_up"]
    assert all(line["voices"] for line in decided)
