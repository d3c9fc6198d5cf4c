"""Splitting of a byte stream into complete server-sent events."""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.const import MAX_EVENT_BYTES
from gypsumrouter.helpers.http_headers import is_writable
from gypsumrouter.util.body_formats import find_event_end, is_inside_event

ID_FIELD: Final = b"id:"


class EventTooLong(Exception):
    """An event exceeds the maximum size, so the data is not a valid event stream."""


class EventSplitter:
    """Splits a byte stream after complete events and tracks the id of the last one.

    An upstream may fail in the middle of an event. Only complete events are returned, so that a
    stream that is resumed on another upstream does not repeat a part of one.
    """

    __slots__ = ("_partial", "has_events", "last_event_id", "last_has_id")

    def __init__(self) -> None:
        self._partial = b""
        self.has_events = False
        self.last_event_id: str | None = None
        # Whether the last event has an id, so that another upstream can go on after it.
        self.last_has_id = True

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event that is held back."""
        return len(self._partial)

    @property
    def inside_event(self) -> bool:
        """Return whether an event has begun and is incomplete."""
        return is_inside_event(self._partial)

    def start(self) -> None:
        """Start the stream of another upstream; an incomplete event is discarded."""
        self._partial = b""
        self.has_events = False

    def feed(self, data: bytes) -> bytes:
        """Add data and return all complete events that have not been returned yet.

        Raises EventTooLong if an incomplete event exceeds the maximum size.
        """
        if self._partial:
            data = self._partial + data
        end = find_event_end(data)
        if end == 0:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLong
            self._partial = data
            return b""
        self._partial = data[end:]
        self.has_events = True
        complete = data[:end]
        self._update_last_event_id(complete)
        return complete

    def _update_last_event_id(self, complete: bytes) -> None:
        last = complete[find_event_end(complete[:-1]) :]
        self.last_has_id = last.startswith(ID_FIELD) or b"\n" + ID_FIELD in last
        start = complete.rfind(b"\n" + ID_FIELD)
        if start >= 0:
            start += 1
        elif complete.startswith(ID_FIELD):
            start = 0
        else:
            return
        value = complete[start + len(ID_FIELD) : complete.find(b"\n", start)].strip()
        if not value.isascii() or not is_writable(value.decode("ascii")):
            # It can't be sent in a header.
            self.last_has_id = False
            return
        self.last_event_id = value.decode("ascii")
