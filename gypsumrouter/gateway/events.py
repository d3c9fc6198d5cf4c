"""Whole server-sent events cut from a stream of bytes."""

from __future__ import annotations

from gypsumrouter.callers import EVENT_END
from gypsumrouter.gateway.const import MAX_BUFFERED_EVENT_BYTES


class EventBuffer:
    """Holds back an unfinished event, so that an error event never lands inside another one."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending = b""

    def is_complete(self, body: bytes) -> bool:
        """Return whether `body` passes as it is, with nothing held back before or after it."""
        return not self._pending and body.endswith(EVENT_END)

    def feed(self, body: bytes) -> bytes:
        """Return all that ends with a whole event; a very long event is passed in pieces."""
        if self._pending:
            body = self._pending + body
            self._pending = b""
        if body.endswith(EVENT_END):
            return body
        end = body.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        if len(body) - end > MAX_BUFFERED_EVENT_BYTES:
            return body
        self._pending = body[end:]
        return body[:end]

    def flush(self) -> bytes:
        """Return what is held back at the end of the stream."""
        pending = self._pending
        self._pending = b""
        return pending
