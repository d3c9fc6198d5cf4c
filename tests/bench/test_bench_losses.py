"""Each prefill, copy and failed attempt in the logs is attributed to one cause."""

from __future__ import annotations

import json
from datetime import UTC, datetime, timedelta
from typing import Any

import pytest

from bench.losses import IDLE_MS, Losses, attribute_losses, main, read_lines

START = datetime(2026, 1, 2, tzinfo=UTC)


def write(at_ms: int, event: str, **fields: Any) -> str:
    time = (START + timedelta(milliseconds=at_ms)).isoformat()
    return "0.1 entry-1 " + json.dumps(
        {"time": time, "instance": "entry-1", "event": event, **fields}
    )


def place(at_ms: int, upstream: str, *, missing: int = 1_000, source: str = "") -> str:
    return write(
        at_ms,
        "request_placed",
        prompt="p1",
        upstream=upstream,
        missing_tokens=missing,
        fetch_from=source,
    )


def change(at_ms: int, upstream: str, state: str) -> str:
    return write(at_ms, "upstream_changed", upstream=upstream, state=state)


def count(*texts: str) -> Losses:
    return attribute_losses(read_lines(texts))


@pytest.mark.parametrize(
    ("between", "at_ms", "upstream", "cause"),
    [
        ((), 2_000, "i-2", "a ready engine held it"),
        ((), 100, "i-2", "a ready engine held it, used within the update delay"),
        ((), 2_000, "i-1", "held there, unknown to the router"),
        ((), IDLE_MS + 1, "i-2", "not used for a long time"),
        ((change(500, "i-1", "leaving"),), 2_000, "i-2", "a draining engine held it"),
        ((change(500, "i-1", "gone"),), 2_000, "i-2", "its engines had crashed"),
        (
            (change(500, "i-1", "leaving"), change(900, "i-1", "gone")),
            2_000,
            "i-2",
            "its engines had drained",
        ),
        (
            (change(500, "i-1", "gone"), change(900, "i-1", "ready")),
            2_000,
            "i-2",
            "a ready engine held it",
        ),
        (
            (write(1_500, "process_started"),),
            2_000,
            "i-2",
            "a ready engine held it, router just started",
        ),
    ],
)
def test_repeated_prefill_has_one_cause(
    between: tuple[str, ...], at_ms: int, upstream: str, cause: str
) -> None:
    losses = count(place(0, "i-1"), *between, place(at_ms, upstream))
    assert losses.read_tokens == {"first prefill": 1_000, cause: 1_000}


def test_causes_add_up_to_all_prefills_and_copies() -> None:
    losses = count(
        place(0, "i-1"),
        place(1_000, "i-2", source="i-1"),
        place(2_000, "i-1", missing=0),
        place(3_000, "i-3", missing=500),
    )
    assert losses.read_tokens.total() == 1_500
    assert losses.copied_tokens == {"a ready engine held it": 1_000}
    assert losses.reads.total() + losses.copies.total() == 3


def test_failed_attempts_are_counted_by_upstream_state() -> None:
    ended = {"outcome": "begun", "next_step": "fail", "upstream": "i-1"}
    losses = count(
        write(0, "attempt_ended", **ended),
        write(1, "attempt_ended", **{**ended, "next_step": "answer"}),
        change(2, "i-1", "leaving"),
        write(3, "attempt_ended", **ended),
    )
    assert losses.attempts == {("begun", "fail", "listed"): 1, ("begun", "fail", "leaving"): 1}


def test_lines_that_are_no_journal_lines_are_skipped(tmp_path: Any, capsys: Any) -> None:
    log = tmp_path / "day.log"
    log.write_text("\n".join(["words", "{", '{"event": 3}', place(0, "i-1")]))
    assert main([str(log)]) == 0
    assert "first prefill" in capsys.readouterr().out
