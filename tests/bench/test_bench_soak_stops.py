"""The soak of stops: its checks detect violations, and a short run of one seed has none."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.raw_caller import Answer, End
from bench.soak_rig import ENV_KEY, KEY
from bench.soak_stops import (
    KEPT_S,
    LAST_SHARE,
    LATE_S,
    STOP_S,
    Asked,
    Stop,
    async_soak_stops,
    check_cut,
    check_kept,
    check_served,
    check_stops,
)

STOP = Stop(forwarder=0, at_s=100.0, ended_s=100.0 + STOP_S)
PAUSES_S = (0.05, 0.01)
CUT_S = STOP.at_s + LAST_SHARE * STOP_S


def make_asked(
    *,
    sent_s: float,
    ended_s: float = CUT_S,
    end: End = End.RESET,
    status: int = 200,
    forwarder: int = 0,
    kept: bool = False,
    tokens: int = 1_000,
) -> Asked:
    answer = Answer(request_id="a", sent_s=sent_s, ended_s=ended_s, end=end, status=status)
    return Asked(forwarder=forwarder, answer=answer, kept=kept, tokens=tokens)


@pytest.mark.parametrize(
    ("asked", "broken"),
    [
        (make_asked(sent_s=STOP.at_s - 1), False),
        (make_asked(sent_s=STOP.at_s - 1, ended_s=CUT_S - 0.1), True),
        (make_asked(sent_s=STOP.at_s + LATE_S), False),
        (make_asked(sent_s=STOP.at_s + LATE_S + 0.1), True),
        (make_asked(sent_s=STOP.at_s + LATE_S + 0.1, tokens=1), False),
        (make_asked(sent_s=STOP.at_s - 1, ended_s=CUT_S - 0.1, end=End.CLOSED), True),
        (make_asked(sent_s=STOP.at_s - 1, ended_s=CUT_S - 0.1, end=End.WHOLE), False),
        (make_asked(sent_s=STOP.at_s - 1, ended_s=CUT_S - 0.1, forwarder=1), False),
        (make_asked(sent_s=STOP.ended_s + 0.1, ended_s=STOP.ended_s + 1), False),
    ],
)
def test_streams_that_are_cut_early_or_were_sent_late_are_found(asked: Asked, broken: bool) -> None:
    assert bool(list(check_cut([asked], [STOP], {"a": PAUSES_S}))) is broken
    # What did not run was not cut.
    assert list(check_cut([asked], [STOP], {})) == []


@pytest.mark.parametrize(
    ("asked", "broken"),
    [
        (make_asked(sent_s=STOP.at_s + 0.1, status=0, kept=True), True),
        (make_asked(sent_s=STOP.at_s + 0.1, status=0), False),
        (make_asked(sent_s=STOP.at_s + 0.1, kept=True), False),
        (make_asked(sent_s=STOP.at_s + KEPT_S + 0.1, status=0, kept=True), False),
    ],
)
def test_kept_connections_that_are_closed_unannounced_are_found(asked: Asked, broken: bool) -> None:
    assert bool(list(check_kept([asked], [STOP]))) is broken


def test_killed_processes_and_requests_that_are_not_served_are_found() -> None:
    killed = Stop(forwarder=0, at_s=0.0, killed=True)
    assert list(check_stops([killed]))
    assert not list(check_stops([STOP]))
    failed = Stop(forwarder=0, at_s=0.0, ended_s=1.0, exit_code=1)
    assert [v.guarantee for v in check_stops([failed])] == ["stop ended with a failure"]
    lost = make_asked(sent_s=1.0, ended_s=2.0, status=502, end=End.WHOLE)
    assert list(check_served([lost], [STOP]))
    assert not list(check_served([make_asked(sent_s=1.0, ended_s=2.0, end=End.WHOLE)], [STOP]))


# Requests that a starting process refuses counted as not served beside endless bytes.
def test_refusals_of_a_process_that_starts_are_told_from_requests_that_are_not_served() -> None:
    started = Stop(forwarder=0, at_s=1.0, ended_s=2.0, ready_s=4.0)

    def is_found(sent_s: float, body: bytes, forwarder: int = 0) -> bool:
        lost = make_asked(
            sent_s=sent_s, ended_s=sent_s + 0.1, status=503, end=End.WHOLE, forwarder=forwarder
        )
        lost.answer.body = body
        return bool(list(check_served([lost], [started])))

    refusal = b'{"error": {"code": "not_ready"}}'
    assert not is_found(3.0, refusal)
    assert is_found(4.1, refusal)
    assert is_found(3.0, refusal, forwarder=1)
    assert is_found(3.0, b'{"error": {"code": "over_cap"}}')


async def test_short_soak_of_stops_has_no_violations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(ENV_KEY, KEY)
    figures, violations, _ = await async_soak_stops(seed=1, folder=tmp_path, forwarders=2)
    assert violations == []
    assert figures["endless"]
