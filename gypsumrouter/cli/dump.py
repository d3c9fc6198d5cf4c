"""The command that shows the state of one process."""

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
@click.option("--section", default=None, help="Show one section alone.")
@click.option("--token-file", type=click.Path(path_type=Path), help="File with the token.")
def dump_command(address: str, section: str | None, token_file: Path | None) -> None:
    """Print the state dump of the process whose operators' address is ADDRESS, as JSON.

    The token comes from the file or from the environment variable GYPSUMROUTER_TOKEN.
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
        click.echo(f"{address} has no section {section}: {', '.join(sorted(sections))}", err=True)
        sys.exit(EXIT_FAILED)
    click.echo(json.dumps(sections[section], indent=2))
