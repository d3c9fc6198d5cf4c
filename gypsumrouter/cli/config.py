"""Commands for the configuration of the fleet."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any, Final

import click
from msgspec import to_builtins

from gypsumrouter.cli.client import DumpResult, async_fetch_dumps, get_section, read_token
from gypsumrouter.configuration import Configuration, check_configuration
from gypsumrouter.configuration.diff import Change, ChangeKind, list_changes
from gypsumrouter.configuration.schema import build_schema
from gypsumrouter.configuration.store import DUMP_SECTION
from gypsumrouter.const import EXIT_FAILED, EXIT_OK, EXIT_SETTINGS
from gypsumrouter.exceptions import ConfigurationInvalid

_FILE: Final = click.Path(path_type=Path)
_UNKNOWN: Final = "-"
_COLUMNS: Final = ("ADDRESS", "INSTANCE", "IN FORCE", "DIGEST", "ACCEPTED AT MS", "REJECTED")


@click.group("config")
def config_group() -> None:
    """Validate and compare configurations, and show the versions that processes use."""


@config_group.command("check")
@click.argument("file", type=_FILE)
def check(file: Path) -> None:
    """Validate FILE as processes do, and print all errors."""
    configuration = read_configuration(file)
    click.echo(
        f"{file}: version {configuration.version} is right "
        f"({len(configuration.workspaces)} workspaces, {len(configuration.classes)} classes, "
        f"{len(configuration.pools)} pools, {len(configuration.rules)} rules)"
    )


@config_group.command("diff")
@click.argument("before", type=_FILE)
@click.argument("after", type=_FILE)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON document.")
def diff(before: Path, after: Path, as_json: bool) -> None:
    """Show the changes between the files BEFORE and AFTER."""
    old, new = read_configuration(before), read_configuration(after)
    changes = list_changes(old, new)
    if as_json:
        click.echo(json.dumps([to_builtins(change) for change in changes], indent=2, default=str))
        return
    for change in changes:
        click.echo(format_change(change))
    if new.version <= old.version and changes:
        click.echo(
            f"Processes that use version {old.version} will ignore this configuration: "
            f"its version {new.version} is not higher",
            err=True,
        )


@config_group.command("status")
@click.argument("addresses", nargs=-1, required=True, metavar="ADDRESS...")
@click.option("--token-file", type=_FILE, help="File with the operator token.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON document.")
def status(addresses: tuple[str, ...], token_file: Path | None, as_json: bool) -> None:
    """Show the active and the last rejected version of the process at each ADDRESS.

    The token is read from the file or from the environment variable GYPSUMROUTER_TOKEN. Exits
    with 1 if a process cannot be reached or the processes use different versions.
    """
    results = asyncio.run(async_fetch_dumps(addresses, read_token(token_file)))
    rows = [_make_row(result) for result in results]
    if as_json:
        click.echo(json.dumps(rows, indent=2))
    else:
        _print_table(rows)
    sys.exit(EXIT_OK if _have_same_version(rows) else EXIT_FAILED)


@config_group.command("schema")
def schema() -> None:
    """Print the JSON schema of the configuration document."""
    click.echo(build_schema(), nl=False)


def read_configuration(file: Path) -> Configuration:
    """Return the validated configuration of a file, or print all errors and exit with 2."""
    try:
        return check_configuration(file.read_bytes())
    except OSError as error:
        click.echo(f"{file} cannot be read: {error.strerror}", err=True)
    except ConfigurationInvalid as error:
        for field_error in error.errors:
            click.echo(f"{file}: {field_error}", err=True)
    sys.exit(EXIT_SETTINGS)


def format_change(change: Change) -> str:
    """Return a change as one line of text."""
    name = f"{change.section} {change.name}".strip()
    match change.kind:
        case ChangeKind.ADDED:
            return f"+ {name}"
        case ChangeKind.REMOVED:
            return f"- {name}"
        case ChangeKind.MOVED:
            return f"> {name}: place {change.before} -> {change.after}"
        case ChangeKind.CHANGED:
            field = f".{change.field}" if change.field else ""
            return f"~ {name}{field}: {change.before} -> {change.after}"


def _make_row(result: DumpResult) -> dict[str, Any]:
    if result.dump is None:
        return {"address": result.address, "error": result.error}
    section = get_section(result.dump, DUMP_SECTION)
    return {
        "address": result.address,
        "instance": result.dump.get("instance"),
        "in_force": section.get("in_force"),
        "rejected": section.get("rejected"),
    }


def _print_table(rows: list[dict[str, Any]]) -> None:
    lines = [_COLUMNS, *(_format_row(row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(_COLUMNS))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())
    for row in rows:
        _print_reasons(row)


def _format_row(row: dict[str, Any]) -> tuple[str, ...]:
    if "error" in row:
        return (row["address"], _UNKNOWN, _UNKNOWN, _UNKNOWN, _UNKNOWN, row["error"])
    in_force = row["in_force"] or {}
    rejected = row["rejected"] or {}
    return (
        row["address"],
        str(row["instance"] or _UNKNOWN),
        str(in_force.get("version", _UNKNOWN)),
        str(in_force.get("digest", _UNKNOWN)),
        str(in_force.get("accepted_at_ms") or _UNKNOWN),
        str(rejected.get("version") or "unreadable") if rejected else _UNKNOWN,
    )


def _print_reasons(row: dict[str, Any]) -> None:
    rejected = row.get("rejected")
    if not rejected:
        return
    for error in rejected["errors"]:
        click.echo(
            f"{row['address']}: version {rejected['version']} rejected: "
            f"{error['path']}: {error['message']}"
        )


def _have_same_version(rows: list[dict[str, Any]]) -> bool:
    versions = {
        (in_force.get("version"), in_force.get("digest"))
        for row in rows
        if (in_force := row.get("in_force"))
    }
    reached = all(row.get("in_force") for row in rows)
    return reached and len(versions) == 1
