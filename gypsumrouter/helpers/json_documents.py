"""JSON documents in which an odd number does not make the rest of the document unreadable."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from gypsumrouter.helpers.numbers import read_json_number, read_number


def load_json(body: bytes | str) -> Any:
    """Decode a document; whole numbers that are too long become None.

    Raises ValueError or RecursionError if the body is not a JSON document.
    """
    # `int` raises for thousands of digits, so that one odd number would break the document.
    return json.loads(body, parse_int=_read_integer)


def read_raw_number(raw: msgspec.Raw) -> int | None:
    """Return a part of a document if it is a whole number without a sign, else None."""
    try:
        return read_json_number(msgspec.json.decode(raw))
    except (msgspec.DecodeError, RecursionError):
        return None


def _read_integer(text: str) -> int | None:
    number = read_number(text.removeprefix("-"))
    return -number if number is not None and text.startswith("-") else number
