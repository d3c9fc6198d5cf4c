"""The soak of streams with one attempt: what it draws and checks, and a short run."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path

import pytest

from bench.raw_caller import Answer, End, RawCaller
from bench.soak_dimensions import STREAM, Dimension, make_one_attempt_configuration
from bench.soak_one_attempt import (
    async_soak_one_attempt,
    check_left,
    check_own_failures,
    count_gone,
)
from bench.soak_overlap_callers import OverlapCall
from bench.soak_overlap_checks import TIMEOUT_MS
from bench.soak_rig import ENV_KEY, KEY
from gypsumrouter.instances import Address

SEED = 1
SECONDS = 9.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"


def make_left(end: End = End.LEFT) -> list[OverlapCall]:
    answer = Answer(request_id="a", sent_s=1.0, ended_s=2.0, status=200, end=end)
    return [OverlapCall(route=STREAM, forwarder=0, answer=answer, deadline_s=20.0, manner="new")]


def test_caller_that_left_is_not_named_as_cut() -> None:
    cut = [{"event": "request_cut", "request_id": "a", "reason": "out_of_time"}]
    assert [v.guarantee for v in check_left(make_left(), cut)] == ["left, but named as cut"]
    assert list(check_left(make_left(End.RESET), cut)) == []
    assert list(check_left(make_left(), [{**cut[0], "event": "request_ended"}])) == []


# Guards against a router that fails whole answers of upstreams, which the soak takes for theirs.
def test_answer_with_status_500_without_a_signature_is_the_routers() -> None:
    calls = make_left(End.WHOLE)
    calls[0].answer.status = 500
    calls[0].answer.head = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n"
    assert [v.guarantee for v in check_own_failures(calls)] == ["failed by the router"]
    calls[0].answer.head = b"HTTP/1.1 500 Broken\r\nx-server-stamp: a\r\nContent-Length: 2\r\n\r\n"
    assert list(check_own_failures(calls)) == []


def test_lines_of_callers_that_left_are_counted() -> None:
    line = {"event": "request_ended", "request_id": "a", "outcome": "caller_gone"}
    assert count_gone(make_left(), [line]) == {"left": 1, "named": 1}
    assert count_gone(make_left(), [{**line, "outcome": "deadline"}]) == {"left": 1, "named": 0}


# Guards against a route whose time limit ends a stream before the checks take its time as used up.
def test_no_configuration_has_a_time_limit_below_that_of_the_checks() -> None:
    states = itertools.product((0, 1), repeat=3)
    configurations = [make_one_attempt_configuration(n, *state) for n, state in enumerate(states)]
    limits = {r["timeout_ms"] for c in configurations for r in c["routes"]}
    assert min(limits) == TIMEOUT_MS
    assert len(limits) == 2
    streams = [c["routes"][0] for c in configurations]
    assert {(r["max_attempts"], r.get("resumable", False)) for r in streams} == {(1, False)}
    assert {r["service"] for r in streams} == {"models", "others"}


@pytest.mark.parametrize(
    ("options", "least_s"), [({"max_gap_s": 0.2}, 0.2), ({"leaves_after_s": 0.3}, 0.3)]
)
async def test_raw_caller_gives_up(options: dict[str, float], least_s: float) -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"ab")
        await reader.read(-1)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    caller = await RawCaller(Address(host=host, port=port)).async_open()
    begun_s = time.monotonic()
    answered = await caller.async_ask(
        "a",
        max_gap_s=options.get("max_gap_s"),
        leaves_after_s=options.get("leaves_after_s", 60.0),
    )
    assert (answered.end, answered.status, answered.body) == (End.LEFT, 200, b"ab")
    assert time.monotonic() - begun_s >= least_s
    caller.close()
    server.close()
    await server.wait_closed()


async def test_short_soak_of_streams_with_one_attempt_has_no_violations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(ENV_KEY, KEY)
    figures, violations, _ = await async_soak_one_attempt(
        seed=SEED, folder=tmp_path, seconds=SECONDS
    )
    assert violations == []
    assert figures["stops"]
    assert figures["silences"]
    assert figures["failures"]
    odd = figures["odd"]
    assert isinstance(odd, dict)
    assert odd["entries"]
    assert odd["headers"]
    assert figures["dimensions"] == sorted(Dimension)
