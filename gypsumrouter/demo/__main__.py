"""Run the demo: `python -m gypsumrouter.demo [--stay]`."""

from __future__ import annotations

import os

from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF

os.environ[ENV_IO_URING] = IO_URING_OFF

import sys

import click
import uvloop

from gypsumrouter.const import EXIT_FAILED, EXIT_OK
from gypsumrouter.demo.run import async_run_demo
from gypsumrouter.helpers.logs import configure_logging
from gypsumrouter.settings import Log, LogLevel

DEMO: str = "demo"


@click.command()
@click.option("--stay", is_flag=True, help="Leave it running and print a curl line that works.")
def main(stay: bool) -> None:
    """Run a fleet with stand-in upstreams on loopback and send it chats and service calls."""
    remove_logging = configure_logging(settings=Log(level=LogLevel.WARNING), instance=DEMO)
    try:
        passed = uvloop.run(async_run_demo(stay=stay))
    except KeyboardInterrupt:
        sys.exit(EXIT_OK)
    finally:
        remove_logging()
    sys.exit(EXIT_OK if passed else EXIT_FAILED)


if __name__ == "__main__":
    main()
