"""Formats of response bodies, which show whether a body ended early."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Final

import msgspec

# An event ends with an empty line. Lines end with LF, CR LF or CR.
EVENT_ENDS: Final = (b"\n\n", b"\n\r\n", b"\r\r")
# A JSON document that begins with none of these may be the beginning of a longer number.
JSON_DELIMITERS: Final = b'{["tfn'
JSON_WHITESPACE: Final = b" \t\r\n"
LINE_ENDS: Final = b"\r\n"
_EVENT_END: Final = re.compile(rb"\n\n|\n\r\n|\r\r")
MEDIA_TYPE_JSON: Final = "application/json"
SUFFIX_JSON: Final = "+json"


def find_event_end(data: bytes) -> int:
    """Return the offset after the last complete event, 0 if there is none."""
    return max(_find_last_end(data, separator) for separator in EVENT_ENDS)


def count_events(data: bytes) -> int:
    """Return the number of events that end in `data`."""
    return sum(data.count(separator) for separator in EVENT_ENDS)


def split_events(data: bytes) -> Iterator[bytes]:
    """Return the complete events in `data`, each with the empty line that ends it."""
    start = 0
    for match in _EVENT_END.finditer(data):
        yield data[start : match.end()]
        start = match.end()


def has_field(event: bytes, name: bytes) -> bool:
    """Return whether a line of an event begins with `name`."""
    return event.startswith(name) or b"\n" + name in event or b"\r" + name in event


def is_inside_event(data: bytes) -> bool:
    """Return whether an event has begun after the last complete one.

    The end of a stream suffices as `data`. A stream that ends there has been broken off.
    """
    return bool(data[find_event_end(data) :].strip(LINE_ENDS))


def _find_last_end(data: bytes, separator: bytes) -> int:
    start = data.rfind(separator)
    return 0 if start < 0 else start + len(separator)


def is_json_media_type(content_type: str) -> bool:
    """Return whether a Content-Type header states that a body is one JSON document."""
    media_type = content_type.partition(";")[0].strip().lower()
    return media_type == MEDIA_TYPE_JSON or media_type.endswith(SUFFIX_JSON)


def is_complete_json(document: bytes) -> bool:
    """Return whether a document is valid JSON from its first byte to its last."""
    try:
        msgspec.json.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return False
    return True


def shows_json_end(document: bytes) -> bool:
    """Return whether a complete JSON document can't be the beginning of a longer one."""
    first = document.lstrip(JSON_WHITESPACE)[:1]
    return bool(first) and first in JSON_DELIMITERS
