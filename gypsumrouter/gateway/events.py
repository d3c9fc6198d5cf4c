"""Splitting of a byte stream at the boundaries of server-sent events."""

from __future__ import annotations

from gypsumrouter.callers import EVENT_END
from gypsumrouter.gateway.const import MAX_BUFFERED_EVENT_BYTES


class EventBuffer:
    """Buffers an incomplete event, so that an error event is never sent inside another event."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending = b""

    def is_complete(self, body: bytes) -> bool:
        """Return whether `body` can be sent unchanged, with no data buffered before or after it."""
        return not self._pending and body.endswith(EVENT_END)

    def feed(self, body: bytes) -> bytes:
        """Add data and return the complete events; a very long event is returned in parts."""
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
        """Return the buffered data at the end of the stream."""
        pending = self._pending
        self._pending = b""
        return pending
