"""Entry point of the daemon `gypsumrouterd`."""

from __future__ import annotations

import os

from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF

# The event loop's library reads this once, when the first loop is made.
os.environ[ENV_IO_URING] = IO_URING_OFF

import sys
from pathlib import Path
from typing import Final

import aiomisc
import click
import uvloop

from gypsumrouter.const import EXIT_SETTINGS, VERSION, Role
from gypsumrouter.exceptions import SettingsInvalid
from gypsumrouter.helpers.logs import configure_logging
from gypsumrouter.helpers.settings_file import check_settings, read_settings_file
from gypsumrouter.placement import PlacementKind
from gypsumrouter.service import DaemonService
from gypsumrouter.settings import Settings

WORKER_THREADS: Final = 4


def load_settings(*, role: Role, path: Path) -> Settings:
    """Return the checked settings, or print every wrong field and end the process."""
    try:
        return check_settings(role=role, document=read_settings_file(path))
    except SettingsInvalid as error:
        for field_error in error.errors:
            click.echo(str(field_error), err=True)
        sys.exit(EXIT_SETTINGS)


def run_daemon(*, settings: Settings, announce: bool, placement: PlacementKind) -> int:
    """Run one process until it is stopped and return its exit code."""
    remove_logging = configure_logging(settings=settings.log, instance=settings.instance.name)
    service = DaemonService(settings=settings, announce=announce, placement=placement)
    # The service has signal handlers of its own: a stop waits for the answers that still run.
    with aiomisc.entrypoint(
        service,
        loop_factory=uvloop.new_event_loop,
        pool_size=WORKER_THREADS,
        log_config=False,
        catch_signals=(),
    ) as loop:
        exit_code: int = loop.run_until_complete(service.async_wait())
    remove_logging()
    return exit_code


@click.group()
@click.version_option(VERSION)
def main() -> None:
    """Run one process of gypsumrouter."""


_SETTINGS: Final = click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="The settings file, in JSON.",
)
_ANNOUNCE: Final = click.option(
    "--announce", is_flag=True, help="Print the bound addresses as one line of JSON."
)
_PLACEMENT: Final = click.option(
    "--placement",
    type=click.Choice([kind.value for kind in PlacementKind]),
    default=PlacementKind.RENDEZVOUS.value,
    show_default=True,
    help="How instances are chosen; all but the default are for comparisons.",
)


@main.command(Role.ROUTER.value)
@_SETTINGS
@_ANNOUNCE
@_PLACEMENT
def run_router(path: Path, announce: bool, placement: str) -> None:
    """Run a router on an entry instance."""
    settings = load_settings(role=Role.ROUTER, path=path)
    kind = PlacementKind(placement)
    sys.exit(run_daemon(settings=settings, announce=announce, placement=kind))


@main.command(Role.SIDE.value)
@_SETTINGS
@_ANNOUNCE
def run_side(path: Path, announce: bool) -> None:
    """Run a side beside an upstream."""
    settings = load_settings(role=Role.SIDE, path=path)
    kind = PlacementKind.RENDEZVOUS
    sys.exit(run_daemon(settings=settings, announce=announce, placement=kind))


if __name__ == "__main__":
    main()
