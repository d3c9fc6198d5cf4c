"""Whether part of the next request's head has arrived, which the parser holds and does not tell."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Final

from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

# End of a head, and of a body with chunks.
BLANK_LINE: Final = b"\r\n\r\n"
LINE_ENDS: Final = b"\r\n"


class NextHead:
    """Follows the reads of one connection.

    `begin_read` is called before the parser gets the bytes of a read, and `end_read` after it.
    """

    __slots__ = ("_body", "_carried", "_fed_bytes", "_is_chunked", "_was_whole")

    def __init__(self) -> None:
        # The body of the latest head.
        self._body: StreamReader = EMPTY_PAYLOAD
        self._is_chunked = False
        # The end of the read before, if that was inside a head or a body.
        self._carried = b""
        self._fed_bytes = 0
        self._was_whole = True

    def begin_read(self) -> None:
        """Note how much of the present body has arrived."""
        self._fed_bytes = self._body.total_bytes
        self._was_whole = self._body.is_eof()

    def end_read(self, data: bytes, added: Sequence[tuple[Any, StreamReader]]) -> bool:
        """Return whether a read ended inside a head; `added` are the messages that it completed."""
        text = self._carried + data if self._carried else data
        position: int | None = 0
        if not self._was_whole:
            arrived = self._body.total_bytes - self._fed_bytes
            position = self._find_body_end(text, len(self._carried), arrived)
        for message, body in added:
            self._body = body
            self._is_chunked = body is not EMPTY_PAYLOAD and message.chunked
            if position is not None:
                head_end = text.find(BLANK_LINE, self._find_head(text, position))
                position = None if head_end < 0 else head_end + len(BLANK_LINE)
            if position is not None and body is not EMPTY_PAYLOAD:
                position = self._find_body_end(text, position, body.total_bytes)
        is_whole = self._body.is_eof()
        is_inside_head = (
            is_whole and position is not None and self._find_head(text, position) < len(text)
        )
        self._carried = b"" if is_whole and not is_inside_head else text[1 - len(BLANK_LINE) :]
        return is_inside_head

    def _find_body_end(self, text: bytes, position: int, arrived: int) -> int | None:
        """Return where a body ends whose bytes begin at a position, None if it doesn't."""
        if not self._body.is_eof():
            return None
        if not self._is_chunked:
            return position + arrived
        if text.endswith(BLANK_LINE):
            return len(text)
        end = text.find(BLANK_LINE, max(0, position + 1 - len(BLANK_LINE)))
        return None if end < 0 else end + len(BLANK_LINE)

    def _find_head(self, text: bytes, position: int) -> int:
        """Return where a head begins; empty lines before it are ignored (RFC 9112)."""
        if position < len(self._carried):
            return position
        return len(text) - len(text[position:].lstrip(LINE_ENDS))
