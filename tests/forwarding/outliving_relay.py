"""A forwarding proxy before an upstream, whose listener outlives the process behind it."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Final

STAGGER_S: Final = 0.06


class Behaviour(StrEnum):
    """What the listener does with connections once the process behind it has ended.

    STAGGERED also closes those that it has one after the other, and the listener last.
    """

    SILENT = "accepts and says nothing"
    CLOSES = "accepts and closes"
    STAGGERED = "closes one after the other"


class OutlivingRelay:
    """Passes bytes on between its callers and the port of a process."""

    def __init__(self, behaviour: Behaviour) -> None:
        self._behaviour = behaviour
        self._server: asyncio.Server | None = None
        self._accepted: list[asyncio.StreamWriter] = []
        # Connections to the process behind it.
        self._onward: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing: asyncio.Task[None] | None = None
        # The port of the process behind it; a test may put another one in its place.
        self.target = 0
        self.port = 0

    async def async_start(self, target: int) -> None:
        """Listen before the process at a port."""
        self.target = target
        self._server = await asyncio.start_server(self._async_accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def async_stop(self) -> None:
        """Close all."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._accepted + self._onward:
            writer.transport.abort()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted.append(writer)
        try:
            behind, onward = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            if self._behaviour is Behaviour.CLOSES:
                writer.close()
            return
        self._onward.append(onward)
        requests = asyncio.create_task(_async_copy(reader, onward))
        self._tasks.add(requests)
        self._tasks.add(asyncio.create_task(self._async_answer(behind, reader, writer)))

    async def _async_answer(
        self,
        behind: asyncio.StreamReader,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await _async_copy(behind, writer)
        has_caller_ended = (
            reader.at_eof() or reader.exception() is not None or writer.transport.is_closing()
        )
        # Not if the caller has ended it, while the process lives.
        if self._behaviour is not Behaviour.STAGGERED or has_caller_ended:
            writer.close()
        elif self._closing is None:
            self._closing = asyncio.create_task(self._async_close_in_turn())
            self._tasks.add(self._closing)

    async def _async_close_in_turn(self) -> None:
        for writer in tuple(self._accepted):
            writer.close()
            await asyncio.sleep(STAGGER_S)
        if self._server is not None:
            self._server.close()
        for writer in self._accepted:
            writer.transport.abort()


async def _async_copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while part := await reader.read(65_536):
            writer.write(part)
            await writer.drain()
    except ConnectionError:
        pass
