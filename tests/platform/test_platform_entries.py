"""Invalid content in the store: it yields no usable upstream and hides no valid items."""

from __future__ import annotations

import base64
import json
import logging
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from valid_entries import STORE_ENTRY

from gypsumrouter.bootstrap_followers import MAX_LOGGED_ITEMS, read_records
from gypsumrouter.directory import EntryState
from gypsumrouter.exceptions import ConfigurationInvalid, DocumentInvalid
from gypsumrouter.platform import decode_configuration, decode_entry, read_upstream_id
from gypsumrouter.platform.store import _read_epoch, read_page
from gypsumrouter.published import Item
from gypsumrouter.published.models import StoreUnavailable
from gypsumrouter.util.revisions import NUMBERS_PER_EPOCH, get_epoch, get_number

INVALID_FIELDS: list[tuple[str, Any]] = [
    ("address", "abc"),
    ("address", "1.2.3.4:x"),
    ("address", "1.2.3.4:70000"),
    ("address", "1.2.3.4:0"),
    ("address", "1.2.3.4"),
    ("address", "runner.example:80"),
    ("address", "1.2.3.4:\uff18\uff10"),
    ("address", 80),
    ("cold_left_ms", float("nan")),
    ("cold_left_ms", float("inf")),
    ("cold_left_ms", -1),
    ("cold_left_ms", "0"),
    ("slots", 0),
    ("slots", -3),
    ("slots", "64"),
    ("slots", True),
    ("slots", 1.5),
    ("service", ""),
    ("service", None),
    ("zone", 7),
    ("state", "resting"),
    ("state", ["ready"]),
    ("sequence", "4"),
    ("version", 1),
]
ODD_STARTS = [
    '"1760000000000"',
    "1.5",
    "1760000000000.0",
    "0",
    "-7",
    "true",
    "null",
    "[]",
    '{"at": 1}',
    "1" + "0" * 30,
    str(2**53),
    "9" * 6_000,
    "1e400",
]
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)


def encode(**changed: Any) -> bytes:
    return json.dumps(STORE_ENTRY | changed).encode()


def test_valid_entry_is_decoded_with_start_time() -> None:
    entry = decode_entry(upstream="i-1", value=encode(unknown={"a": 1}))
    assert (entry.state, entry.slots, entry.started_ms) == (
        EntryState.READY,
        64,
        STORE_ENTRY["born"],
    )


@pytest.mark.parametrize(("field", "value"), INVALID_FIELDS)
def test_invalid_field_rejects_entry(field: str, value: Any) -> None:
    with pytest.raises(DocumentInvalid):
        decode_entry(upstream="i-1", value=encode(**{field: value}))


@pytest.mark.parametrize("born", ODD_STARTS)
def test_entry_with_an_odd_start_made_its_upstream_unusable(born: str) -> None:
    """An odd start time counts as not stated; the upstream is used as without one."""
    document = encode().replace(str(STORE_ENTRY["born"]).encode(), born.encode())
    entry = decode_entry(upstream="i-1", value=document)
    assert (entry.state, entry.slots, entry.started_ms) == (EntryState.READY, 64, 0)


def test_errors_of_an_entry_name_only_the_invalid_field() -> None:
    with pytest.raises(DocumentInvalid) as raised:
        decode_entry(upstream="i-1", value=encode(slots=0, born=7))
    assert [error.path for error in raised.value.errors] == ["$.slots"]


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state"])
def test_missing_field_rejects_entry(field: str) -> None:
    document = {name: value for name, value in STORE_ENTRY.items() if name != field}
    with pytest.raises(DocumentInvalid):
        decode_entry(upstream="i-1", value=json.dumps(document).encode())


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"7", b"[" * 100_000])
def test_malformed_value_rejects_entry(value: bytes) -> None:
    with pytest.raises(DocumentInvalid):
        decode_entry(upstream="i-1", value=value)


@pytest.mark.parametrize(
    "key", ["servers/", "servers/a/b", "servers/a\r\nX: y", "servers/" + "a" * 201]
)
def test_key_without_valid_id_is_ignored(key: str) -> None:
    assert read_upstream_id(key) is None


