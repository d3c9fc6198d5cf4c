"""HTTP client connector whose connection attempts can be cancelled safely."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace


class ShieldedConnector(aiohttp.TCPConnector):
    """Connector that shields running connection attempts from cancellation.

    After a cancellation the attempt continues in the background and its connection is closed
    unused. If it were cancelled, uvloop 0.22.1 would close the file descriptor of the socket twice.
    The second close may hit another connection of the process that has been given the same
    descriptor. Background attempts are limited by the `sock_connect` timeout of the session.
    """

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
