"""Nearly valid entries: what is decoded can be told to peers and comes out the same."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from valid_entries import STORE_ENTRY

from gypsumrouter.directory import Record
from gypsumrouter.exceptions import DocumentInvalid
from gypsumrouter.link import ListedUpstreams
from gypsumrouter.link.notice_codec import decode_notice, encode_notice
from gypsumrouter.peers.catch_up import _decode_record, _encode_record
from gypsumrouter.platform import decode_entry

EDGES = [10**exponent for exponent in (3, 9, 12, 18, 30, 400)]
EDGES += [2**bits + offset for bits in (16, 31, 32, 53, 63, 64) for offset in (-1, 0, 1)]
INTEGERS = st.sampled_from(EDGES + [-edge for edge in EDGES]) | st.integers(-2, 2)
FLOATS = st.floats() | st.sampled_from([1e9, 1.0000001e9, 1e300, 2.0**32, 0.5])
TEXTS = (
    st.text(max_size=12)
    | st.text(st.characters(max_codepoint=0x10FFFF, categories=["Cs", "Cc", "So"]), max_size=4)
    | st.integers(198, 202).map(lambda length: "\U0001f600" * length)
)
HOSTS = st.sampled_from(
    ["10.1.0.9", "::1", "[::1]", "[fe80::1%a]", "fe80::1%]:\r\n", "[[::1", "::ffff:1.2.3.4", ""]
)
PORTS = st.integers(-1, 65_537).map(str) | st.sampled_from(["0080", "²", "1_0", " 80", "9" * 5_000])
ADDRESSES = st.builds(lambda host, port: f"{host}:{port}", HOSTS, PORTS)
VALUES = st.one_of(
    INTEGERS,
    FLOATS,
    TEXTS,
    ADDRESSES,
    st.none(),
    st.booleans(),
    st.sampled_from(["ready", "draining", "gone", "unusable"]),
    st.lists(INTEGERS, max_size=2),
    st.integers(1, 2_000).map(
        lambda depth: json.loads("[" * min(depth, 400) + "]" * min(depth, 400))
    ),
)
FIELDS: dict[str, st.SearchStrategy[Any]] = {
    "service": TEXTS,
    "address": ADDRESSES,
    "zone": TEXTS,
    "version": TEXTS,
    "slots": INTEGERS,
    "state": st.sampled_from(["ready", "draining"]),
    "sequence": INTEGERS,
    "cold_left_ms": FLOATS | INTEGERS,
    "born": INTEGERS,
}
CHANGES = st.fixed_dictionaries({}, optional=FIELDS) | st.dictionaries(
    st.sampled_from(sorted(STORE_ENTRY)), VALUES, max_size=2
)


@given(changed=CHANGES, removed=st.sets(st.sampled_from(sorted(STORE_ENTRY)), max_size=1))
@settings(max_examples=1_500, deadline=None, derandomize=True)
def test_decoded_entry_could_not_be_told_to_peers(
    changed: dict[str, Any], removed: set[str]
) -> None:
    document = {
        name: value for name, value in (STORE_ENTRY | changed).items() if name not in removed
    }
    check_value(json.dumps(document).encode())


@given(
    at=st.integers(0, 200),
    inserted=st.binary(max_size=3)
    | st.sampled_from([b"0" * 6_000, b"[" * 9_000, b"\\ud800", b"\xff"]),
    dropped=st.integers(0, 2),
)
@settings(max_examples=700, deadline=None, derandomize=True)
def test_damaged_value_raised_something_else(at: int, inserted: bytes, dropped: int) -> None:
    value = json.dumps(STORE_ENTRY).encode()
    check_value(value[:at] + inserted + value[at + dropped :])


def check_value(value: bytes) -> None:
    """Check that a value is rejected, or else is equal after it was told to a peer."""
    try:
        entry = decode_entry(upstream="i-1", value=value)
    except DocumentInvalid:
        return
    record = Record(revision=7, entry=entry)
    kind, body = encode_notice(ListedUpstreams(entries=(_encode_record(record),)))
    told = decode_notice(kind, body)
    assert isinstance(told, ListedUpstreams)
    assert [_decode_record(listed) for listed in told.entries] == [record]
