"""Output of rows as a table or as JSON, and the resulting exit code."""

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
    """Base of all rows: the address of the process, and the error if it could not be reached."""

    address: str
    error: str = ""


def show_rows(rows: Sequence[Row], *, as_json: bool) -> int:
    """Print the rows; return a non-zero exit code if a row has an error."""
    if as_json:
        click.echo(json.dumps([asdict(row) for row in rows], indent=2))
    else:
        print_table(rows)
    return EXIT_FAILED if any(row.error for row in rows) else EXIT_OK


def print_table(rows: Sequence[Row]) -> None:
    """Print the rows as aligned columns, and the errors to standard error."""
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
