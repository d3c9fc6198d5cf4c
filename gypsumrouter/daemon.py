"""Entry point of the daemon `gypsumrouterd`."""

from __future__ import annotations

import os

from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF

# libuv reads this variable once, when the first event loop is created.
os.environ[ENV_IO_URING] = IO_URING_OFF

import gc
import sys

from gypsumrouter.helpers import process_signals
from gypsumrouter.helpers.listening import open_early_listener

if __name__ == "__main__":
    process_signals.install_handlers()
    # Garbage collections during the imports free nothing and slow down the start.
    gc.disable()
    open_early_listener(sys.argv[1:])

import asyncio
import socket
import traceback
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Final, NoReturn, TextIO, cast

import click
import uvloop

from gypsumrouter.const import EXIT_FAILED, EXIT_SETTINGS, VERSION, Role
from gypsumrouter.exceptions import SettingsInvalid
from gypsumrouter.helpers.logs import configure_logging
from gypsumrouter.helpers.settings_file import check_settings, read_settings_file
from gypsumrouter.service import DaemonService, Setup
from gypsumrouter.settings import ForwarderSettings, RouterSettings, Settings, SideSettings

WORKER_THREADS: Final = 4


def load_settings(*, role: Role, path: Path) -> Settings:
    """Return the validated settings, or print every invalid field and exit."""
    try:
        return check_settings(role=role, document=read_settings_file(path))
    except SettingsInvalid as error:
        for field_error in error.errors:
            click.echo(str(field_error), err=True)
        sys.exit(EXIT_SETTINGS)


def run_daemon(
    *, settings: Settings, announce: bool, setup: Setup, log_stream: TextIO | None = None
) -> NoReturn:
    """Run a process until it stops, and exit with its code."""
    with process_signals.held():
        remove_logging = configure_logging(
            settings=settings.log, instance=settings.instance.name, stream=log_stream
        )
    process_signals.install_handlers()
    service = DaemonService(settings=settings, announce=announce, setup=setup)
    failure: BaseException | None = None
    try:
        exit_code = run_service(service)
    except BaseException as error:
        exit_code, failure = EXIT_FAILED, error
    is_written = remove_logging()
    if failure is not None:
        traceback.print_exception(failure)
    if is_written:
        sys.stdout.flush()
        sys.stderr.flush()
    # All is released. An exit of the event loop or the interpreter takes time that a stop may
    # not have, and waits for threads and for an output that nobody reads.
    os._exit(exit_code)


def run_service(service: DaemonService) -> int:
    """Run a service in a new event loop and return its exit code.

    The loop handles no signals: the service does, as it drains running requests before the exit.
    It stays open, as a close waits for threads.
    """
    loop = uvloop.new_event_loop()
    workers = ThreadPoolExecutor(WORKER_THREADS, initializer=process_signals.leave_to_main_thread)
    loop.set_default_executor(workers)
    with process_signals.held():
        loop.run_until_complete(_async_start_loop_threads(loop))
    return loop.run_until_complete(service.async_run())


async def _async_start_loop_threads(loop: asyncio.AbstractEventLoop) -> None:
    """Let libuv start its threads, which it does when an address is first looked up."""
    await loop.getaddrinfo("127.0.0.1", None, flags=socket.AI_NUMERICHOST)


@click.group()
@click.version_option(VERSION)
def main() -> None:
    """Run a gypsumrouter process."""


_SETTINGS: Final = click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="Path of the JSON settings file.",
)
_ANNOUNCE: Final = click.option(
    "--announce", is_flag=True, help="Print the bound addresses as one JSON line."
)
_PLACEMENT: Final = click.option(
    "--placement",
    default="rendezvous",
    show_default=True,
    help="Placement strategy; all but the default are meant for comparisons.",
)


# Each command imports only the modules of its role, to save memory and start-up time.
@main.command(Role.ROUTER.value)
@_SETTINGS
@_ANNOUNCE
@_PLACEMENT
def run_router(path: Path, announce: bool, placement: str) -> None:
    """Run a router, which accepts requests from callers and sends them to sides."""
    from gypsumrouter.bootstrap import async_setup
    from gypsumrouter.placement import PlacementKind

    if placement not in [kind.value for kind in PlacementKind]:
        raise click.BadParameter(f"{placement!r} is not one of {', '.join(PlacementKind)}")
    settings = cast(RouterSettings, load_settings(role=Role.ROUTER, path=path))
    kind = PlacementKind(placement)
    setup = partial(async_setup, settings=settings, placement=kind)
    run_daemon(settings=settings, announce=announce, setup=setup)


@main.command(Role.SIDE.value)
@_SETTINGS
@_ANNOUNCE
def run_side(path: Path, announce: bool) -> None:
    """Run a side, the sidecar process of one upstream."""
    from gypsumrouter.bootstrap import async_setup

    settings = cast(SideSettings, load_settings(role=Role.SIDE, path=path))
    setup = partial(async_setup, settings=settings)
    run_daemon(settings=settings, announce=announce, setup=setup)


@main.command(Role.FORWARDER.value)
@_SETTINGS
@_ANNOUNCE
def run_forwarder(path: Path, announce: bool) -> None:
    """Run a forwarder, a router that sends requests directly to upstreams without sides."""
    from gypsumrouter.bootstrap_forwarder import async_setup_forwarder

    settings = cast(ForwarderSettings, load_settings(role=Role.FORWARDER, path=path))
    setup = partial(async_setup_forwarder, settings=settings, settings_path=path)
    run_daemon(settings=settings, announce=announce, setup=setup, log_stream=sys.stdout)


if __name__ == "__main__":
    main()
