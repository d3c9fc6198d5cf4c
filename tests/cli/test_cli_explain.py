"""Selection of the journal lines of a request from the logs of several processes."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from gypsumrouter.cli import main


def make_line(time: str, instance: str, event: str, **fields: object) -> str:
    return json.dumps({"time": time, "instance": instance, "event": event, **fields})


LOG = "\n".join(
    [
        "  0.1 entry-1 " + make_line("t1", "entry-1", "upstream_health", upstream="i-1", healthy=0),
        "  0.1 entry-1 " + make_line("t1", "entry-1", "upstream_health", upstream="i-9", healthy=0),
        "no json at all",
        make_line("t3", "entry-1", "request_ended", request_id="r1", upstream="i-1", status=502),
        make_line("t2", "entry-1", "attempt_sent", request_id="r1", upstream="i-1"),
        make_line("t2", "entry-1", "attempt_sent", request_id="r2", upstream="i-1"),
        make_line("t2", "entry-2", "upstream_health", upstream="i-1", healthy=0),
    ]
)


def test_lines_are_sorted_and_include_upstream_health_seen_by_the_same_router() -> None:
    result = CliRunner().invoke(main, ["explain", "r1"], input=LOG)
    assert result.exit_code == 0
    assert [line.split()[2] for line in result.output.splitlines()] == [
        "upstream_health",
        "attempt_sent",
        "request_ended",
    ]
    assert "status=502" in result.output
    assert "i-9" not in result.output


def test_unknown_request_id_is_an_error() -> None:
    result = CliRunner().invoke(main, ["explain", "r7"], input=LOG)
    assert result.exit_code == 1
    assert "r7" in result.output


@pytest.mark.parametrize(
    "odd",
    [
        make_line("t2", "entry-1", "attempt_sent", request_id="r1", upstream=["i-1"]),
        make_line("t2", "entry-1", "attempt_sent", request_id="r1", upstream={"i-1": 1}),
        make_line("t1", "entry-1", "upstream_health", upstream=["i-1"]),
        make_line("t2", "entry-1", "attempt_sent", request_id="r1", reason="\ud800"),
        make_line("t2", "entry-1", "attempt_sent", request_id="r1")[:-1]
        + f', "n": {"9" * 6_000}}}',
        make_line("t2", "entry-1", "attempt_sent", request_id=["r1"]),
        make_line("t2", "entry-1", "attempt_sent", request_id="r1", n=None)[:-1] + ', "m": NaN}',
        '{"time": {"a": []}, "instance": [], "event": {}, "request_id": "r1"}',
        "{" * 5_000,
    ],
)
def test_odd_line_of_a_log_ended_the_command_with_a_traceback(odd: str) -> None:
    result = CliRunner().invoke(main, ["explain", "r1"], input=f"{odd}\n{LOG}")
    assert result.exit_code == 0, result.exception
    assert "status=502" in result.output


def test_line_with_a_number_of_thousands_of_digits_was_left_out() -> None:
    line = make_line("t2", "entry-1", "attempt_sent", request_id="r1")
    result = CliRunner().invoke(main, ["explain", "r1"], input=f'{line[:-1]}, "n": {"9" * 6_000}}}')
    assert result.exit_code == 0
    assert "n=None" in result.output
