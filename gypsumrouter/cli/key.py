"""Command that generates an idempotency key."""

from __future__ import annotations

import secrets
import uuid
from typing import Final

import click

from gypsumrouter.util.clock import SystemClock

_VERSION: Final = 7
_VARIANT: Final = 0b10
_RANDOM_A_BITS: Final = 12
_RANDOM_B_BITS: Final = 62


@click.command("key")
def key_command() -> None:
    """Print a new idempotency key: a UUID of version 7, which includes its creation time."""
    click.echo(str(make_key(wall_ms=SystemClock().wall_ms())))


def make_key(*, wall_ms: int) -> uuid.UUID:
    """Return a UUID of version 7 for a wall time in milliseconds."""
    high = wall_ms << 16 | _VERSION << _RANDOM_A_BITS | secrets.randbits(_RANDOM_A_BITS)
    low = _VARIANT << _RANDOM_B_BITS | secrets.randbits(_RANDOM_B_BITS)
    return uuid.UUID(int=high << 64 | low)
