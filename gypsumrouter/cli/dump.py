"""Command that prints the state dump of a process."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import click

from gypsumrouter.cli.client import async_fetch_dump, read_token
from gypsumrouter.const import EXIT_FAILED
from gypsumrouter.exceptions import Unreachable
from gypsumrouter.operators import ATTR_SECTIONS


@click.command("dump")
@click.argument("address")
@click.option("--section", default=None, help="Print only this section.")
@click.option("--token-file", type=click.Path(path_type=Path), help="File with the operator token.")
def dump_command(address: str, section: str | None, token_file: Path | None) -> None:
    """Print the state dump of the process whose operator endpoint is at ADDRESS, as JSON.

    The token is read from the file or from the environment variable GYPSUMROUTER_TOKEN.
    """
    try:
        dump = asyncio.run(async_fetch_dump(address, read_token(token_file)))
    except Unreachable as error:
        click.echo(f"{error.code.value}: {error}", err=True)
        sys.exit(EXIT_FAILED)
    if section is None:
        click.echo(json.dumps(dump, indent=2))
        return
    sections = dump.get(ATTR_SECTIONS, {})
    if section not in sections:
        click.echo(
            f"{address} has no section {section!r}; it has {', '.join(sorted(sections))}", err=True
        )
        sys.exit(EXIT_FAILED)
    click.echo(json.dumps(sections[section], indent=2))
