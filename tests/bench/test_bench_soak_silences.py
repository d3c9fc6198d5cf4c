"""The soak of silences: its checks detect violations, and a short run of one seed has none."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.raw_caller import Answer, End
from bench.soak_rig import ENV_KEY, KEY
from bench.soak_silence_checks import (
    APPLY_S,
    LOSS_SLACK_S,
    PASSING_KEY,
    Call,
    Published,
    Ran,
    check_answered,
    check_contents,
    check_once,
    find_limit_s,
)
from bench.soak_silences import async_soak_silences
from bench.soak_stops import LAST_SHARE, LATE_S, STOP_S, Stop
from gypsumrouter.standins import PlatformRunner
from gypsumrouter.standins.runner_content import make_body

SEED = 3
TURNS = 5
STOP = Stop(forwarder=0, at_s=100.0, ended_s=100.0 + STOP_S)
CUT_S = STOP.at_s + LAST_SHARE * STOP_S
TIMEOUT_S = 6.0
PUBLISHED = (
    Published(
        at_s=0.0,
        timeouts_s={"quote": TIMEOUT_S, "draft": TIMEOUT_S},
        max_attempts={"quote": 3, "draft": 3},
    ),
)
RAN = {"a": Ran(runs=1, needed_s=1.0)}


def make_call(
    *,
    sent_s: float = 10.0,
    took_s: float = 1.0,
    slack_s: float = 1.0,
    end: End = End.WHOLE,
    status: int = 200,
    body: bytes = b"",
    head: bytes = b"",
    route: str = "quote",
    tokens: int = 0,
    key: str = "k",
) -> Call:
    ended_s = sent_s + took_s
    answer = Answer(
        request_id="a",
        sent_s=sent_s,
        whole_s=ended_s - slack_s if slack_s else 0.0,
        ended_s=ended_s,
        end=end,
        status=status,
        head=head,
        body=body,
    )
    return Call(route=route, forwarder=0, answer=answer, deadline_s=9.0, tokens=tokens, key=key)


@pytest.mark.parametrize(
    ("call", "broken"),
    [
        (make_call(), False),
        (make_call(status=503), False),
        (make_call(status=429), False),
        (make_call(status=401, key=PASSING_KEY), False),
        (make_call(status=401), True),
        (make_call(status=502), True),
        (make_call(status=504), True),
        (make_call(status=504, took_s=TIMEOUT_S), False),
        (make_call(status=504, took_s=TIMEOUT_S - 0.5), True),
        (make_call(end=End.RESET), True),
        (make_call(end=End.CLOSED, status=0), True),
    ],
)
def test_failures_and_missing_answers_are_found(call: Call, broken: bool) -> None:
    assert bool(list(check_answered([call], [], PUBLISHED, RAN))) is broken


@pytest.mark.parametrize(
    ("slack_s", "broken"), [(LOSS_SLACK_S - 0.1, False), (LOSS_SLACK_S + 0.1, True), (0.0, False)]
)
def test_closed_connection_is_a_loss_only_if_the_request_was_read(
    slack_s: float, broken: bool
) -> None:
    call = make_call(end=End.CLOSED, status=0, slack_s=slack_s)
    assert bool(list(check_answered([call], [], PUBLISHED, {}))) is broken


@pytest.mark.parametrize(
    ("sent_s", "ended_s", "broken"),
    [
        (STOP.at_s - 0.5, CUT_S - 0.1, True),
        (STOP.at_s + 1.0, CUT_S, False),
        (STOP.at_s + LATE_S + 0.1, STOP.at_s + LATE_S + 0.9, True),
        (STOP.at_s + LAST_SHARE * STOP_S - 0.5, CUT_S + 0.2, True),
        (STOP.at_s + LATE_S + 0.1, CUT_S + 0.2, False),
        (STOP.ended_s + 0.1, STOP.ended_s + 0.5, True),
    ],
)
def test_requests_that_a_stop_cuts_early_or_took_too_late_are_found(
    sent_s: float, ended_s: float, broken: bool
) -> None:
    call = make_call(sent_s=sent_s, took_s=ended_s - sent_s, end=End.RESET)
    assert bool(list(check_answered([call], [STOP], PUBLISHED, RAN))) is broken


def test_time_limit_is_the_shortest_that_was_in_force() -> None:
    call = make_call(sent_s=10.0, took_s=2.0)
    published = [
        Published(at_s=at_s, timeouts_s={"quote": timeout_s}, max_attempts={"quote": 1})
        for at_s, timeout_s in ((1.0, 1.0), (8.0, 7.0), (11.0, 6.5), (12.5, 2.0))
    ]
    assert find_limit_s(call, published) == 6.5
    assert find_limit_s(call, published[:2]) == 7.0
    # The one before may be in force until the next has arrived.
    published[2] = Published(
        at_s=10.0 - APPLY_S / 2, timeouts_s={"quote": 8.0}, max_attempts={"quote": 1}
    )
    assert find_limit_s(call, published) == 7.0


def make_events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)


@pytest.mark.parametrize(
    ("body", "end", "broken"),
    [
        (make_events(1, 2, 3), End.WHOLE, False),
        (make_events(1, 2), End.WHOLE, True),
        (make_events(1, 2), End.RESET, False),
        (make_events(1, 3), End.RESET, True),
        (make_events(1, 1, 2), End.RESET, True),
        (b"", End.WHOLE, True),
    ],
)
def test_streams_with_gaps_and_repeats_are_found(body: bytes, end: End, broken: bool) -> None:
    assert bool(list(check_contents([make_call(body=body, end=end, tokens=3)], []))) is broken


@pytest.mark.parametrize("size", [None, 50])
def test_bodies_of_another_upstream_or_size_are_found(size: int | None) -> None:
    runner = PlatformRunner(name="i-1")
    runner.body_bytes = size
    head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: i-1.07\r\n\r\n"
    whole = make_body("i-1 /quote/a", size=size)
    for body, broken in (
        (whole, False),
        (whole[:-1], True),
        (make_body("i-2 /quote/a", size=size), True),
    ):
        call = make_call(head=head, body=body)
        assert bool(list(check_contents([call], [runner]))) is broken


@pytest.mark.parametrize(
    ("route", "runs", "status", "broken"),
    [
        ("draft", 1, 200, False),
        ("draft", 2, 200, True),
        ("draft", 1, 503, True),
        ("quote", 3, 200, False),
        ("quote", 4, 200, True),
        ("quote", 1, 503, False),
    ],
)
def test_requests_that_run_too_often_are_found(
    route: str, runs: int, status: int, broken: bool
) -> None:
    ran = {"a": Ran(runs=runs, needed_s=1.0)}
    assert bool(list(check_once([make_call(route=route, status=status)], PUBLISHED, ran))) is broken


def test_content_of_chunked_answers_ends_with_the_last_whole_chunk() -> None:
    answer = Answer(request_id="a", head=b"Transfer-Encoding: chunked\r\n\r\n")
    answer.body = b"3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n"
    assert answer.content == b"abc0123456789"
    answer.body = b"3\r\nabc\r\nA\r\n0123"
    assert answer.content == b"abc"


async def test_short_soak_of_silences_has_no_violations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(ENV_KEY, KEY)
    figures, violations, _ = await async_soak_silences(
        seed=SEED, folder=tmp_path, forwarders=2, turns=TURNS
    )
    assert violations == []
    assert figures["requests"]
