"""HTTP client connector with bounds on responses, whose connects can be cancelled safely."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from gypsumrouter.helpers.http_connection import PARSED_BYTES
from gypsumrouter.helpers.http_response import Excess, ResponseBounds


class BoundedResponseHandler(ResponseHandler):
    """Breaks an exchange off whose bytes beside the content exceed a bound of `ResponseBounds`.

    The parser bounds lines and the number of headers, but not interim responses, which are queued,
    nor empty lines before a status line, the sizes of chunks and their extensions.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._bounds = ResponseBounds()

    def set_response_params(self, **params: Any) -> None:
        """Begin another exchange."""
        self._bounds = ResponseBounds()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in parts, until a bound is exceeded."""
        if not data:
            # The reader of the body has made room, and the parser has kept some bytes back.
            super().data_received(data)
        for begin in range(0, len(data), PARSED_BYTES):
            if self.exception() is not None:
                return
            excess = self._receive(data[begin : begin + PARSED_BYTES])
            if excess is not None:
                self._break_off(excess)

    def _receive(self, part: bytes) -> Excess | None:
        """Parse a part; return the bound that is exceeded by it."""
        body = self._payload
        if body is None or body.is_eof():
            excess = self._bounds.note_head(len(part))
            if excess is None:
                super().data_received(part)
            if self._payload is not body:
                self._bounds.begin_body()
            return excess
        super().data_received(part)
        return self._bounds.note_body(len(part), content_bytes=body.total_bytes)

    def _break_off(self, excess: Excess) -> None:
        error = aiohttp.ClientPayloadError(str(excess))
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def _make_handler(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    return BoundedResponseHandler(loop)


class ShieldedConnector(aiohttp.TCPConnector):
    """Connector that shields running connection attempts from cancellation.

    After a cancellation the attempt continues in the background and its connection is closed
    unused. If it were cancelled, uvloop 0.22.1 would close the file descriptor of the socket twice.
    The second close may hit another connection of the process that has been given the same
    descriptor. Background attempts are limited by the `sock_connect` timeout of the session.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(_make_handler, asyncio.get_running_loop())

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection; the call may be cancelled."""
        task = asyncio.ensure_future(super().connect(req, traces, timeout))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_close_unused)
            raise


def _close_unused(task: asyncio.Task[Connection]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()
