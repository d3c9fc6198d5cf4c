"""HTTP client for the KV cache API of the local engine."""

from __future__ import annotations

import asyncio
import json
import logging
from http import HTTPMethod
from typing import Any, Final

import aiohttp
from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.helpers.numbers import read_json_number
from gypsumrouter.prefixes.const import (
    CALL_TIMEOUT_MS,
    HTTP_OK,
    KIND_EVICTED,
    PATH_EVENTS,
    PATH_EXPORT,
    PATH_IMPORT,
)
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream import ConnectFailed, ConnectionBroken, Transport, async_read_body

_LOGGER = logging.getLogger(__name__)

# The session raises RuntimeError after it has been closed by a stop.
CALL_ERRORS: Final = (
    ConnectFailed,
    ConnectionBroken,
    aiohttp.ClientError,
    OSError,
    RuntimeError,
    TimeoutError,
)

_JSON: Final = [("Content-Type", "application/json")]


class Evicted(Struct, frozen=True, kw_only=True):
    """A number of tokens of a chat that the engine has evicted."""

    chat: str
    tokens: int


class CacheClient:
    """Export and import prefixes and read eviction events; failed calls return no result."""

    __slots__ = ("_app", "_next_event", "_transport")

    def __init__(self, *, app: Application, settings: Upstream) -> None:
        self._app = app
        self._next_event = 0
        self._transport = Transport(app=app, settings=settings)

    async def async_start(self) -> None:
        """Open the session."""
        self._transport.open_session()
        self._app.on_stop(self._transport.async_close)

    async def async_export(self, chat: str) -> bytes | None:
        """Return the cached prefix of a chat, or None."""
        return await self._async_call(HTTPMethod.POST, PATH_EXPORT, {"chat": chat})

    async def async_import(self, chat: str, exported: bytes) -> bool:
        """Import a prefix that another engine exported; return whether it was accepted."""
        try:
            document = json.loads(exported)
            payload = {"chat": chat, "tokens": document["tokens"], "blocks": document["blocks"]}
        except (ValueError, KeyError, TypeError, RecursionError):
            return False
        return await self._async_call(HTTPMethod.POST, PATH_IMPORT, payload) is not None

    async def async_list_evicted(self) -> tuple[Evicted, ...]:
        """Return the evictions since the last call; events may be delayed or lost."""
        body = await self._async_call(
            HTTPMethod.GET, f"{PATH_EVENTS}?after={self._next_event}", None
        )
        if body is None:
            return ()
        try:
            document = json.loads(body)
            next_event = read_json_number(document["next"])
            evicted = tuple(
                Evicted(chat=str(event["chat"]), tokens=tokens)
                for event in document["events"]
                if event["kind"] == KIND_EVICTED
                and (tokens := read_json_number(event["tokens"])) is not None
            )
        except (ValueError, KeyError, TypeError, RecursionError):
            return ()
        if next_event is None:
            return ()
        self._next_event = next_event
        return evicted

    async def _async_call(
        self, method: HTTPMethod, path: str, payload: dict[str, Any] | None
    ) -> bytes | None:
        body = b"" if payload is None else json.dumps(payload).encode()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_S):
                response = await self._transport.async_open(
                    method=method, path=path, headers=_JSON if body else [], body=body
                )
                try:
                    answer = await async_read_body(response)
                    return answer if response.status == HTTP_OK else None
                finally:
                    response.close()
        except CALL_ERRORS as error:
            _LOGGER.debug("Request %s to the engine's cache API failed: %s", path, error)
            return None
