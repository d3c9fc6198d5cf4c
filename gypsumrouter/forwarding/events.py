"""Server-sent events of a stream: whole ones only, each with its id."""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.const import MAX_EVENT_BYTES

EVENT_SEPARATOR: Final = b"\n\n"
ID_FIELD: Final = b"id:"


class EventTooLong(Exception):
    """What came is no series of events."""


class EventSplitter:
    """Cuts a stream of bytes after whole events and knows the id of the last one.

    An upstream may stop in the middle of an event; another one that goes on after the last whole
    event must not have half of it doubled.
    """

    __slots__ = ("_partial", "last_event_id")

    def __init__(self) -> None:
        self._partial = b""
        self.last_event_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Return everything up to the end of the last whole event; raises EventTooLong."""
        if self._partial:
            data = self._partial + data
        end = data.rfind(EVENT_SEPARATOR)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLong
            self._partial = data
            return b""
        end += len(EVENT_SEPARATOR)
        self._partial = data[end:]
        whole = data[:end]
        self._update_last_event_id(whole)
        return whole

    def discard_partial(self) -> None:
        """Forget an event that was broken off."""
        self._partial = b""

    def flush(self) -> bytes:
        """Return what follows the last whole event at the regular end of a stream."""
        tail, self._partial = self._partial, b""
        return tail

    def _update_last_event_id(self, whole: bytes) -> None:
        start = whole.rfind(b"\n" + ID_FIELD)
        if start >= 0:
            start += 1
        elif whole.startswith(ID_FIELD):
            start = 0
        else:
            return
        value = whole[start + len(ID_FIELD) : whole.find(b"\n", start)]
        self.last_event_id = value.strip().decode("latin-1")
