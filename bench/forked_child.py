"""Child processes that are forked from a process with their modules loaded, and start at once.

They receive JSON commands, one per line, on a socket, and stop at its end.
"""

from __future__ import annotations

import asyncio
import gc
import json
import multiprocessing
import os
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Final

import msgspec
from msgspec import Struct

from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF

START_TIMEOUT_S: Final = 90.0
# They import neither the modules of the parent nor the one that it was started with.
CONTEXT: Final = multiprocessing.get_context("forkserver")
CONTEXT.set_forkserver_preload(["bench.upstream_host", "bench.upstream_proxy"])

# Runs in the child: its plan, the socket of its commands, and a socket that listens.
Target = Callable[[bytes, socket.socket, socket.socket | None], None]


class ForkedChild:
    """Runs a function of a module in a process of its own; it inherits `listener`."""

    def __init__(
        self, *, target: Target, plan: Struct, listener: socket.socket | None = None
    ) -> None:
        self._commands, inherited = socket.socketpair()
        self._inherited = inherited
        arguments = (msgspec.json.encode(plan), inherited, listener)
        self._process = CONTEXT.Process(target=target, args=arguments, daemon=True)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process.pid is not None
        return self._process.pid

    async def async_start(self) -> Any:
        """Start the process and return its greeting."""
        self._process.start()
        self._inherited.close()
        self._streams = await asyncio.open_connection(sock=self._commands)
        return await self._async_read()

    async def async_command(self, **command: Any) -> Any:
        """Send a command and return the response."""
        assert self._streams is not None
        self._streams[1].write(json.dumps(command).encode() + b"\n")
        return await self._async_read()

    async def async_wait(self) -> None:
        """Wait for the exit of the process."""
        if self._process.pid is not None:
            await asyncio.to_thread(self._process.join)

    async def async_stop(self) -> None:
        """Stop the process and wait for its exit."""
        if self._streams is not None:
            self._streams[1].close()
        self._commands.close()
        self._inherited.close()
        await self.async_wait()

    async def _async_read(self) -> Any:
        assert self._streams is not None
        line = await asyncio.wait_for(self._streams[0].readline(), START_TIMEOUT_S)
        if not line:
            raise RuntimeError(f"{self._process.name} ended before it sent a response")
        return json.loads(line)


async def async_serve_commands(
    commands: socket.socket, greeting: object, handler: Callable[[], Awaitable[object]]
) -> None:
    """Send `greeting` to the parent, then handle its commands until it closes the socket."""
    reader, writer = await asyncio.open_connection(sock=commands)
    writer.write(json.dumps(greeting).encode() + b"\n")
    # A parent that is cancelled leaves responses unread, which resets the connection.
    with suppress(ConnectionResetError):
        while await reader.readline():
            writer.write(json.dumps(await handler()).encode() + b"\n")
    writer.close()


def prepare() -> None:
    """Set the environment of a child before its event loop is made."""
    os.environ[ENV_IO_URING] = IO_URING_OFF
    # A full collection of the heap that it was forked with takes tens of milliseconds.
    gc.freeze()
