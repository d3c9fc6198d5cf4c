"""The command-line tool `gypsumrouter`."""

from __future__ import annotations

import os

import click

from gypsumrouter.cli.config import config_group
from gypsumrouter.cli.dump import dump_command
from gypsumrouter.cli.explain import explain_command
from gypsumrouter.cli.key import key_command
from gypsumrouter.cli.orders import orders_command
from gypsumrouter.cli.rules import rules_group
from gypsumrouter.cli.settings import settings_group
from gypsumrouter.cli.status import status_command
from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF, VERSION

os.environ[ENV_IO_URING] = IO_URING_OFF


@click.group()
@click.version_option(VERSION)
def main() -> None:
    """Inspect and validate a fleet of gypsumrouter processes."""


main.add_command(config_group)
main.add_command(dump_command)
main.add_command(explain_command)
main.add_command(key_command)
main.add_command(orders_command)
main.add_command(rules_group)
main.add_command(settings_group)
main.add_command(status_command)
