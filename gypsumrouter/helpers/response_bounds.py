"""Bounds on the bytes of one exchange that are no part of an answer, apart from input and output.

The HTTP parser bounds a line and the number of lines of a head. It has no bound on what comes
before a status line, on interim responses, on the extensions of chunks and on trailers.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from msgspec import Struct

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
# What an upstream answers to a question, and a page or the changes that a store returns.
MAX_ANSWER_BYTES: Final = 8 * KIB * KIB
MAX_PAGE_BYTES: Final = 32 * KIB * KIB


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
