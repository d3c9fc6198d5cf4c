"""Rows that commands print as a table or as JSON, and the exit code that follows."""

from __future__ import annotations

import json
from collections.abc import Sequence

import click
from msgspec import Struct
from msgspec.structs import asdict, fields

from gypsumrouter.const import EXIT_FAILED, EXIT_OK

UNKNOWN = "-"
_FIELD_ERROR = "error"


class Row(Struct, frozen=True, kw_only=True):
    """What all rows have: the process asked, and why there is nothing to show of it."""

    address: str
    error: str = ""


def show_rows(rows: Sequence[Row], *, as_json: bool) -> int:
    """Print the rows and return the exit code, which is not 0 where one has an error."""
    if as_json:
        click.echo(json.dumps([asdict(row) for row in rows], indent=2))
    else:
        print_table(rows)
    return EXIT_FAILED if any(row.error for row in rows) else EXIT_OK


def print_table(rows: Sequence[Row]) -> None:
    """Print one line for each row, padded to the widest cell, and below them the errors."""
    names = [item.name for item in fields(rows[0]) if item.name != _FIELD_ERROR]
    lines = [[name.upper() for name in names]]
    lines += [[str(getattr(row, name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())
    for row in rows:
        if row.error:
            click.echo(row.error, err=True)
