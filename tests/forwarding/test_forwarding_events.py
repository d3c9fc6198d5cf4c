"""Ids of events, with which a stream is resumed."""

from __future__ import annotations

import pytest

from gypsumrouter.forwarding.ends.events import EventSplitter


@pytest.mark.parametrize("event_id", [b"5\rX-Hold: 1", b"5\x00", b"5\x85", b"\xc2\xb2"])
def test_event_id_that_no_header_can_carry_was_sent_to_another_upstream(event_id: bytes) -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 4\ndata: a\n\n")
    assert (splitter.last_has_id, splitter.last_event_id) == (True, "4")
    splitter.feed(b"id: " + event_id + b"\ndata: b\n\n")
    assert not splitter.last_has_id
    splitter.feed(b"id: 6\ndata: c\n\n")
    assert (splitter.last_has_id, splitter.last_event_id) == (True, "6")


# Guards against a stream that can't be resumed in a pause, since a comment came last.
@pytest.mark.parametrize("block", [b": keep-alive\n\n", b"retry: 100\n\n", b":\r\n\r\n", b"\n\n"])
def test_block_without_an_event_ruled_out_a_resumption(block: bytes) -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 2\ndata: a\n\nid: 3\ndata: a\n\n" + block)
    assert (splitter.last_has_id, splitter.last_event_id) == (True, "3")
    splitter.feed(block)
    splitter.feed(block * 3)
    assert (splitter.last_has_id, splitter.last_event_id) == (True, "3")


# Guards against a resumption behind an event without an id, which would come a second time.
@pytest.mark.parametrize("block", [b"", b": keep-alive\n\n", b"retry: 100\n\n"])
@pytest.mark.parametrize("event", [b"data: b\n\n", b"event: e\ndata: b\n\n", b"id:\ndata: b\n\n"])
@pytest.mark.parametrize("together", [False, True], ids=["apart", "together"])
def test_event_without_an_id_can_not_be_resumed_after(
    event: bytes, block: bytes, together: bool
) -> None:
    splitter = EventSplitter()
    parts = [b"id: 3\ndata: a\n\n", block, event, block]
    for part in [b"".join(parts)] if together else parts:
        splitter.feed(part)
    assert not splitter.last_has_id
