"""The size of a request's head."""

from __future__ import annotations

from typing import Final

from aiohttp import web

# Colon, space and the end of the line.
HEADER_LINE_BYTES: Final = 4


def count_head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's head on the wire, near enough for a bound."""
    lines = sum(len(name) + len(value) + HEADER_LINE_BYTES for name, value in request.raw_headers)
    return len(request.raw_path) + lines
