"""Splitting of a byte stream into complete server-sent events."""

from __future__ import annotations

from codecs import BOM_UTF8
from collections.abc import Iterator
from typing import Final

from gypsumrouter.forwarding.const import MAX_EVENT_BYTES
from gypsumrouter.forwarding.ends.event_order import (
    OrderFault,
    RelayedIds,
    find_gap_fault,
    find_order_fault,
)
from gypsumrouter.helpers.http_headers import is_writable
from gypsumrouter.helpers.numbers import read_number
from gypsumrouter.util.body_formats import find_event_end, has_field, is_inside_event, split_events

ID_FIELD: Final = b"id:"
# An id in another line than the first one.
ID_LINE: Final = b"\n" + ID_FIELD
DATA_FIELD: Final = b"data"


class EventTooLong(Exception):
    """An event exceeds the maximum size, so the data is not a valid event stream."""


class EventSplitter:
    """Splits a byte stream after complete events and tracks the id of the last one.

    An upstream may fail in the middle of an event. Only complete events are returned, so that a
    stream that is resumed on another upstream does not repeat a part of one. The events of another
    run are returned only as far as they go on behind those that were; `fault` is why the next one
    doesn't, None while they do. A first event that may leave ids out is held back until the second
    one shows the step of the ids. `taken_up_after` is the id of the last event that the caller has
    from another response.
    """

    __slots__ = (
        "_checks_order",
        "_gap",
        "_held",
        "_partial",
        "_relayed",
        "fault",
        "first_id",
        "has_events",
        "last_event_id",
        "last_has_id",
    )

    def __init__(self, *, taken_up_after: str | None = None) -> None:
        self._partial = b""
        self._relayed = RelayedIds(last=taken_up_after or None)
        if read_number(taken_up_after) is not None:
            self._relayed = RelayedIds(
                first=taken_up_after, last=taken_up_after, count=1, is_named=True
            )
        self._checks_order = False
        # The first event of a run that may leave ids out, and why.
        self._held = b""
        self._gap: OrderFault | None = None
        self.has_events = False
        self.last_event_id: str | None = None
        # Whether the last event has an id, so that another upstream can go on after it.
        self.last_has_id = True
        self.fault: OrderFault | None = None
        # The id of the first event of a run that is to go on, None before it and without one.
        self.first_id: str | None = None

    @property
    def partial_bytes(self) -> int:
        """Return the size of what is held back: an incomplete event, a first one behind a gap."""
        return len(self._held) + len(self._partial)

    @property
    def inside_event(self) -> bool:
        """Return whether an event has begun and is incomplete."""
        return is_inside_event(self._partial)

    @property
    def has_relayed(self) -> bool:
        """Return whether the caller has an event with an id, behind which a run has to go on."""
        return self._relayed.last is not None

    @property
    def goes_on_after(self) -> str | None:
        """Return the id behind which the present run has to go on, None if it begins the stream."""
        return self._relayed.last if self._checks_order else None

    def start(self) -> None:
        """Start the stream of another upstream; what is held back is discarded."""
        self._partial = b""
        self._held = b""
        self._gap = None
        self.has_events = False
        self._checks_order = self._relayed.last is not None
        self._relayed.begin_run()
        self.fault = None
        self.first_id = None

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
        complete = data[:end]
        if self._checks_order and not self.has_events:
            # It would be a part of a line in the midst of the joined stream.
            complete = complete.removeprefix(BOM_UTF8)
        if self._checks_order:
            return self._select_in_order(complete)
        self._note(complete)
        return complete

    def end(self) -> None:
        """Note that the run has ended; a first event that is held back then is its only one."""
        if self._held:
            self.fault = OrderFault.POSSIBLE_GAP

    def find_first_fault(self, data: bytes) -> OrderFault | None:
        """Return why a run that begins with `data` doesn't go on behind what was returned.

        POSSIBLE_GAP if its second event is yet to show that.
        """
        events = _list_events(data)
        event = next(events, None)
        if event is None:
            return None
        event_id = read_event_id(event)
        fault = find_order_fault(self._relayed, event_id, begins=True)
        if fault is None or not fault.is_gap:
            return fault
        second = next(events, None)
        if second is None:
            return OrderFault.POSSIBLE_GAP
        return find_gap_fault(
            self._relayed, fault, first_id=event_id, second_id=read_event_id(second)
        )

    def _select_in_order(self, complete: bytes) -> bytes:
        """Return the events up to the first that doesn't follow the one before it."""
        selected: list[bytes] = []
        for event in split_events(complete):
            if not self.has_events and _is_empty(event):
                # Nothing of a run passes before it is known to go on.
                continue
            event_id = read_event_id(event)
            if self._gap is not None:
                self.fault = find_gap_fault(
                    self._relayed, self._gap, first_id=self.first_id, second_id=event_id
                )
                if self.fault is not None:
                    break
                selected.append(self._release())
            elif not self.has_events:
                self.first_id = event_id
            fault = find_order_fault(self._relayed, event_id, begins=not self.has_events)
            if fault is not None and fault.is_gap:
                self._held, self._gap = event, fault
                continue
            self.fault = fault
            if fault is not None:
                break
            self._note(event)
            selected.append(event)
        return b"".join(selected)

    def _release(self) -> bytes:
        """Return the event that was held back, as its run goes on."""
        held, self._held, self._gap = self._held, b"", None
        self._note(held)
        return held

    def _note(self, complete: bytes) -> None:
        """Note the ids of events that are returned, from the first and the last of them."""
        if not self.has_events:
            complete = complete.removeprefix(BOM_UTF8)
        self.has_events = True
        start = _find_last_id(complete)
        if start < 0:
            if has_field(complete, DATA_FIELD):
                self.last_has_id = False
            return
        event_id = _read_id_at(complete, start)
        self.last_has_id = event_id is not None and _is_in_last_event(start, complete)
        if event_id is None:
            return
        self.last_event_id = event_id
        self._relayed.note(
            event_id,
            count=complete.count(ID_LINE) + complete.startswith(ID_FIELD),
            list_ids=lambda: _list_ids(complete),
        )


