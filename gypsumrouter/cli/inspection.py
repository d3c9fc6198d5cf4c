"""What commands that show one row a process have in common: their options, and their run."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click

from gypsumrouter.cli.client import DumpResult, async_fetch_dumps, read_token
from gypsumrouter.cli.table import Row, show_rows

_OPTIONS = (
    click.argument("addresses", nargs=-1, required=True, metavar="ADDRESS..."),
    click.option(
        "--token-file", type=click.Path(path_type=Path), help="File with the operator token."
    ),
    click.option("--json", "as_json", is_flag=True, help="Print one JSON document."),
)


def add_inspection_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the addresses of the processes, the token file and the output format to a command."""
    for add_option in reversed(_OPTIONS):
        command = add_option(command)
    return command


def show_processes(
    make_row: Callable[[DumpResult], Row],
    *,
    addresses: tuple[str, ...],
    token_file: Path | None,
    as_json: bool,
) -> NoReturn:
    """Print one row for each process, and exit with 1 if one cannot be reached."""
    results = asyncio.run(async_fetch_dumps(addresses, read_token(token_file)))
    sys.exit(show_rows([make_row(result) for result in results], as_json=as_json))
