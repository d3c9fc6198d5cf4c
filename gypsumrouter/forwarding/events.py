"""Server-sent events of a stream: whole ones only, each with its id."""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.const import MAX_EVENT_BYTES

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"


class EventTooLong(Exception):
    """What came is no series of events."""


class EventCutter:
    """Cuts a stream of bytes after whole events and knows the id of the last one.

    An upstream may stop in the middle of an event; another one that goes on after the last whole
    event must not have half of it doubled.
    """

    __slots__ = ("_tail", "last_id")

    def __init__(self) -> None:
        self._tail = b""
        self.last_id: str | None = None

    def cut(self, data: bytes) -> bytes:
        """Return everything up to the end of the last whole event; raises EventTooLong."""
        if self._tail:
            data = self._tail + data
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLong
            self._tail = data
            return b""
        end += len(EVENT_END)
        self._tail = data[end:]
        whole = data[:end]
        self._note_id(whole)
        return whole

    def drop_tail(self) -> None:
        """Forget an event that was broken off."""
        self._tail = b""

    def take_tail(self) -> bytes:
        """Return what follows the last whole event at the regular end of a stream."""
        tail, self._tail = self._tail, b""
        return tail

    def _note_id(self, whole: bytes) -> None:
        start = whole.rfind(b"\n" + ID_FIELD)
        if start >= 0:
            start += 1
        elif whole.startswith(ID_FIELD):
            start = 0
        else:
            return
        value = whole[start + len(ID_FIELD) : whole.find(b"\n", start)]
        self.last_id = value.strip().decode("latin-1")