def find_first_event(data: bytes) -> bytes | None:
    """Return the first complete event at the beginning of a stream, None if there is none yet."""
    return next(_list_events(data), None)


def _list_events(data: bytes) -> Iterator[bytes]:
    """Return the complete events at the beginning of a stream."""
    events = split_events(data.removeprefix(BOM_UTF8))
    return (event for event in events if not _is_empty(event))


def read_event_id(event: bytes) -> str | None:
    """Return the id of an event, None without one that a header can carry."""
    return _read_id_at(event, _find_last_id(event))


def _find_last_id(data: bytes) -> int:
    """Return where the last line with an id begins, -1 without one."""
    line_end = data.rfind(ID_LINE)
    return line_end + 1 if line_end >= 0 or data.startswith(ID_FIELD) else -1


def _is_in_last_event(start: int, complete: bytes) -> bool:
    """Return whether none of the blocks behind the one of an id is an event."""
    if start >= find_event_end(complete[:-1]):
        return True
    _, *later = split_events(complete[start:])
    return all(_is_empty(event) for event in later)


def _list_ids(data: bytes) -> Iterator[str]:
    """Return the ids of all events in `data`."""
    for event in split_events(data):
        event_id = read_event_id(event)
        if event_id is not None:
            yield event_id


def _read_id_at(data: bytes, start: int) -> str | None:
    """Return the id in the line that begins at `start`, None if no header can carry it."""
    if start < 0:
        return None
    value = data[start + len(ID_FIELD) : data.find(b"\n", start)].strip()
    if not value or not value.isascii():
        return None
    text = value.decode("ascii")
    return text if is_writable(text) else None


def _is_empty(event: bytes) -> bool:
    """Return whether a block has neither data nor an id: a comment, or a delay for retries."""
    return not has_field(event, DATA_FIELD) and not has_field(event, ID_FIELD)
