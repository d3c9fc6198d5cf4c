"""HTTP client of the instance list: long polls with failover between origins."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

import aiohttp
from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.exceptions import DocumentInvalid
from gypsumrouter.fleet.const import (
    HEADER_AS_OF,
    LONG_POLL_MS,
    MAX_LIST_BYTES,
    PARAM_AFTER,
    PARAM_EPOCH,
    PARAM_TIMEOUT,
    PATH_INSTANCES,
    READS_PER_LEASE,
    RESPONSE_MARGIN_MS,
)
from gypsumrouter.fleet.document import check_instance_list
from gypsumrouter.helpers.connector import ShieldedConnector
from gypsumrouter.helpers.numbers import read_number
from gypsumrouter.instances import InstanceList
from gypsumrouter.util.revisions import get_epoch, get_number
from gypsumrouter.util.validation import MAX_JSON_INTEGER

if TYPE_CHECKING:
    from gypsumrouter.settings import Platform

_LOGGER = logging.getLogger(__name__)


class Unchanged(Struct, frozen=True, kw_only=True):
    """The requested revision was still the newest at the wall time `as_of_ms`."""

    as_of_ms: int


class InstanceListSource(Protocol):
    """A service that publishes the instance list."""

    async def async_fetch(self, *, after_revision: int | None) -> InstanceList | Unchanged | None:
        """Return the list after `after_revision`, or the newest one if that is None.

        Returns None if there was no usable response.
        """


class HttpInstanceListSource:
    """Client of the platform's instance list.

    It uses one origin until that fails or returns an older state than an earlier response.
    """

    __slots__ = ("_app", "_current_origin", "_newest_as_of_ms", "_origins", "_poll_ms", "_session")

    def __init__(self, *, app: Application, settings: Platform) -> None:
        self._app = app
        self._origins = settings.instances
        self._poll_ms = min(LONG_POLL_MS, settings.list_lease_ms // READS_PER_LEASE)
        self._current_origin = 0
        self._newest_as_of_ms = 0
        self._session: aiohttp.ClientSession | None = None

    async def async_fetch(self, *, after_revision: int | None) -> InstanceList | Unchanged | None:
        """Return the first usable response, or None if no origin returned one."""
        for _ in self._origins:
            result = await self._async_fetch_from(
                self._origins[self._current_origin], after_revision
            )
            if result is not None and result.as_of_ms >= self._newest_as_of_ms:
                self._newest_as_of_ms = result.as_of_ms
                return result
            self._current_origin = (self._current_origin + 1) % len(self._origins)
        return None

    async def _async_fetch_from(
        self, origin: str, after_revision: int | None
    ) -> InstanceList | Unchanged | None:
        params = {PARAM_TIMEOUT: str(self._poll_ms)}
        if after_revision is not None:
            params[PARAM_AFTER] = str(get_number(after_revision))
            params[PARAM_EPOCH] = str(get_epoch(after_revision))
        try:
            async with self._get_session().get(origin + PATH_INSTANCES, params=params) as response:
                return await _async_parse_response(response)
        except (aiohttp.ClientError, TimeoutError, OSError, RuntimeError, ValueError) as error:
            # The event loop raises RuntimeError for a file descriptor that it still uses.
            _LOGGER.debug("Reading the instance list from %s failed: %s", origin, error)
        except DocumentInvalid as error:
            _LOGGER.debug("Instance list from %s is invalid: %s", origin, error)
        return None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            total_ms = self._poll_ms + RESPONSE_MARGIN_MS
            timeout = aiohttp.ClientTimeout(
                total=total_ms / MS_PER_S, sock_connect=RESPONSE_MARGIN_MS / MS_PER_S
            )
            self._session = aiohttp.ClientSession(connector=ShieldedConnector(), timeout=timeout)
            self._app.on_stop(self._session.close)
        return self._session


async def _async_parse_response(
    response: aiohttp.ClientResponse,
) -> InstanceList | Unchanged | None:
    if response.status == HTTPStatus.NO_CONTENT:
        as_of_ms = read_number(response.headers.get(HEADER_AS_OF), largest=MAX_JSON_INTEGER)
        if as_of_ms is None:
            raise ValueError(f"expected a time in {HEADER_AS_OF}, got none or an invalid one")
        return Unchanged(as_of_ms=as_of_ms)
    if response.status != HTTPStatus.OK:
        return None
    body = await _async_read_bounded(response.content)
    return check_instance_list(body)


async def _async_read_bounded(content: aiohttp.StreamReader) -> bytes:
    try:
        await content.readexactly(MAX_LIST_BYTES)
    except asyncio.IncompleteReadError as error:
        return error.partial
    raise ValueError(f"instance list exceeds the limit of {MAX_LIST_BYTES} bytes")
