"""Connections of the HTTP client that can be given up at any moment."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace


class ShieldedConnector(aiohttp.TCPConnector):
    """Never cancel a connect half-way: it goes on alone, and its connection is closed unused.

    Where a connect is cancelled, uvloop 0.22.1 closes the socket's descriptor, and the socket
    object closes the same number again when it is freed. By then the number may belong to another
    connection of the process, which then reads and writes what is not its own. `sock_connect` of
    the session's timeout bounds a connect that goes on alone.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection; safe to cancel."""
        task = asyncio.ensure_future(super().connect(req, traces, timeout))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_close_unused)
            raise


def _close_unused(task: asyncio.Task[Connection]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()
