"""Standard HTTP headers: decoding, and those that concern only one connection."""

from __future__ import annotations

from math import ceil
from typing import Final

from gypsumrouter.const import MS_PER_S

# Longer values of Retry-After are taken for errors and ignored.
MAX_RETRY_AFTER_MS: Final = 24 * 3600 * MS_PER_S
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


def read_keep_alive_ms(value: str | None) -> int | None:
    """Return the idle timeout that a Keep-Alive header announces."""
    if value is None:
        return None
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return int(seconds) * MS_PER_S
    return None


def list_connection_headers(value: str) -> frozenset[str]:
    """Return the names of the headers that a Connection header lists, in lowercase."""
    return frozenset(name.strip().lower() for name in value.split(",") if name.strip())


def read_retry_after_ms(value: str | None) -> int | None:
    """Return the delay that a Retry-After header states in seconds, fractions included."""
    try:
        retry_after_ms = float(value or "") * MS_PER_S
    except ValueError:
        return None
    return ceil(retry_after_ms) if 0 < retry_after_ms < MAX_RETRY_AFTER_MS else None
