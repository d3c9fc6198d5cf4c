"""Faults of stand-ins: frozen request handling and outages."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Final

from aiohttp import web

from gypsumrouter.standins.json_responses import async_read_json_object, make_json_response
from gypsumrouter.standins.listener import StandinListener

CONTROL_PREFIX: Final = "/standin/"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class OutageKind(StrEnum):
    """How a platform service fails: errors, refused connections or no response."""

    NONE = "none"
    ERROR = "error"
    REFUSE = "refuse"
    HANG = "hang"


class Gate:
    """Hold all requests while closed, except those to the control endpoints of the stand-in."""

    __slots__ = ("_opened",)

    def __init__(self) -> None:
        self._opened = asyncio.Event()
        self._opened.set()

    def close(self) -> None:
        """Hold requests until the gate is opened."""
        self._opened.clear()

    def open(self) -> None:
        """Handle the held requests and all new ones."""
        self._opened.set()

    async def async_wait_open(self) -> None:
        """Wait until the gate is open."""
        await self._opened.wait()

    @web.middleware
    async def async_middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Handle a request once the gate is open; control requests are never held."""
        if not request.path.startswith(CONTROL_PREFIX):
            await self._opened.wait()
        return await handler(request)


class Outage:
    """The outage of one platform service; `on_change` is called on each change."""

    __slots__ = ("_gate", "_listener", "_on_change", "kind")

    def __init__(
        self, *, listener: StandinListener, gate: Gate, on_change: Callable[[], None]
    ) -> None:
        self._listener = listener
        self._gate = gate
        self._on_change = on_change
        self.kind = OutageKind.NONE

    async def async_set(self, kind: OutageKind) -> None:
        """Start, change or end (NONE) an outage."""
        self.kind = kind
        if kind is OutageKind.HANG:
            self._gate.close()
        else:
            self._gate.open()
        if kind is OutageKind.REFUSE:
            self._listener.close()
        else:
            await self._listener.async_open()
        self._on_change()

    async def async_post(self, request: web.Request) -> web.Response:
        """Handle `POST /standin/outage {"kind"}`.

        REFUSE is rejected, since it closes the listener that would end the outage.
        """
        payload = await async_read_json_object(request)
        try:
            kind = OutageKind(str(payload.get("kind")))
        except ValueError:
            raise web.HTTPBadRequest(text="kind must be none, error, refuse or hang") from None
        if kind is OutageKind.REFUSE:
            raise web.HTTPBadRequest(text="refuse can only be set from Python")
        await self.async_set(kind)
        return make_json_response({})
