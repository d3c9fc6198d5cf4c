"""Responses: how they state their end, and the bounds on bytes that are no part of an answer.

The HTTP parser bounds a line and the number of lines of a head. It has no bound on what comes
before a status line, on interim responses, on the extensions of chunks and on trailers.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Final

from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from msgspec import Struct

from gypsumrouter.const import MS_PER_S

KIB: Final = 1024
# All heads of an exchange together, with interim responses and what comes before a status line.
MAX_HEADS_BYTES: Final = 64 * KIB
MAX_INTERIM_RESPONSES: Final = 32
# What a body has beside its content: sizes and extensions of chunks, and trailers.
MAX_FRAMING_BYTES: Final = 64 * KIB
MAX_FRAMING_RATIO: Final = 8
# A response that is passed on. One that is read for nothing, or whose request has no use for it.
MAX_PASSED_BYTES: Final = 64 * KIB * KIB
MAX_DISCARDED_BYTES: Final = 16 * KIB
MAX_DISCARD_MS: Final = 100
# What an upstream answers to a question, and what a store returns: a page of a list, all pages of
# one that goes on, or changes. A report holds some counts, a listing 40 bytes for each cached part;
# many of them may be read at a time.
MAX_ANSWER_BYTES: Final = 8 * KIB * KIB
MAX_REPORT_BYTES: Final = 64 * KIB
MAX_LISTING_BYTES: Final = KIB * KIB
MAX_PAGE_BYTES: Final = 32 * KIB * KIB

MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
BODILESS_STATUSES: Final = frozenset({204, 304})
HEADER_CONTENT_LENGTH: Final = "Content-Length"


class ConnectionBroken(Exception):
    """The connection was lost or carried a malformed response."""


class Framing(StrEnum):
    """How a response states where its body ends; the values appear in the journal.

    NONE: it has no body. CLOSE: it has neither a length nor chunks and ends with its connection, so
    that the end of the connection alone does not show that the body is complete.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Excess(StrEnum):
    """Which bound a response has exceeded; the values appear in the journal."""

    HEADS = "the head of the response does not end"
    INTERIM = "too many interim responses"
    FRAMING = "the framing of the body does not end"


class ResponseBounds(Struct, kw_only=True):
    """Counts of one exchange."""

    head_bytes: int = 0
    interim_responses: int = 0
    body_bytes: int = 0

    def note_head(self, size: int) -> Excess | None:
        """Count bytes that came while a head was awaited; return the bound that is exceeded."""
        self.head_bytes += size
        return Excess.HEADS if self.head_bytes > MAX_HEADS_BYTES else None

    def note_interim(self) -> Excess | None:
        """Count an interim response; return the bound that is exceeded."""
        self.interim_responses += 1
        return Excess.INTERIM if self.interim_responses > MAX_INTERIM_RESPONSES else None

    def begin_body(self) -> None:
        """Begin to count the body of another response."""
        self.body_bytes = 0

    def note_body(self, size: int, *, content_bytes: int) -> Excess | None:
        """Count bytes of a body, of which `content_bytes` were content from its beginning on."""
        self.body_bytes += size
        framing_bytes = self.body_bytes - content_bytes
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * content_bytes
        return Excess.FRAMING if framing_bytes > allowed else None


class HttpResponse:
    """Head of a response and the reader of its body."""

    __slots__ = ("body", "framing", "message")

    def __init__(self, *, message: RawResponseMessage, body: StreamReader, bodiless: bool) -> None:
        self.message = message
        self.body = body
        self.framing = _get_framing(message, bodiless=bodiless)

    @property
    def status(self) -> int:
        """Return the status code."""
        return int(self.message.code)

    def get(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        return self.message.headers.get(name)


def is_valid_status(status: int) -> bool:
    """Return whether a number is a status code of HTTP (RFC 9110)."""
    return MIN_STATUS <= status <= MAX_STATUS


def _get_framing(message: RawResponseMessage, *, bodiless: bool) -> Framing:
    if bodiless or message.code in BODILESS_STATUSES:
        return Framing.NONE
    if message.chunked:
        return Framing.CHUNKED
    return Framing.LENGTH if HEADER_CONTENT_LENGTH in message.headers else Framing.CLOSE


async def async_read_body(response: HttpResponse, *, max_bytes: int) -> bytes:
    """Return a whole body; raises ConnectionBroken if it has more than `max_bytes`."""
    parts: list[bytes] = []
    size = 0
    while part := await response.body.readany():
        size += len(part)
        if size > max_bytes:
            raise ConnectionBroken(f"the body has more than {max_bytes} bytes")
        parts.append(part)
    return b"".join(parts)


async def async_discard_body(response: HttpResponse) -> bool:
    """Read a body for nothing; return False if it does not end within a bound of size and time."""
    try:
        async with asyncio.timeout(MAX_DISCARD_MS / MS_PER_S):
            await async_read_body(response, max_bytes=MAX_DISCARDED_BYTES)
    except (TimeoutError, ConnectionBroken):
        return False
    return True
