"""Validation of configuration documents: all errors are reported together, each with its path."""

from __future__ import annotations

import json
from typing import Any

import pytest
from configuration_fakes import digest_key, encode, make_document

from gypsumrouter.configuration import check_configuration
from gypsumrouter.configuration.const import MAX_DOCUMENT_BYTES, MAX_RULES
from gypsumrouter.exceptions import ConfigurationInvalid


def list_error_paths(document: bytes) -> list[str]:
    with pytest.raises(ConfigurationInvalid) as caught:
        check_configuration(document)
    return [error.path for error in caught.value.errors]


def make_single_rule(
    when: dict[str, Any] | None = None, then: dict[str, Any] | None = None
) -> dict[str, Any]:
    return {"rules": [{"name": "r", "when": when or {}, "then": then or {}}]}


def make_rules(*whens: dict[str, Any], then: dict[str, Any] | None = None) -> dict[str, Any]:
    return {
        "rules": [
            {"name": f"r{number}", "when": when, "then": then or {}}
            for number, when in enumerate(whens)
        ]
    }


def test_valid_document_is_parsed_with_workspaces_sorted_by_name() -> None:
    document = make_document(3, workspaces=0)
    document["workspaces"] = [{"name": "b"}, {"name": "a"}]
    configuration = check_configuration(encode(document))
    assert configuration.version == 3
    assert [workspace.name for workspace in configuration.workspaces] == ["a", "b"]


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"version": 0}, "$.version"),
        ({"version": 2**63}, "$.version"),
        ({"version": "1"}, "$.version"),
        ({"default_class": None}, "$.default_class"),
        ({"default_class": "reports"}, "$.default_class"),
        ({"default_class": "nobody"}, "$.default_class"),
        ({"extra": 1}, "$.extra"),
        ({"workspaces": {}}, "$.workspaces"),
        ({"workspaces": [{"name": "a"}, {"name": "a"}]}, "$.workspaces[1].name"),
        ({"workspaces": [{"name": "a", "share": 0}]}, "$.workspaces[0].share"),
        ({"workspaces": [{"name": "a", "share": "1"}]}, "$.workspaces[0].share"),
        ({"workspaces": [{"name": "a", "default_class": "x"}]}, "$.workspaces[0].default_class"),
        ({"workspaces": [{"name": "a", "key_digests": ["x"]}]}, "$.workspaces[0].key_digests[0]"),
        ({"classes": [{"name": "parents"}] * 2}, "$.classes[1].name"),
        ({"pools": [{"name": "p", "kind": "engine"}] * 2}, "$.pools[1].name"),
        ({"pools": [{"name": "p", "kind": "service", "models": ["m"]}]}, "$.pools[0].models"),
        (
            {"pools": [{"name": "p", "kind": "engine", "models": ["m", "m"]}]},
            "$.pools[0].models[1]",
        ),
        (
            {"pools": [{"name": "p", "kind": "engine", "at_most_once": {"calls": [{}]}}]},
            "$.pools[0].at_most_once",
        ),
        (
            {"pools": [{"name": "p", "kind": "service", "at_most_once": {"calls": []}}]},
            "$.pools[0].at_most_once.calls",
        ),
        ({"rules": [{"name": "a"}, {"name": "a"}]}, "$.rules[1].name"),
        (make_single_rule({"workspace": ["nobody"]}), "$.rules[0].when.workspace[0]"),
        (make_single_rule({"caller_class": ["nobody"]}), "$.rules[0].when.caller_class[0]"),
        (make_single_rule({"model": ["unknown"]}), "$.rules[0].when.model[0]"),
        (make_single_rule({"service": ["shared"]}), "$.rules[0].when.service[0]"),
        (make_single_rule({"method": ["post"]}), "$.rules[0].when.method[0]"),
        (make_single_rule({"path_prefix": "stock"}), "$.rules[0].when.path_prefix"),
        (make_single_rule({"workspace": []}), "$.rules[0].when.workspace"),
        (make_single_rule({"weekdays": []}), "$.rules[0].when.weekdays"),
        (make_single_rule({"weekdays": [7]}), "$.rules[0].when.weekdays[0]"),
        (make_single_rule({"min_bytes": 2, "max_bytes": 1}), "$.rules[0].when.min_bytes"),
        (make_single_rule({"from_minute": 5, "to_minute": 5}), "$.rules[0].when.to_minute"),
        (make_single_rule({"to_minute": 0}), "$.rules[0].when.to_minute"),
        (make_single_rule({"model": ["sizing"], "service": ["dispatch"]}), "$.rules[0].when"),
        (make_single_rule({"model": ["sizing"]}, {"pool": "dispatch"}), "$.rules[0].when"),
        (make_single_rule({"model": ["quotes"]}, {"pool": "shared"}), "$.rules[0].then.pool"),
        (make_single_rule(None, {"caller_class": "nobody"}), "$.rules[0].then.caller_class"),
        (make_single_rule(None, {"pool": "nowhere"}), "$.rules[0].then.pool"),
        (make_single_rule(None, {"next_pool": "nowhere"}), "$.rules[0].then.next_pool"),
        (
            make_single_rule(None, {"pool": "shared", "next_pool": "shared"}),
            "$.rules[0].then.next_pool",
        ),
        (
            make_single_rule(None, {"pool": "shared", "next_pool": "dispatch"}),
            "$.rules[0].then.next_pool",
        ),
        (make_single_rule(None, {"refuse": ""}), "$.rules[0].then.refuse"),
        (make_single_rule(None, {"refuse": "no", "pool": "shared"}), "$.rules[0].then.refuse"),
        (make_single_rule(None, {"retry_after_ms": 5}), "$.rules[0].then.retry_after_ms"),
        ({"rules": [{"name": f"r{n}"} for n in range(MAX_RULES + 1)]}, "$.rules"),
    ],
)
def test_each_error_is_reported_with_its_path(changes: dict[str, Any], path: str) -> None:
    assert path in list_error_paths(encode({**make_document(1), **changes}))


