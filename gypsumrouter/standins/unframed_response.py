"""A response that has neither a length nor chunks and ends with its connection."""

from __future__ import annotations

from aiohttp import web


class UnframedResponse(web.StreamResponse):
    """A response whose body ends when the connection is closed."""

    # Without it, aiohttp sends a body of unknown length in chunks.
    _length_check = False

    def __init__(self, *, headers: dict[str, str]) -> None:
        super().__init__(headers=headers)
        self.force_close()
