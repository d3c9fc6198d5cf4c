"""Standard HTTP headers: decoding, and those that concern only one connection."""

from __future__ import annotations

import re
from collections.abc import Mapping
from math import ceil
from typing import Final

from gypsumrouter.const import MS_PER_S
from gypsumrouter.helpers.numbers import read_decimal, read_number

CHUNKED: Final = "chunked"
HEADER_KEEP_ALIVE: Final = "Keep-Alive"
# Longer values of Retry-After are taken for errors and ignored.
MAX_RETRY_AFTER_MS: Final = 24 * 3600 * MS_PER_S
# Connections are never kept as long as this; longer announcements are read as this.
MAX_KEEP_ALIVE_S: Final = 24 * 3600
# Hop-by-hop headers (RFC 9110).
HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

_CONTROL_CHARACTERS: Final = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def read_keep_alive_ms(timeout: str | None) -> int | None:
    """Return the idle timeout that a Keep-Alive header announces, None if it is no number."""
    timeout_s = read_number(timeout, cap=MAX_KEEP_ALIVE_S)
    return None if timeout_s is None else timeout_s * MS_PER_S


def find_keep_alive_timeout(value: str | None) -> str | None:
    """Return the text of the idle timeout in a Keep-Alive header, None if it has none."""
    for part in (value or "").split(","):
        name, separator, seconds = part.strip().partition("=")
        if separator and name.lower() == "timeout":
            return seconds
    return None


def is_framed(headers: Mapping[str, str]) -> bool:
    """Return whether the headers of a response state where its body ends."""
    return "Content-Length" in headers or CHUNKED in headers.get("Transfer-Encoding", "").lower()


def is_writable(text: str) -> bool:
    """Return whether a text may stand in a header: without control characters but tabs."""
    return _CONTROL_CHARACTERS.search(text) is None


def list_connection_headers(value: str) -> frozenset[str]:
    """Return the names of the headers that a Connection header lists, in lowercase."""
    return frozenset(name.strip().lower() for name in value.split(",") if name.strip())


def read_retry_after_ms(value: str | None) -> int | None:
    """Return the delay that a Retry-After header states in seconds, fractions included.

    None if it states none or one that is too long.
    """
    retry_after_s = read_decimal(value)
    if retry_after_s is None or retry_after_s * MS_PER_S >= MAX_RETRY_AFTER_MS:
        return None
    return ceil(retry_after_s * MS_PER_S)
