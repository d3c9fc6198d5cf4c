"""Ids of events, with which a stream is resumed."""

from __future__ import annotations

import pytest

from gypsumrouter.forwarding.events import EventSplitter


@pytest.mark.parametrize("event_id", [b"5\rX-Hold: 1", b"5\x00", b"5\x85", b"\xc2\xb2"])
def test_event_id_that_no_header_can_carry_was_sent_to_another_upstream(event_id: bytes) -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 4\ndata: a\n\n")
    assert (splitter.last_has_id, splitter.last_event_id) == (True, "4")
    splitter.feed(b"id: " + event_id + b"\ndata: b\n\n")
    assert not splitter.last_has_id
    splitter.feed(b"id: 6\ndata: c\n\n")
    assert (splitter.last_has_id, splitter.last_event_id) == (True, "6")
