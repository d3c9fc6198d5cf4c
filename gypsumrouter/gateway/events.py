"""Splitting of a byte stream at the boundaries of server-sent events."""

from __future__ import annotations

from gypsumrouter.callers import EVENT_END
from gypsumrouter.gateway.const import MAX_BUFFERED_EVENT_BYTES
from gypsumrouter.util.body_formats import find_event_end, is_inside_event


class EventBuffer:
    """Buffers an incomplete event, so that an error event is never sent inside another event.

    `partly_returned` is true while the first part of a very long event has been returned.
    """

    __slots__ = ("_pending", "partly_returned")

    def __init__(self) -> None:
        self._pending = b""
        self.partly_returned = False

    @property
    def inside_event(self) -> bool:
        """Return whether an event has begun and is incomplete."""
        return self.partly_returned or is_inside_event(self._pending)

    def is_complete(self, body: bytes) -> bool:
        """Return whether `body` can be sent unchanged, with no data buffered before or after it."""
        return not self._pending and not self.partly_returned and body.endswith(EVENT_END)

    def feed(self, body: bytes) -> bytes:
        """Add data and return the complete events; a very long event is returned in parts."""
        if self._pending:
            body = self._pending + body
            self._pending = b""
        if body.endswith(EVENT_END):
            self.partly_returned = False
            return body
        end = find_event_end(body)
        if len(body) - end > MAX_BUFFERED_EVENT_BYTES:
            self.partly_returned = True
            return body
        if end > 0:
            self.partly_returned = False
        self._pending = body[end:]
        return body[:end]
