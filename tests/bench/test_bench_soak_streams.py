"""The checks of streams that are taken up detect violations, and a short soak has none."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from bench.soak import async_soak
from bench.soak_rig import ENV_KEY, EVENTS, KEY
from bench.soak_streams import MIN_TAKEN_UP, StreamEvent, Try, check_going_on, check_streams

FORWARDERS = 5


def make_try(*numbers: int, version: str = "v1", status: int = 200, complete: bool = False) -> Try:
    events = [StreamEvent(number=number, version=version) for number in numbers]
    return Try(
        request_id="r",
        forwarder=0,
        upstreams=2,
        bound=True,
        status=status,
        events=events,
        complete=complete,
    )


def list_guarantees(*tries: Try) -> list[str]:
    return [violation.guarantee for violation in check_streams([tries])]


def test_stream_that_goes_on_at_its_version_is_accepted() -> None:
    rest = range(3, EVENTS + 1)
    assert list_guarantees(make_try(1, 2), make_try(status=503), make_try(*rest)) == []
    assert list_guarantees(make_try(1, 2), make_try(*rest, complete=True)) == []


def test_violations_of_streams_are_detected() -> None:
    assert list_guarantees(make_try(1), make_try(2, version="v2")) == ["joined versions"]
    assert list_guarantees(make_try(1), make_try(3)) == ["events lost or repeated"]
    assert list_guarantees(make_try(1, 2), make_try(2)) == ["events lost or repeated"]
    cut = make_try(1, 2, complete=True)
    assert list_guarantees(cut) == ["broken off and framed as complete"]


@pytest.mark.parametrize(("went_on", "kept"), [(MIN_TAKEN_UP, True), (2, False)])
def test_streams_that_rarely_go_on_are_detected(went_on: int, kept: bool) -> None:
    streams = [
        [make_try(1), make_try(2) if number < went_on else make_try(status=503)]
        for number in range(MIN_TAKEN_UP)
    ]
    assert (not list(check_going_on(streams))) is kept


# Seed 1: a forwarder that started again learned of upstreams from a peer, without their versions.
# Seed 2: routers and engines are disturbed, the store and the paths to it are not.
@pytest.mark.parametrize("seed", [2, 1])
async def test_short_soak_with_versions_has_no_violations(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(os.environ, ENV_KEY, KEY)
    figures, kept = await async_soak(
        seed=seed, seconds=7.0, folder=tmp_path, versions=True, forwarders=FORWARDERS
    )
    assert kept, figures["violations"]
    assert figures["answered"]
