"""Passing a stream on as it comes, and going on where it broke off."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from aiohttp import web

from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.answers import make_stream
from gypsumrouter.forwarding.const import MIN_SILENCE_MS, PAUSE_FACTOR, SILENCE_FACTOR
from gypsumrouter.forwarding.events import EventCutter, EventTooLong
from gypsumrouter.forwarding.models import Begun, CallerRequest, Dialect
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.helpers.http_connection import ConnectionBroken
from gypsumrouter.routing import Route
from gypsumrouter.util.clock import Clock


class RelayEnd(StrEnum):
    """How a stream from one upstream ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    SILENT = "silent"


class CallerGone(ConnectionError):
    """The caller closed its connection while its answer was written."""


class Relay:
    """Writes the events of one answer, from one upstream or, where it is resumed, from several.

    Only whole events are passed on. Nothing is sent before the first one, so that until then the
    request can still be answered in another way.
    """

    __slots__ = (
        "_clock",
        "_closes",
        "_cutter",
        "_dialect",
        "_headers",
        "_progress",
        "_request",
        "_route",
        "_web_request",
        "response",
    )

    def __init__(
        self,
        *,
        web_request: web.BaseRequest,
        request: CallerRequest,
        route: Route,
        dialect: Dialect,
        clock: Clock,
        progress: Progress,
        closes: bool,
    ) -> None:
        self._web_request = web_request
        self._request = request
        self._route = route
        self._dialect = dialect
        self._clock = clock
        self._progress = progress
        self._closes = closes
        self._cutter = EventCutter()
        self._headers: list[tuple[str, str]] | None = None
        self.response: web.StreamResponse | None = None

    @property
    def last_id(self) -> str | None:
        """Return the id of the last event that was passed on."""
        return self._cutter.last_id

    async def async_pass_on(self, begun: Begun) -> RelayEnd:
        """Pass on what one upstream sends until it ends."""
        if self._headers is None:
            self._headers = self._dialect.select_headers(begun.answer)
        self._cutter.drop_tail()
        try:
            if begun.first:
                await self._async_write(begun, begun.first)
            while part := await self._async_read(begun):
                whole = self._cutter.cut(part) if begun.events else part
                await self._async_write(begun, whole)
        except TimeoutError:
            return RelayEnd.SILENT
        except (ConnectionBroken, EventTooLong):
            return RelayEnd.BROKEN
        await self._async_write(begun, self._cutter.take_tail())
        await self._async_end(begun)
        return RelayEnd.WHOLE

    async def _async_read(self, begun: Begun) -> bytes:
        pause_ms = self._get_pause_ms()
        if pause_ms is None:
            return await begun.answer.body.readany()
        async with asyncio.timeout(pause_ms / MS_PER_S):
            return await begun.answer.body.readany()

    def _get_pause_ms(self) -> int | None:
        """Return how long a stream that can be resumed may say nothing."""
        if not self._route.resumable:
            return None
        if self.response is None:
            return max(MIN_SILENCE_MS, int(self._route.target_latency_ms * SILENCE_FACTOR))
        return max(MIN_SILENCE_MS, int(self._route.max_event_gap_ms * PAUSE_FACTOR))

    async def _async_write(self, begun: Begun, data: bytes) -> None:
        if not data:
            return
        response = self.response
        try:
            if response is None:
                response = await self._async_prepare(begun)
            await response.write(data)
        except ConnectionError:
            raise CallerGone from None
        self._progress.bytes_out += len(data)

    async def _async_prepare(self, begun: Begun) -> web.StreamResponse:
        response = make_stream(status=begun.status, headers=self._headers or [])
        if self._closes:
            response.force_close()
        self.response = response
        self._progress.first_byte_ms = self._clock.now_ms() - self._progress.arrived_ms
        await response.prepare(self._web_request)
        return response

    async def _async_end(self, begun: Begun) -> None:
        response = self.response
        try:
            if response is None:
                response = await self._async_prepare(begun)
            await response.write_eof()
        except ConnectionError:
            raise CallerGone from None
