"""The platform adapter: decoding, encoding, and that wire names occur nowhere else."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from multidict import CIMultiDict

import gypsumrouter
from gypsumrouter.directory import EntryState
from gypsumrouter.exceptions import ConfigurationInvalid, DocumentInvalid
from gypsumrouter.forwarding import AttemptOptions, CallerRequest
from gypsumrouter.forwarding.models import ResponseMetadata
from gypsumrouter.instances import Address
from gypsumrouter.platform import PlatformDialect, decode_configuration, decode_entry, names
from gypsumrouter.platform.requests import write_request
from gypsumrouter.routing import RouteKind, Target

PACKAGE = Path(gypsumrouter.__file__).parent
WIRE_NAMES = (
    names.STAMP,
    names.PREFIX_PARTS,
    names.TOKEN_USAGE,
    names.EXPECT_INSTANCE,
    names.NOT_RUN,
    "X-Server-Load",
    names.TENANT,
    names.DEADLINE,
    names.API_KEY,
    names.FETCH_FROM,
    names.KEY_CONFIGURATION,
    names.CALL_WATCH,
    names.STORE_ERA,
    names.SERVER_LEAVING,
    names.CALL_RANGE,
    names.CALL_HELD,
)


def test_wire_names_occur_only_in_platform() -> None:
    found = [
        f"{path.relative_to(PACKAGE)}: {name}"
        for path in PACKAGE.rglob("*.py")
        if path.parent.name != "platform"
        for name in WIRE_NAMES
        if f'"{name.lower()}' in path.read_text().lower()
    ]
    assert found == []


def test_adapter_size_is_limited() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in (PACKAGE / "platform").glob("*.py"))
    assert lines < 800


def test_configuration_with_unknown_fields_is_decoded() -> None:
    document = {
        "version": 7,
        "new": 1,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "prefix": "/a/",
                "kind": "streaming",
                "timeout_ms": 15000.0,
                "target_latency_ms": 800,
                "target_gap_ms": 250,
                "priority": 1,
                "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
                "max_attempts": 2,
                "resumable": True,
                "sticky": True,
            }
        ],
        "services": [{"name": "s", "max_connections": 9, "engine": {"slots": 64, "kv_tokens": 5}}],
        "tenants": [{"name": "w", "api_keys": ["k"], "priority": 0}],
        "limits": {"max_body_bytes": 10, "idle_timeout_ms": 15000},
    }
    read = decode_configuration(json.dumps(document).encode())
    (route,) = read.routes
    assert (read.version, route.kind, route.timeout_ms) == (7, RouteKind.STREAMING, 15_000)
    assert route.targets == (Target(service="s", weight=90), Target(service="t", weight=10))
    assert route.repeatable
    assert read.services[0].engine is not None
    assert read.workspaces[0].priority == 0
    assert read.limits.max_body_bytes == 10


@pytest.mark.parametrize("document", [b"", b"[]", b'{"version": "x"}', b'{"routes": []}'])
def test_invalid_configuration_is_rejected(document: bytes) -> None:
    with pytest.raises(ConfigurationInvalid):
        decode_configuration(document)


def test_entry_is_decoded_with_id_and_address() -> None:
    value = b'{"service":"s","address":"10.1.0.9:8080","zone":"a","slots":4,"state":"draining"}'
    entry = decode_entry(upstream="i-1", value=value)
    assert (entry.upstream, entry.state) == ("i-1", EntryState.LEAVING)
    assert entry.address == Address(host="10.1.0.9", port=8080)
    assert decode_entry(upstream="i-1", value=None).state is EntryState.GONE
    with pytest.raises(DocumentInvalid):
        decode_entry(upstream="i-1", value=b'{"service":"s"}')


def test_request_is_encoded_with_router_headers() -> None:
    request = CallerRequest(
        request_id="r1",
        method="POST",
        host="api.example",
        path="/a/b?c=d",
        api_key="secret",
        deadline_ms=900,
        prompt=None,
        last_event_id=None,
        headers=(("X-Other", "x"),),
        body=b"body",
    )
    options = AttemptOptions(
        upstream="i-1",
        workspace="w",
        deadline_ms=850,
        priority=12,
        last_event_id="7",
        fetch_from=Address(host="10.0.0.1", port=8),
    )
    head, _, body = write_request(request=request, options=options).partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /a/b?c=d HTTP/1.1"
    assert "X-Expect-Instance: i-1" in lines
    assert "X-Deadline-Ms: 850" in lines
    assert "X-Request-Priority: 9" in lines
    assert "Last-Event-Id: 7" in lines
    assert "Kv-Fetch: 10.0.0.1:8" in lines
    assert "Content-Length: 4" in lines
    assert b"secret" not in head
    assert body == b"body"


class ResponseHead:
    """Status and headers of a response."""

    def __init__(self, *, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.message = SimpleNamespace(headers=CIMultiDict(headers))

    def get(self, name: str) -> str | None:
        """Return a header's value."""
        return cast("str | None", self.message.headers.get(name))


def read_head(status: int, **headers: str) -> ResponseMetadata:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    head = ResponseHead(status=status, headers=named)
    return PlatformDialect().read_response_head(cast(Any, head))


@pytest.mark.parametrize(
    ("headers", "reports_load", "valid"),
    [
        ({}, False, False),
        ({"X_Server_Load": "3,0,8,250"}, True, True),
        ({"X_Server_Load": "3,0,8,-1"}, True, False),
        ({"X_Server_Load": ""}, True, False),
    ],
)
def test_malformed_load_report_differs_from_an_absent_one(
    headers: dict[str, str], reports_load: bool, valid: bool
) -> None:
    """Guards against malformed reports that are ignored without being counted."""
    metadata = read_head(200, **headers)
    assert metadata.reports_load is reports_load
    assert (metadata.load is not None) is valid


@pytest.mark.parametrize(
    ("status", "value", "rest_ms"),
    [
        (503, "2", 2_000),
        (503, "0.25", 250),
        (503, "0.0001", 1),
        (503, "0", None),
        (503, "-3", None),
        (503, "soon", None),
        (503, "nan", None),
        (503, "inf", None),
        (503, "1e12", None),
        (503, "", None),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", None),
        (500, "2", None),
        (200, "2", None),
    ],
)
def test_retry_after_is_read_only_from_status_503(
    status: int, value: str, rest_ms: int | None
) -> None:
    assert read_head(status, Retry_After=value).retry_after_ms == rest_ms


@pytest.mark.parametrize(("value", "leaving"), [("1", True), (" 1 ", True), ("0", False)])
def test_leaving_header_is_decoded(value: str, leaving: bool) -> None:
    assert read_head(200, Server_Leaving=value).draining is leaving
    assert not read_head(200).draining
