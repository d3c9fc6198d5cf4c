"""An HTTP listener that can be closed and reopened on the same port."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final, cast

from aiohttp import web

from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.instances import Address

BACKLOG: Final = 1024
LINGER_RESET: Final = struct.pack("ii", 1, 0)
SHUTDOWN_S: Final = 0.1


class PortReservation:
    """A bound socket that reserves a port while nothing listens on it."""

    __slots__ = ("_socket", "address")

    def __init__(self, *, host: str, port: int) -> None:
        self._socket = _bind(host, port)
        self.address = Address(host=host, port=self._socket.getsockname()[1])

    def open_listener(self) -> socket.socket:
        """Return a new listening socket on the reserved port."""
        listener = _bind(self.address.host, self.address.port)
        listener.listen(BACKLOG)
        return listener

    def close(self) -> None:
        """Release the port."""
        self._socket.close()


class StandinListener:
    """Serves an aiohttp application; the port stays reserved while it is closed."""

    __slots__ = ("_app", "_host", "_port", "_reservation", "_runner", "_server")

    def __init__(self, *, app: web.Application, host: str, port: int) -> None:
        self._app = app
        self._host = host
        self._port = port
        self._reservation: PortReservation | None = None
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Return the address of the listener; raises InvariantBroken before `async_start`."""
        if self._reservation is None:
            raise InvariantBroken("stand-in has no address: async_start has not been called")
        return self._reservation.address

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        self._reservation = PortReservation(host=self._host, port=self._port)
        self._runner = web.AppRunner(
            self._app,
            access_log=None,
            handle_signals=False,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_S,
        )
        await self._runner.setup()
        await self.async_open()
        return self._reservation.address

    async def async_open(self) -> None:
        """Listen on the reserved port; does nothing if it is listening already."""
        if self._server is not None or self._reservation is None or self._runner is None:
            return
        factory = self._runner.server
        if factory is None:
            raise InvariantBroken("aiohttp AppRunner has no server after setup")
        listener = self._reservation.open_listener()
        self._server = await asyncio.get_running_loop().create_server(factory, sock=listener)

    def close(self) -> None:
        """Stop listening and reset all connections, as if the process had crashed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        if self._runner is None or self._runner.server is None:
            return
        for connection in tuple(self._runner.server.connections):
            if connection.transport is not None:
                reset_transport(connection.transport)

    async def async_stop(self) -> None:
        """Stop the server and release the port; idempotent."""
        self.close()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
        if self._reservation is not None:
            self._reservation.close()


def reset_transport(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a TCP RST, discarding buffered data."""
    # uvloop's transports do not derive from asyncio.WriteTransport.
    stream = cast(asyncio.WriteTransport, transport)
    connection = stream.get_extra_info("socket")
    if connection is not None and not stream.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    stream.abort()


def _bind(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    bound.bind((host, port))
    return bound
