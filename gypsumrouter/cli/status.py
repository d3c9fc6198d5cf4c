"""Command that shows the status of processes as a table."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from gypsumrouter.cli.client import DumpResult, get_section
from gypsumrouter.cli.inspection import add_inspection_options, show_processes
from gypsumrouter.cli.table import UNKNOWN, Row
from gypsumrouter.helpers.numbers import read_json_number
from gypsumrouter.operators import ATTR_INSTANCE, ATTR_READY, ATTR_ROLE, ATTR_STATE


class StatusRow(Row, frozen=True, kw_only=True):
    """A process: `version` is that of its configuration, `streams` the open exchanges on its links.

    For a side, `load` counts the requests that are running at or waiting for the upstream, and
    `running` those that are running. For a router, `running` counts the open requests of callers.
    """

    instance: str = UNKNOWN
    role: str = UNKNOWN
    state: str = UNKNOWN
    ready: str = UNKNOWN
    version: str = UNKNOWN
    load: str = UNKNOWN
    running: str = UNKNOWN
    links: str = UNKNOWN
    streams: str = UNKNOWN


@click.command("status")
@add_inspection_options
def status_command(addresses: tuple[str, ...], token_file: Path | None, as_json: bool) -> None:
    """Show the status of the processes whose operator endpoints are at ADDRESS.

    Exits with 1 if a process cannot be reached.
    """
    show_processes(make_row, addresses=addresses, token_file=token_file, as_json=as_json)


def make_row(result: DumpResult) -> StatusRow:
    """Return the row of a process."""
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


def _get_running(dump: dict[str, Any], admission: dict[str, Any]) -> object:
    running = get_section(dump, "gateway").get("running")
    return admission.get("running") if running is None else len(running)


def _count_streams(link: dict[str, Any]) -> int | None:
    if not link:
        return None
    dialed = link.get("pool") or []
    accepted = (link.get("server") or {}).get("routers") or []
    return sum((read_json_number(entry.get("exchanges")) or 0) for entry in (*dialed, *accepted))


def _format(value: object) -> str:
    return UNKNOWN if value is None else str(value)
