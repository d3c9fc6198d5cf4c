"""Lingering close: the end is sent, and what still arrives is read for nothing."""

from __future__ import annotations

import asyncio
from typing import Final

from gypsumrouter.callers.transports import has_untaken_bytes
from gypsumrouter.const import MS_PER_S

# How long what still arrives after the last answer of a connection is read for nothing. A socket
# that is closed with unread bytes is reset, which takes the end of an answer from a slow caller.
DISCARD_MS: Final = 2_000
# The same at most, for a caller that has not taken the end of its answer yet.
MAX_DISCARD_MS: Final = 10_000
RECHECK_MS: Final = 100


class LingeringClose:
    """Sends the end of a connection, and closes it later unless its caller has done so."""

    __slots__ = ("_closed", "_ends_s", "_timer", "_transport")

    def __init__(self, *, transport: asyncio.Transport) -> None:
        loop = asyncio.get_running_loop()
        self._transport = transport
        self._closed: asyncio.Future[None] = loop.create_future()
        transport.write_eof()
        self._ends_s = loop.time() + MAX_DISCARD_MS / MS_PER_S
        self._timer = loop.call_later(DISCARD_MS / MS_PER_S, self._end_if_taken)

    async def async_wait(self) -> None:
        """Wait until the connection is closed."""
        await self._closed

    def _end_if_taken(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() < self._ends_s and has_untaken_bytes(self._transport):
            self._timer = loop.call_later(RECHECK_MS / MS_PER_S, self._end_if_taken)
        else:
            self.end()

    def end(self) -> None:
        """Close the connection now; a second call does nothing."""
        if self._closed.done():
            return
        self._timer.cancel()
        self._closed.set_result(None)
        self._transport.close()


def begin_lingering_close(transport: asyncio.Transport | None) -> LingeringClose | None:
    """Send the end of the connection; return None if only closing it does that."""
    if transport is None or transport.is_closing() or not transport.can_write_eof():
        return None
    return LingeringClose(transport=transport)
