"""Checks of JSON documents whose contents do not matter."""

from __future__ import annotations

import msgspec

MEDIA_TYPE_JSON = "application/json"
SUFFIX_JSON = "+json"


def is_json_media_type(content_type: str) -> bool:
    """Return whether a Content-Type header states that a body is one JSON document."""
    media_type = content_type.partition(";")[0].strip().lower()
    return media_type == MEDIA_TYPE_JSON or media_type.endswith(SUFFIX_JSON)


def is_complete_json(document: bytes) -> bool:
    """Return whether a document is valid JSON from its first byte to its last."""
    try:
        msgspec.json.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return True
