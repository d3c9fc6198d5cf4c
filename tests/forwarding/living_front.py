"""What stands before an engine and lives on when the engine, or a link to it, is gone."""

from __future__ import annotations

import asyncio
from typing import Final

PART_BYTES: Final = 65_536


class LivingFront:
    """Passes streams on from the process at `engine_port`, all else from that at `host_port`.

    When the engine ends, or at `cut`, it closes the streams in order and listens on.
    """

    def __init__(self, *, engine_port: int, host_port: int) -> None:
        self._engine_port = engine_port
        self._host_port = host_port
        self._server: asyncio.Server | None = None
        # Connections to callers that have a stream.
        self._streams: list[asyncio.StreamWriter] = []
        self._onward: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def async_start(self) -> None:
        """Listen on any port."""
        self._server = await asyncio.start_server(self._async_accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def async_stop(self) -> None:
        """Close all."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._onward:
            writer.transport.abort()

    def cut(self, count: int) -> None:
        """Close the oldest streams in order, as whole ones end."""
        for writer in self._streams[:count]:
            writer.close()
        del self._streams[:count]

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"x-token-usage" in head.lower():
                    await self._async_pass_stream(head, reader, writer)
                    return
                await self._async_exchange(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def _async_pass_stream(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        behind, onward = await asyncio.open_connection("127.0.0.1", self._engine_port)
        self._onward.append(onward)
        onward.write(head)
        self._streams.append(writer)
        requests = asyncio.create_task(_async_copy(reader, onward))
        self._tasks.add(requests)
        await _async_copy(behind, writer)
        writer.close()

    async def _async_exchange(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on one request and its answer, which has a length."""
        await _async_pass_body(head, reader, None)
        behind, onward = await asyncio.open_connection("127.0.0.1", self._host_port)
        onward.write(head.replace(b"Content-Length: 1", b"Content-Length: 0"))
        answer = await behind.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await _async_pass_body(answer, behind, writer)
        onward.close()


async def _async_pass_body(
    head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter | None
) -> None:
    _, _, rest = head.lower().partition(b"content-length:")
    body = await reader.readexactly(int(rest.split(b"\r\n")[0]) if rest else 0)
    if writer is not None:
        writer.write(body)


async def _async_copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while part := await reader.read(PART_BYTES):
            writer.write(part)
            await writer.drain()
    except ConnectionError:
        pass
