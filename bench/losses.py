"""Lays what a day's logs show of prompts read and copied, and of attempts that failed, to causes.

Reads the journal lines of all routers, each behind any prefix, and prints one table for prompts
that were read, one for copies, and one for attempts that brought no answer. The rows of each table
add up to all that the logs show.
"""

from __future__ import annotations

import argparse
import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any, Final

from msgspec import Struct, field

from bench.report import print_table

# Fewer tokens are read beside the other work of an engine.
MIN_TOKENS: Final = 100
# A part that nobody used for this long is not missed when it is gone.
IDLE_MS: Final = 10_000
# Routers hear of each other's placements within this time.
UPDATE_DELAY_MS: Final = 400
# A router that started this short a time ago may not know yet.
RECENT_START_MS: Final = 5_000
MS_PER_S: Final = 1_000


class Line(Struct, frozen=True, kw_only=True):
    """One journal line: when, of which router, and its fields."""

    at_ms: int
    router: str
    fields: dict[str, Any]


class Losses(Struct, kw_only=True):
    """Tokens and times by cause."""

    read_tokens: Counter[str] = field(default_factory=Counter)
    reads: Counter[str] = field(default_factory=Counter)
    copied_tokens: Counter[str] = field(default_factory=Counter)
    copies: Counter[str] = field(default_factory=Counter)
    attempts: Counter[tuple[str, str, str]] = field(default_factory=Counter)


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Return the journal lines of a log; all else in it is passed over."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            at = datetime.fromisoformat(fields["time"])
            event = fields["event"]
        except (ValueError, KeyError, TypeError):
            continue
        if isinstance(event, str):
            at_ms = round(at.timestamp() * MS_PER_S)
            yield Line(at_ms=at_ms, router=fields.get("instance", ""), fields=fields)


class LossTracker:
    """Follows who holds which prompt, by the placements of all routers."""

    def __init__(self) -> None:
        self.losses = Losses()
        self._held: dict[str, dict[str, int]] = defaultdict(dict)
        self._leaving: dict[str, int] = {}
        self._gone: dict[str, int] = {}
        self._started: dict[str, int] = {}

    def record(self, line: Line) -> None:
        """Take the next line; lines come in the order of their times."""
        match line.fields["event"]:
            case "process_started":
                self._started[line.router] = line.at_ms
            case "upstream_changed":
                self._record_state(line)
            case "request_placed" if line.fields["prompt"]:
                self._record_placement(line)
            case "attempt_ended" if line.fields["next_step"] != "answer":
                self._record_failure(line)

    def _record_state(self, line: Line) -> None:
        upstream = line.fields["upstream"]
        match line.fields["state"]:
            case "leaving":
                self._leaving.setdefault(upstream, line.at_ms)
            case "gone":
                self._gone.setdefault(upstream, line.at_ms)
            case "ready":
                self._gone.pop(upstream, None)

    def _record_placement(self, line: Line) -> None:
        upstream, missing = line.fields["upstream"], line.fields["missing_tokens"]
        holders = self._held[line.fields["prompt"]]
        if missing >= MIN_TOKENS:
            cause = self._find_cause(line, holders, upstream)
            if line.fields["fetch_from"]:
                self.losses.copied_tokens[cause] += missing
                self.losses.copies[cause] += 1
            else:
                self.losses.read_tokens[cause] += missing
                self.losses.reads[cause] += 1
        holders[upstream] = line.at_ms

    def _find_cause(self, line: Line, holders: dict[str, int], upstream: str) -> str:
        if not holders:
            return "first reading"
        idle_ms = line.at_ms - max(holders.values())
        if idle_ms > IDLE_MS:
            return "not used for long"
        cause = self._classify_holders(holders, upstream)
        if idle_ms < UPDATE_DELAY_MS:
            return f"{cause}, used a moment ago"
        if (
            line.at_ms - self._started.get(line.router, line.at_ms - RECENT_START_MS)
            < RECENT_START_MS
        ):
            return f"{cause}, router just started"
        return cause

    def _classify_holders(self, holders: dict[str, int], upstream: str) -> str:
        remaining = [name for name in holders if name not in self._gone]
        if upstream in remaining:
            return "held there, router did not know"
        if any(name not in self._leaving for name in remaining):
            return "a ready engine held it"
        if remaining:
            return "an engine that leaves held it"
        if any(name in self._leaving for name in holders):
            return "its engines had left"
        return "its engines had crashed"

    def _record_failure(self, line: Line) -> None:
        fields = line.fields
        key = (fields["outcome"], fields["next_step"], self._get_state(fields["upstream"], line))
        self.losses.attempts[key] += 1

    def _get_state(self, upstream: str, line: Line) -> str:
        if upstream in self._leaving:
            return "leaving"
        return "gone" if upstream in self._gone else "listed"


def attribute_losses(lines: Iterable[Line]) -> Losses:
    """Return what is lost to which cause."""
    tracker = LossTracker()
    for line in sorted(lines, key=lambda line: line.at_ms):
        tracker.record(line)
    return tracker.losses


def main(argv: list[str]) -> int:
    """Print the tables of one or several logs of one day."""
    parser = argparse.ArgumentParser(prog="python -m bench losses")
    parser.add_argument("logs", nargs="+", type=Path)
    options = parser.parse_args(argv)
    lines: list[Line] = []
    for path in options.logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines.extend(read_lines(file))
    losses = attribute_losses(lines)
    _print_tokens("prompts read", losses.read_tokens, losses.reads)
    _print_tokens("prompts copied", losses.copied_tokens, losses.copies)
    rows = [(*key, count) for key, count in losses.attempts.most_common()]
    print_table(
        title="attempts without an answer",
        columns=("outcome", "next step", "upstream", "times"),
        rows=rows,
    )
    return 0


def _print_tokens(title: str, tokens: Counter[str], times: Counter[str]) -> None:
    rows: list[tuple[object, ...]] = [
        (cause, count, times[cause]) for cause, count in tokens.most_common()
    ]
    rows.append(("all", tokens.total(), times.total()))
    print_table(title=title, columns=("cause", "tokens", "times"), rows=rows)
