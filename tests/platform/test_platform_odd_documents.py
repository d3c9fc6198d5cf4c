"""Odd keys and documents of the operator's items, which other writers can write too."""

from __future__ import annotations

import json
from typing import Any

import pytest

from gypsumrouter.exceptions import ConfigurationInvalid
from gypsumrouter.platform import decode_configuration

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
