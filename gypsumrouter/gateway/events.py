"""Whole server-sent events cut from a stream of bytes."""

from __future__ import annotations

from gypsumrouter.callers import EVENT_END
from gypsumrouter.gateway.const import MAX_HELD_EVENT_BYTES


class EventCutter:
    """Holds back an unfinished event, so that an error event never lands inside another one."""

    __slots__ = ("_tail",)

    def __init__(self) -> None:
        self._tail = b""

    def is_whole(self, body: bytes) -> bool:
        """Return whether `body` passes as it is, with nothing held back before or after it."""
        return not self._tail and body.endswith(EVENT_END)

    def cut(self, body: bytes) -> bytes:
        """Return all that ends with a whole event; a very long event is passed in pieces."""
        if self._tail:
            body = self._tail + body
            self._tail = b""
        if body.endswith(EVENT_END):
            return body
        end = body.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        if len(body) - end > MAX_HELD_EVENT_BYTES:
            return body
        self._tail = body[end:]
        return body[:end]

    def flush(self) -> bytes:
        """Return what is held back at the end of the stream."""
        tail = self._tail
        self._tail = b""
        return tail
