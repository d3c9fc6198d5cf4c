"""The command that shows many processes as a table."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

import click

from gypsumrouter.cli.client import DumpResult, async_fetch_dumps, get_section, read_token
from gypsumrouter.const import EXIT_FAILED, EXIT_OK
from gypsumrouter.operators import ATTR_INSTANCE, ATTR_READY, ATTR_ROLE, ATTR_STATE

UNKNOWN = "-"


@dataclass(slots=True, kw_only=True, frozen=True)
class StatusRow:
    """One process: `version` is the configuration in force, `streams` open exchanges on links.

    `load` counts what runs at or waits for an upstream, `running` what runs there, or the
    callers' requests that a router has not answered yet.
    """

    address: str
    instance: str = UNKNOWN
    role: str = UNKNOWN
    state: str = UNKNOWN
    ready: str = UNKNOWN
    version: str = UNKNOWN
    load: str = UNKNOWN
    running: str = UNKNOWN
    links: str = UNKNOWN
    streams: str = UNKNOWN
    error: str = ""


@click.command("status")
@click.argument("addresses", nargs=-1, required=True, metavar="ADDRESS...")
@click.option("--token-file", type=click.Path(path_type=Path), help="File with the token.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON document.")
def status_command(addresses: tuple[str, ...], token_file: Path | None, as_json: bool) -> None:
    """Show the processes at the operators' addresses ADDRESS as a table.

    Exits with 1 where one cannot be reached.
    """
    results = asyncio.run(async_fetch_dumps(addresses, read_token(token_file)))
    rows = [make_row(result) for result in results]
    if as_json:
        click.echo(json.dumps([asdict(row) for row in rows], indent=2))
    else:
        print_rows(rows)
    sys.exit(EXIT_FAILED if any(row.error for row in rows) else EXIT_OK)


def make_row(result: DumpResult) -> StatusRow:
    """Return the row for one dump."""
    dump = result.dump
    if dump is None:
        return StatusRow(address=result.address, error=result.error)
    admission = get_section(dump, "admission")
    in_force = get_section(dump, "configuration").get("in_force") or {}
    return StatusRow(
        address=result.address,
        instance=_format(dump.get(ATTR_INSTANCE)),
        role=_format(dump.get(ATTR_ROLE)),
        state=_format(dump.get(ATTR_STATE)),
        ready="yes" if dump.get(ATTR_READY) else "no",
        version=_format(in_force.get("version")),
        load=_format(admission.get("load")),
        running=_format(_get_running(dump, admission)),
        links=_format(get_section(dump, "link").get("open")),
        streams=_format(_count_streams(get_section(dump, "link"))),
    )


def print_rows(rows: list[StatusRow]) -> None:
    """Print the table, padded to the widest cell, and below it what could not be reached."""
    names = [item.name for item in fields(StatusRow) if item.name != "error"]
    lines = [[name.upper() for name in names]]
    lines += [[str(getattr(row, name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())
    for row in rows:
        if row.error:
            click.echo(row.error, err=True)


def _get_running(dump: dict[str, Any], admission: dict[str, Any]) -> object:
    running = get_section(dump, "gateway").get("running")
    return admission.get("running") if running is None else len(running)


def _count_streams(link: dict[str, Any]) -> int | None:
    if not link:
        return None
    dialed = link.get("pool") or []
    accepted = (link.get("server") or {}).get("routers") or []
    return sum(int(entry.get("exchanges", 0)) for entry in (*dialed, *accepted))


def _format(value: object) -> str:
    return UNKNOWN if value is None else str(value)
