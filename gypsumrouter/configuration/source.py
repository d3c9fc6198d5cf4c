"""HTTP client of the platform's configuration service."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

import aiohttp
from msgspec import Struct

from gypsumrouter.configuration.const import (
    CONNECT_MS,
    HEADER_VERSION,
    MAX_DOCUMENT_BYTES,
    PATH_CONFIGURATION,
    READ_MS,
    WATCH_GRACE_MS,
)
from gypsumrouter.const import MS_PER_S
from gypsumrouter.helpers.connector import ShieldedConnector
from gypsumrouter.helpers.http_headers import is_framed
from gypsumrouter.helpers.numbers import read_number
from gypsumrouter.util.body_formats import is_complete_json

if TYPE_CHECKING:
    from gypsumrouter.core import Application

_STATUS_OK = 200
_STATUS_NO_CONTENT = 204


class Document(Struct, frozen=True, kw_only=True):
    """A document from the service; `version` is taken from the response header."""

    body: bytes
    version: int | None


class Unchanged(Struct, frozen=True, kw_only=True):
    """There is no version above the requested one."""


class Unavailable(Struct, frozen=True, kw_only=True):
    """The service did not return a usable response."""

    message: str


SourceAnswer = Document | Unchanged | Unavailable


class ConfigurationSource(Protocol):
    """A service that publishes the configuration."""

    async def async_read(self) -> SourceAnswer:
        """Return the newest document of one replica of the service."""

    async def async_watch(self, *, after: int, timeout_ms: int) -> SourceAnswer:
        """Return a document with a version above `after`; wait up to `timeout_ms` for one."""


class HttpConfigurationSource:
    """Call the service at several origins, round robin."""

    __slots__ = ("_app", "_next_origin", "_origins", "_session", "calls")

    def __init__(
        self, *, app: Application, origins: tuple[str, ...], rng: random.Random | None = None
    ) -> None:
        self._app = app
        self._origins = origins
        self._next_origin = (rng or random.Random()).randrange(max(1, len(origins)))
        self._session: aiohttp.ClientSession | None = None
        self.calls = app.metrics.counter(
            "gypsumrouter_configuration_reads_total", "Calls to the configuration service"
        )

    async def async_read(self) -> SourceAnswer:
        """Return the newest document of the first origin that returns one."""
        answer: SourceAnswer = Unavailable(message="no origin is set")
        for _ in self._origins:
            answer = await self._async_get({}, READ_MS)
            if isinstance(answer, Document):
                return answer
        return answer

    async def async_watch(self, *, after: int, timeout_ms: int) -> SourceAnswer:
        """Return a document above `after` from the next origin; wait up to `timeout_ms` for one."""
        query = {"watch": str(after), "timeout_ms": str(timeout_ms)}
        return await self._async_get(query, timeout_ms + WATCH_GRACE_MS)

    async def _async_get(self, query: dict[str, str], timeout_ms: int) -> SourceAnswer:
        if not self._origins:
            return Unavailable(message="no origin is set")
        origin = self._origins[self._next_origin % len(self._origins)]
        self._next_origin += 1
        self.calls.inc()
        try:
            async with self._get_session().get(
                origin + PATH_CONFIGURATION, params=query, timeout=_build_timeout(timeout_ms)
            ) as response:
                return await _async_parse_response(response)
        except (aiohttp.ClientError, TimeoutError, OSError, RuntimeError) as error:
            # The event loop raises RuntimeError for a file descriptor that it still uses.
            return Unavailable(message=f"{origin}: {type(error).__name__}")

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=ShieldedConnector())
            self._app.on_stop(self._async_close)
        return self._session

    async def _async_close(self) -> None:
        if self._session is not None:
            await self._session.close()


async def _async_parse_response(response: aiohttp.ClientResponse) -> SourceAnswer:
    if response.status == _STATUS_NO_CONTENT:
        return Unchanged()
    if response.status != _STATUS_OK:
        return Unavailable(message=f"status {response.status}")
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_DOCUMENT_BYTES:
            # Keep one byte above the limit, so that validation reports the document as too large.
            del body[MAX_DOCUMENT_BYTES + 1 :]
            break
        await asyncio.sleep(0)
    if not is_framed(response.headers) and not is_complete_json(bytes(body)):
        # Not rejected as a version: the connection may have broken inside the document.
        return Unavailable(message="the end of the document is missing")
    return Document(body=bytes(body), version=_read_header(response))


def _read_header(response: aiohttp.ClientResponse) -> int | None:
    return read_number(response.headers.get(HEADER_VERSION))


def _build_timeout(timeout_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=(timeout_ms + CONNECT_MS) / MS_PER_S,
        sock_connect=CONNECT_MS / MS_PER_S,
        sock_read=timeout_ms / MS_PER_S,
    )