@pytest.mark.parametrize(
    "whens",
    [
        ({}, {"workspace": ["school-0"]}),
        ({"workspace": ["school-0", "school-1"]}, {"workspace": ["school-1"]}),
        ({"path_prefix": "/Stock/"}, {"path_prefix": "/stock/reserve"}),
        ({"min_bytes": 10}, {"min_bytes": 20, "max_bytes": 30}),
        ({"from_minute": 1300, "to_minute": 100}, {"to_minute": 60}),
        ({"weekdays": [0, 1, 2, 3, 4, 5, 6]}, {"weekdays": [3]}),
        ({"service": ["dispatch"]}, {"service": ["dispatch"], "method": ["POST"]}),
        ({"returning": True}, {"data_centre": ["dc-0"], "returning": True}),
    ],
)
def test_rule_covered_by_an_earlier_rule_is_reported(whens: Any) -> None:
    assert list_error_paths(encode(make_document(1, **make_rules(*whens)))) == ["$.rules[1]"]


@pytest.mark.parametrize(
    "whens",
    [
        ({"workspace": ["school-0"]}, {}),
        ({"workspace": ["school-0"]}, {"workspace": ["school-0", "school-1"]}),
        ({"max_bytes": 30}, {"min_bytes": 20}),
        ({"from_minute": 60, "to_minute": 100}, {"to_minute": 61}),
        ({"path_prefix": "/stock"}, {"method": ["POST"]}),
    ],
)
def test_rule_that_is_not_fully_covered_is_accepted(whens: Any) -> None:
    assert len(check_configuration(encode(make_document(1, **make_rules(*whens)))).rules) == 2


def test_engine_rule_does_not_cover_service_rule() -> None:
    document = make_document(1)
    document["rules"] = [
        {"name": "engines", "then": {"pool": "spare"}},
        {"name": "services", "when": {"service": ["dispatch"]}},
    ]
    assert len(check_configuration(encode(document)).rules) == 2


def test_key_of_two_workspaces_is_reported_without_its_digest() -> None:
    document = make_document(1, workspaces=2)
    document["workspaces"][1]["key_digests"] = [digest_key("key-0")]
    with pytest.raises(ConfigurationInvalid) as caught:
        check_configuration(encode(document))
    assert [error.path for error in caught.value.errors] == ["$.workspaces[1].key_digests[0]"]
    assert digest_key("key-0") not in str(caught.value)


def test_all_errors_are_reported_together() -> None:
    document = make_document(
        1, default_class="nobody", **make_single_rule({"model": ["x"], "workspace": []})
    )
    document["workspaces"].append({"name": "school-0"})
    assert set(list_error_paths(encode(document))) == {
        "$.default_class",
        "$.workspaces[3].name",
        "$.rules[0].when.model[0]",
        "$.rules[0].when.workspace",
    }


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"[]",
        b"{",
        b'{"version": 1} x',
        b'{"version": 1, "version": 2}',
        b'{"version": 1, "classes": [{"name": "a", "name": "b"}]}',
        b'{"version": NaN}',
        b'{"version": 1, "workspaces": [}',
        b'{"version": 1, "workspaces": [{"name": "a"},]}',
        b'{"version": 1, "workspaces": [' + b"[" * 100_000,
        b'{"version": ' + b"1" * 5_000 + b"}",
        b'{"version": 1, "rules": [{"name": "r", "then": {"refuse": "\\ud800"}}]}',
        b"\xff",
    ],
)
def test_malformed_document_raises_configuration_invalid(document: bytes) -> None:
    assert list_error_paths(document)


def test_infinite_number_is_rejected() -> None:
    text = json.dumps(make_document(1)).replace('"batch": true', '"penalty": 1e999')
    assert list_error_paths(text.encode()) == ["$.classes[1].penalty"]


def test_document_over_the_size_limit_is_rejected() -> None:
    document = encode(make_document(1))
    assert check_configuration(document.ljust(MAX_DOCUMENT_BYTES)).version == 1
    assert list_error_paths(document.ljust(MAX_DOCUMENT_BYTES + 1)) == ["$"]
