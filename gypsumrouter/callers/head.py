"""Size of a request head."""

from __future__ import annotations

from typing import Final

from aiohttp import web

# Colon, space, CR and LF.
HEADER_LINE_BYTES: Final = 4


def count_head_bytes(request: web.BaseRequest) -> int:
    """Return the approximate size of a request head on the wire, for comparison with a limit."""
    lines = sum(len(name) + len(value) + HEADER_LINE_BYTES for name, value in request.raw_headers)
    return len(request.raw_path) + lines
