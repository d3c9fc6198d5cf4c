"""Boundaries of server-sent events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumrouter.forwarding.ends.events import EventSplitter
from gypsumrouter.gateway.events import EventBuffer
from gypsumrouter.util.body_formats import (
    count_events,
    find_event_end,
    is_complete_json,
    is_inside_event,
    is_json_media_type,
)

LINE_ENDS = st.sampled_from([b"\n", b"\r\n"])


@st.composite
def event_streams(draw: st.DrawFn) -> list[bytes]:
    """Return complete events with one kind of line end."""
    end = draw(LINE_ENDS)
    texts = draw(st.lists(st.binary(max_size=20).filter(lambda t: not set(t) & set(b"\r\n"))))
    return [b"id: %d" % n + end + b"data: " + text + end + end for n, text in enumerate(texts)]


@given(events=event_streams(), cuts=st.lists(st.integers(0, 300)))
def test_stream_is_inside_an_event_except_right_after_one(
    events: list[bytes], cuts: list[int]
) -> None:
    body = b"".join(events)
    splitter, buffer, ends = EventSplitter(), EventBuffer(), {0}
    for event in events:
        ends.add(max(ends) + len(event))
    at = 0
    split, buffered = b"", b""
    for cut in [*sorted(cut % (len(body) + 1) for cut in cuts), len(body)]:
        split += splitter.feed(body[at:cut])
        buffered += buffer.feed(body[at:cut])
        at = cut
        # A stream may end inside the empty line: nothing of an event is missing then.
        inside = bool(body[max(end for end in ends if end <= cut) : cut].strip(b"\r\n"))
        assert splitter.inside_event == buffer.inside_event == inside
    assert split == buffered == body


@pytest.mark.parametrize(
    ("data", "end", "inside"),
    [
        (b"", 0, False),
        (b"data: a", 0, True),
        (b"data: a\n", 0, True),
        (b"data: a\n\n", 9, False),
        (b"data: a\r\n\r\n", 11, False),
        (b"data: a\r\r", 9, False),
        (b"data: a\n\ndata", 9, True),
        (b"\n", 0, False),
    ],
)
def test_event_ends_with_an_empty_line(data: bytes, end: int, inside: bool) -> None:
    assert find_event_end(data) == end
    assert is_inside_event(data) is inside
    assert count_events(data) == (end > 0)


def test_event_longer_than_the_buffer_is_incomplete_until_its_end() -> None:
    buffer = EventBuffer()
    assert buffer.feed(b"data: " + b"x" * 100_000)
    assert buffer.inside_event
    assert buffer.feed(b"\n\n") == b"\n\n"
    assert not buffer.inside_event


@pytest.mark.parametrize("document", [b'{"a": [1, 2]}', b" null ", b'"x"'])
def test_document_cut_at_any_byte_is_incomplete(document: bytes) -> None:
    assert is_complete_json(document)
    assert not any(
        is_complete_json(document.rstrip()[:cut]) for cut in range(len(document.rstrip()))
    )


@pytest.mark.parametrize(
    ("content_type", "expected"),
    [
        ("application/json", True),
        ("Application/JSON; charset=utf-8", True),
        ("application/problem+json", True),
        ("application/x-ndjson", False),
        ("", False),
    ],
)
def test_json_media_types(content_type: str, expected: bool) -> None:
    assert is_json_media_type(content_type) is expected


def test_document_that_is_nested_too_deeply_is_not_complete() -> None:
    assert not is_complete_json(b"[" * 100_000)
