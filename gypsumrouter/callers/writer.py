"""Writer of answers that waits for callers who do not read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from aiohttp import HttpVersion, HttpVersion11, hdrs
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import StreamWriter
from multidict import CIMultiDict

KEEP_ALIVE: Final = "keep-alive"


class CallerWriter(StreamWriter):
    """Waits after each write while the buffer of the connection is full.

    The writer of the HTTP library waits only after more than 64 KB, so that an answer would take
    that much in addition to the buffer. `on_unframed` is called before an answer whose end is only
    that of its connection, `on_unframed_end` when it is written whole.
    """

    def __init__(
        self,
        protocol: BaseProtocol,
        loop: asyncio.AbstractEventLoop,
        *,
        version: HttpVersion,
        on_unframed: Callable[[], None],
        on_unframed_end: Callable[[], None],
    ) -> None:
        super().__init__(protocol, loop)
        self._version = version
        self._on_unframed = on_unframed
        self._on_unframed_end = on_unframed_end
        self._is_unframed = False

    @property
    def has_ended(self) -> bool:
        """Return whether the answer has been written to its end."""
        return self._eof

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Write the head of an answer; raises ValueError for control characters.

        The serializer of the HTTP library leaves out bytes of an upstream that are no UTF-8.
        """
        await super().write_headers(status_line, headers)
        if not all(value.isascii() for value in headers.values()):
            self._headers_buf = _serialize(status_line, headers)
        # The HTTP library keeps connections behind answers without a body, else it adds chunks.
        is_kept = headers.get(hdrs.CONNECTION) == KEEP_ALIVE
        if self._version < HttpVersion11 and self.length is None and not is_kept:
            self._is_unframed = True
            self._on_unframed()

    async def write_eof(self, chunk: bytes = b"") -> None:
        """Write the end of an answer."""
        await super().write_eof(chunk)
        if self._is_unframed:
            self._is_unframed = False
            self._on_unframed_end()

    async def write(
        self,
        chunk: bytes | bytearray | memoryview[int] | memoryview[bytes],
        *,
        drain: bool = True,
        LIMIT: int = 0,
    ) -> None:
        """Write a part of an answer; wait if more than `LIMIT` bytes were written since."""
        await super().write(chunk, drain=drain, LIMIT=LIMIT)


def _serialize(status_line: str, headers: CIMultiDict[str]) -> bytes:
    """Return a head whose values have the bytes that the HTTP parser decoded."""
    lines = (status_line, *(f"{name}: {value}" for name, value in headers.items()), "", "")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape")
