"""Odd keys and documents of the operator's items, which other writers can write too."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest

from gypsumrouter.bootstrap_followers import read_evacuations
from gypsumrouter.exceptions import ConfigurationInvalid
from gypsumrouter.instances import Address
from gypsumrouter.platform import StoreClient, decode_configuration, read_evacuated_data_centre
from gypsumrouter.platform.store import StoreAnswer
from gypsumrouter.published import Item

ROUTE: dict[str, Any] = {
    "name": "r",
    "host": "h",
    "prefix": "/a/",
    "kind": "idempotent",
    "service": "s",
    "timeout_ms": 1_000,
}
SERVICE: dict[str, Any] = {"name": "s"}
FIELDS = (
    "version",
    "priority",
    "max_attempts",
    "max_connections",
    "slots",
    "kv_tokens",
    "tenant",
    "max_header_bytes",
    "max_body_bytes",
)


@pytest.mark.parametrize("number", [10**400, 10**30, 2**64, 2**63, 2**53, -(10**30)])
@pytest.mark.parametrize("field", FIELDS)
def test_number_out_of_range_in_the_configuration_kept_updates_from_all_peers(
    field: str, number: int
) -> None:
    documents: dict[str, dict[str, Any]] = {
        "version": {"version": number},
        "priority": {"routes": [ROUTE | {"priority": number}]},
        "max_attempts": {"routes": [ROUTE | {"max_attempts": number}]},
        "max_connections": {"services": [SERVICE | {"max_connections": number}]},
        "slots": {"services": [SERVICE | {"engine": {"slots": number}}]},
        "kv_tokens": {"services": [SERVICE | {"engine": {"kv_tokens": number}}]},
        "tenant": {"tenants": [{"name": "w", "priority": number}]},
        "max_header_bytes": {"limits": {"max_header_bytes": number}},
        "max_body_bytes": {"limits": {"max_body_bytes": number}},
    }
    with pytest.raises(ConfigurationInvalid):
        decode_configuration(json.dumps({"version": 1} | documents[field]).encode())


@pytest.mark.parametrize("name", ["\ud800", "a\ud800b", "a\nb", "\x00", ""])
def test_evacuation_of_an_odd_key_kept_updates_from_all_peers(name: str) -> None:
    assert read_evacuated_data_centre(f"op/evacuate/{name}") is None
    items = (
        Item(key=f"op/evacuate/{name}", revision=1, value=b"{}"),
        Item(key="op/evacuate/dc-é", revision=2, value=b"{}"),
    )
    assert [evacuation.data_centre for evacuation in read_evacuations(items)] == ["dc-é"]


async def test_page_that_ends_with_an_odd_key_ended_the_task_that_reads_the_list() -> None:
    queries: list[dict[str, list[str]]] = []
    pages = [
        {"items": [{"key": "servers/\ud800", "revision": 3}], "as_of": 4, "more_pages": True},
        {"items": [{"key": "servers/\ue000", "revision": 3}], "as_of": 4},
    ]

    class PagedStore(StoreClient):
        async def _async_exchange(self, target: str) -> StoreAnswer:
            queries.append(parse_qs(urlsplit(target).query, errors="surrogatepass"))
            body = json.dumps(pages[len(queries) - 1]).encode()
            return StoreAnswer(status=200, epoch=0, body=body)

    client = PagedStore(address=Address(host="127.0.0.1", port=1), prefix="servers/")
    listed = await client.async_list()
    assert [item.key for item in listed.items] == ["servers/\ud800", "servers/\ue000"]
    assert queries[1]["after"] == ["servers/\ud800"]


@pytest.mark.parametrize("name", ["acme\r\nX-Hold: 1", "acme\n", "a\x00b", "a\x7fb"])
def test_name_of_a_workspace_wrote_another_header_into_requests(name: str) -> None:
    """The name is sent to upstreams in a header."""
    document = {"version": 1, "routes": [ROUTE], "services": [SERVICE], "tenants": [{"name": name}]}
    with pytest.raises(ConfigurationInvalid):
        decode_configuration(json.dumps(document).encode())


@pytest.mark.parametrize(
    ("name", "reason"),
    [
        ("acme\r\nX-Hold: 1", "a header can carry"),
        ("a\x00b", "a header can carry"),
        (" acme", "a header can carry"),
        ("acme\t", "a header can carry"),
        (" ", "a header can carry"),
        ("ac\ud800me", "Unicode"),
    ],
)
def test_error_did_not_say_which_workspace_has_a_name_that_no_header_carries(
    name: str, reason: str
) -> None:
    """A space at an end was accepted, but upstreams read the name without it."""
    tenants = [{"name": "plant é\t2"}, {"name": name}]
    document = {"version": 1, "routes": [ROUTE], "services": [SERVICE], "tenants": tenants}
    with pytest.raises(ConfigurationInvalid) as raised:
        decode_configuration(json.dumps(document).encode())
    (error,) = raised.value.errors
    assert error.path == "$.tenants[1].name"
    assert reason in error.message
