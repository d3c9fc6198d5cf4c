"""Writer of answers that waits for callers who do not read."""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage, StreamWriter
from aiohttp.streams import StreamReader
from multidict import CIMultiDict


class CallerWriter(StreamWriter):
    """Waits after each write while the buffer of the connection is full.

    The writer of the HTTP library waits only after more than 64 KB, so that an answer would take
    that much in addition to the buffer.
    """

    @property
    def has_ended(self) -> bool:
        """Return whether the answer has been written to its end."""
        return self._eof

    async def write(
        self,
        chunk: bytes | bytearray | memoryview[int] | memoryview[bytes],
        *,
        drain: bool = True,
        LIMIT: int = 0,
    ) -> None:
        """Write a part of an answer; wait if more than `LIMIT` bytes were written since."""
        await super().write(chunk, drain=drain, LIMIT=LIMIT)

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Write the head of an answer; raises ValueError for control characters.

        The serializer of the HTTP library leaves out bytes of an upstream that are no UTF-8.
        """
        await super().write_headers(status_line, headers)
        if not all(value.isascii() for value in headers.values()):
            self._headers_buf = _serialize(status_line, headers)


def _serialize(status_line: str, headers: CIMultiDict[str]) -> bytes:
    """Return a head whose values have the bytes that the HTTP parser decoded."""
    lines = (status_line, *(f"{name}: {value}" for name, value in headers.items()), "", "")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape")


def make_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: web.RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    """Return a request whose answer is written by a `CallerWriter`."""
    loop = task.get_loop()
    return web.BaseRequest(message, payload, protocol, CallerWriter(protocol, loop), task, loop)