@given(
    field=st.sampled_from(sorted(STORE_ENTRY)),
    value=VALUES,
    keep=st.booleans(),
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_changed_field_neither_hides_other_entries_nor_changes_the_address(
    field: str, value: Any, keep: bool
) -> None:
    document = dict(STORE_ENTRY)
    if keep:
        document[field] = value
    else:
        del document[field]
    items = (
        Item(key="servers/i-bad", revision=1, value=json.dumps(document).encode()),
        Item(key="servers/i-good", revision=2, value=encode()),
    )
    bad, good = read_records(items)
    assert good.entry.state is EntryState.READY
    if bad.entry.state is EntryState.READY:
        assert bad.entry.slots > 0
        assert bad.entry.address is not None
        assert bad.entry.address.host == "10.1.0.9"


@given(value=VALUES)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_arbitrary_json_is_no_configuration(value: Any) -> None:
    with pytest.raises(ConfigurationInvalid):
        decode_configuration(json.dumps(value).encode())


@pytest.mark.parametrize("time", ["NaN", "Infinity", "-1", "1e300"])
def test_route_with_invalid_timeout_rejects_configuration(time: str) -> None:
    route = (
        '{"name": "r", "host": "h", "prefix": "/a/", "kind": "idempotent", "service": "s",'
        f' "timeout_ms": {time}}}'
    )
    with pytest.raises(ConfigurationInvalid):
        decode_configuration(f'{{"version": 1, "routes": [{route}]}}'.encode())


def test_unreadable_items_do_not_hide_others() -> None:
    value = base64.b64encode(encode()).decode()
    document = {
        "as_of": 9,
        "items": [
            None,
            7,
            {"revision": 3, "value": value},
            {"key": "servers/i-1", "revision": "3", "value": value},
            {"key": "servers/i-2", "revision": True, "value": value},
            {"key": "servers/i-3", "revision": 4, "value": "no base64!"},
            {"key": "servers/i-4", "revision": 5},
            {"key": "servers/i-5", "revision": 6, "value": value, "new": []},
        ],
    }
    page = read_page(document, "items")
    records = {r.entry.upstream: r.entry.state for r in read_records(page.items)}
    assert records == {
        "i-3": EntryState.UNUSABLE,
        "i-4": EntryState.UNUSABLE,
        "i-5": EntryState.READY,
    }


@given(document=VALUES)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_response_that_is_no_page_means_store_unavailable(document: Any) -> None:
    with pytest.raises(StoreUnavailable):
        read_page(document, "items")


@given(
    entries=st.lists(VALUES, max_size=4),
    as_of=st.integers(min_value=0, max_value=NUMBERS_PER_EPOCH - 1),
    epoch=st.integers(min_value=0, max_value=999_999),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_page_with_arbitrary_items_is_decoded(entries: list[Any], as_of: int, epoch: int) -> None:
    page = read_page({"items": entries, "as_of": as_of}, "items", epoch=epoch)
    assert (get_epoch(page.as_of), get_number(page.as_of)) == (epoch, as_of)
    assert page.items == ()


@pytest.mark.parametrize("as_of", [-1, NUMBERS_PER_EPOCH, 2**70])
def test_page_with_revision_out_of_range_is_rejected(as_of: int) -> None:
    with pytest.raises(StoreUnavailable):
        read_page({"items": [], "as_of": as_of}, "items")


@pytest.mark.parametrize(
    ("text", "epoch"),
    [
        (None, 0),
        ("0", 0),
        ("7", 7),
        ("999999", 999_999),
        ("1770371735", 371_735),
        ("999999999999999999", 999_999),
    ],
)
def test_era_of_any_size_is_decoded(text: str | None, epoch: int) -> None:
    assert _read_epoch(text) == epoch


@pytest.mark.parametrize("text", ["", "-1", "1.5", "x", "9" * 19, "٣"])
def test_invalid_era_means_store_unavailable(text: str) -> None:
    with pytest.raises(StoreUnavailable):
        _read_epoch(text)


def test_hundreds_of_odd_entries_filled_the_log(caplog: pytest.LogCaptureFixture) -> None:
    items = [
        Item(key=f"servers/i-{number}", revision=1, value=encode(state="s" * 60_000))
        for number in range(400)
    ]
    items += [Item(key="servers/?" + "k" * 60_000, revision=1, value=encode())]
    with caplog.at_level(logging.ERROR):
        records = list(read_records((*items, Item(key="servers/i-a", revision=1, value=encode()))))
    assert [r.entry.state for r in records] == [EntryState.UNUSABLE] * 400 + [EntryState.READY]
    assert len(caplog.messages) == MAX_LOGGED_ITEMS + 1
    assert max(len(message) for message in caplog.messages) <= 600
    assert caplog.messages[-1] == f"{401 - MAX_LOGGED_ITEMS} more invalid items in the list"


@pytest.mark.parametrize(
    ("changed", "state"),
    [
        ({"unknown": "u" * 1_000_000}, EntryState.READY),
        ({"unknown": [[1]] * 160_000}, EntryState.READY),
        ({"slots": "s" * 1_000_000}, EntryState.UNUSABLE),
        ({"zone": "z" * 1_000_000}, EntryState.UNUSABLE),
        ({"unknown": [[1]] * 160_000, "slots": 0}, EntryState.UNUSABLE),
    ],
    ids=range(5),
)
def test_value_of_the_size_of_a_page_hid_other_entries(
    changed: dict[str, Any], state: EntryState
) -> None:
    value = base64.b64encode(encode(**changed)).decode()
    entries = [
        {"key": "servers/i-large", "revision": 1, "value": value},
        {"key": "servers/i-a", "revision": 2, "value": base64.b64encode(encode()).decode()},
    ]
    page = read_page(json.loads(json.dumps({"as_of": 9, "items": entries})), "items")
    states = [record.entry.state for record in read_records(page.items)]
    assert states == [state, EntryState.READY]
