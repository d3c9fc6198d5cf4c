"""Attributes prompt prefills, prefix copies and failed attempts in router logs to causes.

Reads the journal lines of all routers, with any prefix before the JSON, and prints a table each for
prefills, copies and failed attempts. The rows of each table add up to the total of the logs.
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

# Prefills of fewer tokens are ignored.
MIN_TOKENS: Final = 100
# A prompt not used for this long counts as evicted.
IDLE_MS: Final = 10_000
# Time within which placements reach the other routers.
UPDATE_DELAY_MS: Final = 400
# A router may lack placements within this time after its start.
RECENT_START_MS: Final = 5_000
MS_PER_S: Final = 1_000


class Line(Struct, frozen=True, kw_only=True):
    """A journal line of a router."""

    at_ms: int
    router: str
    fields: dict[str, Any]


class Losses(Struct, kw_only=True):
    """Tokens and counts by cause; attempts by outcome, next step and upstream state."""

    read_tokens: Counter[str] = field(default_factory=Counter)
    reads: Counter[str] = field(default_factory=Counter)
    copied_tokens: Counter[str] = field(default_factory=Counter)
    copies: Counter[str] = field(default_factory=Counter)
    attempts: Counter[tuple[str, str, str]] = field(default_factory=Counter)


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the journal lines of a log and skip all other lines."""
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
    """Tracks which upstreams hold which prompt, from the placements of all routers."""

    def __init__(self) -> None:
        self.losses = Losses()
        self._held: dict[str, dict[str, int]] = defaultdict(dict)
        self._leaving: dict[str, int] = {}
        self._gone: dict[str, int] = {}
        self._started: dict[str, int] = {}

    def record(self, line: Line) -> None:
        """Record the next line; lines must be in the order of their times."""
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
            return "first prefill"
        idle_ms = line.at_ms - max(holders.values())
        if idle_ms > IDLE_MS:
            return "not used for a long time"
        cause = self._classify_holders(holders, upstream)
        if idle_ms < UPDATE_DELAY_MS:
            return f"{cause}, used within the update delay"
        if (
            line.at_ms - self._started.get(line.router, line.at_ms - RECENT_START_MS)
            < RECENT_START_MS
        ):
            return f"{cause}, router just started"
        return cause

    def _classify_holders(self, holders: dict[str, int], upstream: str) -> str:
        remaining = [name for name in holders if name not in self._gone]
        if upstream in remaining:
            return "held there, unknown to the router"
        if any(name not in self._leaving for name in remaining):
            return "a ready engine held it"
        if remaining:
            return "a draining engine held it"
        if any(name in self._leaving for name in holders):
            return "its engines had drained"
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
    """Return the losses of a log by cause."""
    tracker = LossTracker()
    for line in sorted(lines, key=lambda line: line.at_ms):
        tracker.record(line)
    return tracker.losses


def main(argv: list[str]) -> int:
    """Print the tables for logs of the same period."""
    parser = argparse.ArgumentParser(prog="python -m bench losses")
    parser.add_argument("logs", nargs="+", type=Path)
    options = parser.parse_args(argv)
    lines: list[Line] = []
    for path in options.logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines.extend(read_lines(file))
    losses = attribute_losses(lines)
    _print_tokens("prefills", losses.read_tokens, losses.reads)
    _print_tokens("copies", losses.copied_tokens, losses.copies)
    rows = [(*key, count) for key, count in losses.attempts.most_common()]
    print_table(
        title="failed attempts",
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
