"""Command that prints the journal lines of a request from the logs of several processes."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import Any, Final, TextIO

import click
from msgspec import Struct

from gypsumrouter.helpers.json_documents import load_json

# Fields that are printed in front of the other fields or not at all.
HEADER_FIELDS: Final = frozenset({"time", "level", "instance", "event", "request_id", "logger"})
# Events without a request id that affect the routing of requests.
CONTEXT_EVENTS: Final = frozenset(
    {"upstream_changed", "upstream_health", "dependency_lost", "dependency_regained"}
)
EXIT_NOT_FOUND: Final = 1


class JournalLine(Struct, frozen=True, kw_only=True):
    """A line of a journal."""

    time: str
    instance: str
    event: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """Return the id of the request that the line belongs to, or an empty string."""
        return str(self.fields.get("request_id", ""))

    @property
    def upstream(self) -> str:
        """Return the upstream that the line is about, or an empty string."""
        upstream = self.fields.get("upstream")
        return "" if upstream is None else str(upstream)


@click.command("explain")
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File(errors="replace"))
def explain_command(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Print the journal lines of REQUEST_ID from the logs in FILES, or from standard input.

    Text before the JSON of a line, such as a time or an instance name, is ignored.
    """
    lines = [line for file in files or (sys.stdin,) for line in read_lines(file)]
    selected = select_lines(lines, request_id)
    if not selected:
        click.echo(f"No journal line has the request id {request_id}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    for line in selected:
        # Texts that aren't Unicode can't be printed as they are.
        text = format_line(line, request_id).encode(errors="backslashreplace")
        click.echo(text.decode())


def read_lines(file: Iterable[str]) -> Iterator[JournalLine]:
    """Return the journal lines of a log; other lines are skipped."""
    for text in file:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = load_json(text[start:])
        except (ValueError, RecursionError):
            continue
        if not isinstance(fields, dict) or "time" not in fields:
            continue
        event = fields.get("event", fields.get("message", ""))
        yield JournalLine(
            time=str(fields["time"]),
            instance=str(fields.get("instance", "")),
            event=str(event),
            fields=fields,
        )


def select_lines(lines: list[JournalLine], request_id: str) -> list[JournalLine]:
    """Return the lines of a request and of events that affected it, sorted by time.

    Included are events of the same instances on the upstreams of the request: the last one of each
    kind before its first line, and all until its last line.
    """
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return []
    upstreams = {line.upstream for line in own} - {""}
    instances = {line.instance for line in own}
    first = min(line.time for line in own)
    last = max(line.time for line in own)
    context = [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS
        and line.instance in instances
        and line.request_id != request_id
        and line.time <= last
        and _affects_any(line, upstreams)
    ]
    before = {(b.instance, b.event, b.upstream): b for b in context if b.time < first}
    during = [entry for entry in context if entry.time >= first]
    return sorted((*before.values(), *during, *own), key=lambda line: line.time)


def format_line(line: JournalLine, request_id: str) -> str:
    """Return a line as text; lines that don't belong to the request are indented."""
    values = " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in HEADER_FIELDS)
    mark = "" if line.request_id == request_id else "    "
    return f"{line.time} {line.instance} {mark}{line.event} {values}"


def _affects_any(line: JournalLine, upstreams: set[str]) -> bool:
    return line.fields.get("upstream") is None or line.upstream in upstreams
