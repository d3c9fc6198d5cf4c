"""Client of the operator endpoints of running processes."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import aiohttp
import click
from msgspec import Struct

from gypsumrouter.exceptions import Unreachable

ENV_TOKEN: Final = "GYPSUMROUTER_TOKEN"
PATH_DUMP: Final = "/dump"
ATTR_SECTIONS: Final = "sections"
TIMEOUT_S: Final = 5.0
MAX_CONCURRENT: Final = 32
_STATUS_OK: Final = 200


class DumpResult(Struct, frozen=True, kw_only=True):
    """State dump of the process at an address, or the error if it could not be fetched."""

    address: str
    dump: dict[str, Any] | None = None
    error: str = ""


def read_token(token_file: Path | None) -> str | None:
    """Return the operator token from a file, or else from the environment."""
    if token_file is None:
        return os.environ.get(ENV_TOKEN) or None
    try:
        return token_file.read_text().strip()
    except OSError as error:
        raise click.BadParameter(f"{token_file} cannot be read: {error.strerror}") from None


async def async_fetch_dump(address: str, token: str | None = None) -> dict[str, Any]:
    """Return the state dump of the process at `address`; raises Unreachable.

    `address` is `IP:port`, or an origin such as `https://IP:port`.
    """
    origin = address if "://" in address else f"http://{address}"
    headers = {} if token is None else {"Authorization": f"Bearer {token}"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
            session.get(origin.rstrip("/") + PATH_DUMP) as response,
        ):
            if response.status != _STATUS_OK:
                raise Unreachable(f"{address}: expected status {_STATUS_OK}, got {response.status}")
            dump = await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise Unreachable(f"{address}: {type(error).__name__}") from None
    if not isinstance(dump, dict):
        raise Unreachable(f"{address}: the response is not a state dump (expected a JSON object)")
    return dump


async def async_fetch_dumps(
    addresses: Iterable[str], token: str | None = None
) -> tuple[DumpResult, ...]:
    """Return the state dumps of many processes, in the order of the addresses."""
    limit = asyncio.Semaphore(MAX_CONCURRENT)

    async def async_fetch(address: str) -> DumpResult:
        async with limit:
            try:
                return DumpResult(address=address, dump=await async_fetch_dump(address, token))
            except Unreachable as error:
                return DumpResult(address=address, error=str(error))

    return tuple(await asyncio.gather(*(async_fetch(address) for address in addresses)))


def get_section(dump: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a section of a state dump; empty if the dump doesn't have it."""
    sections = dump.get(ATTR_SECTIONS)
    section = sections.get(name) if isinstance(sections, dict) else None
    return section if isinstance(section, dict) else {}
