"""Tests of parsing idempotency keys and their creation time."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from idempotency_world import make_uuid7

from gypsumrouter.idempotency import Key, parse_key
from gypsumrouter.idempotency.const import MAX_KEY_LENGTH
from gypsumrouter.outcomes import Refused


@pytest.mark.parametrize(
    ("text", "created_ms"),
    [
        ("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 0x017F22E279B0),
        ("01ARZ3NDEKTSV4RRFFQ69G5FAV", 1_469_922_850_259),
        ("7ZZZZZZZZZZZZZZZZZZZZZZZZZ", 2**48 - 1),
        ("8ZZZZZZZZZZZZZZZZZZZZZZZZZ", None),
        ("9f6c2d0e-7f3b-4a59-8d3e-0c5b2a1d9e77", None),
        ("order-4711", None),
    ],
)
def test_creation_time_is_parsed_from_uuid7_and_ulid(text: str, created_ms: int | None) -> None:
    assert parse_key(text) == Key(text=text, created_ms=created_ms)


@given(created_ms=st.integers(0, 2**48 - 1), number=st.integers(0, 2**62 - 1))
@settings(derandomize=True, deadline=None)
def test_creation_time_of_any_uuid7_is_parsed(created_ms: int, number: int) -> None:
    key = parse_key(make_uuid7(created_ms, number))
    assert isinstance(key, Key)
    assert key.created_ms == created_ms


@given(text=st.text(max_size=2 * MAX_KEY_LENGTH))
@settings(derandomize=True, deadline=None)
def test_any_text_is_accepted_or_refused_by_length_and_characters(text: str) -> None:
    allowed = 0 < len(text) <= MAX_KEY_LENGTH and all("!" <= letter <= "~" for letter in text)
    assert isinstance(parse_key(text), Key if allowed else Refused)
