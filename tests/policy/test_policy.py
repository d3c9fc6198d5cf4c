"""Rule matching, decisions and explanations, key lookup, and at-most-once calls."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import pytest
from hypothesis import given, reject, settings
from hypothesis import strategies as st

from gypsumrouter.configuration import Configuration, check_configuration
from gypsumrouter.const import UpstreamKind
from gypsumrouter.exceptions import ConfigurationInvalid
from gypsumrouter.policy import Miss, Policy, RequestFacts

# Monday, 5 January 2026, 08:00 UTC.
MONDAY_MS = 1_767_600_000_000
HOUR_MS = 3_600_000


def digest_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def make_configuration(*rules: dict[str, Any]) -> Configuration:
    document = {
        "version": 1,
        "workspaces": [
            {"name": "schools", "key_digests": [digest_key("key-1"), digest_key("key-2")]},
            {"name": "utility", "key_digests": [digest_key("key-3")], "default_class": "office"},
        ],
        "classes": [
            {"name": "parents"},
            {"name": "office", "batch": True, "answer_ms": 600_000},
            {"name": "inspectors", "penalty": 50.0},
        ],
        "pools": [
            {"name": "shared", "kind": "engine", "models": ["sizing"]},
            {"name": "spare", "kind": "engine", "models": ["sizing", "quotes"]},
            {
                "name": "dispatch",
                "kind": "service",
                "at_most_once": {
                    "calls": [
                        {"method": "POST", "path_prefix": "/stock/reserve"},
                        {"method": "*", "path_prefix": "/defects/"},
                    ]
                },
            },
            {"name": "plain", "kind": "service"},
        ],
        "rules": [{"name": f"rule-{n}", **rule} for n, rule in enumerate(rules)],
        "default_class": "parents",
    }
    return check_configuration(json.dumps(document).encode())


def make_policy(*rules: dict[str, Any]) -> Policy:
    return Policy(configuration=make_configuration(*rules))


def make_chat_facts(**changes: Any) -> RequestFacts:
    facts: dict[str, Any] = {
        "workspace": "schools",
        "kind": UpstreamKind.ENGINE,
        "wall_ms": MONDAY_MS,
        "model": "sizing",
        "method": "POST",
        "path": "/v1/chat/completions",
        "size_bytes": 100,
        "data_centre": "dc-1",
    }
    return RequestFacts(**{**facts, **changes})


def make_call_facts(**changes: Any) -> RequestFacts:
    facts = {"kind": UpstreamKind.SERVICE, "model": "", "service": "dispatch", "path": "/stock"}
    return make_chat_facts(**{**facts, **changes})


def get_rule_name(policy: Policy, facts: RequestFacts) -> str | None:
    return policy.decide(facts).rule


def test_default_decision_follows_the_model_or_service() -> None:
    policy = make_policy()
    decision = policy.decide(make_chat_facts())
    assert (decision.rule, decision.caller_class.name) == (None, "parents")
    assert decision.pool is not None
    assert decision.pool.name == "shared"
    assert policy.decide(make_chat_facts(workspace="utility")).caller_class.name == "office"
    asked = make_chat_facts(workspace="utility", caller_class="inspectors")
    assert policy.decide(asked).caller_class.name == "inspectors"
    assert policy.decide(make_chat_facts(model="unknown")).pool is None
    service = policy.decide(make_call_facts()).pool
    assert service is not None
    assert service.name == "dispatch"


def test_the_first_matching_rule_decides() -> None:
    policy = make_policy(
        {"when": {"workspace": ["utility"]}, "then": {"max_output_tokens": 1}},
        {"when": {"model": ["sizing"]}, "then": {"pool": "spare", "next_pool": "shared"}},
        {"then": {"refuse": "closed", "retry_after_ms": 5, "caller_class": None}},
    )
    decision = policy.decide(make_chat_facts())
    assert decision.rule == "rule-1"
    assert decision.pool is not None
    assert decision.next_pool is not None
    assert (decision.pool.name, decision.next_pool.name) == ("spare", "shared")
    assert (decision.max_output_tokens, decision.refuse) == (None, None)
    refusal = policy.decide(make_chat_facts(model="quotes"))
    assert (refusal.refuse, refusal.retry_after_ms) == ("closed", 5)


@pytest.mark.parametrize(
    ("when", "matching", "other"),
    [
        ({"workspace": ["utility"]}, make_chat_facts(workspace="utility"), make_chat_facts()),
        ({"caller_class": ["office"]}, make_chat_facts(workspace="utility"), make_chat_facts()),
        ({"caller_class": ["parents"]}, make_chat_facts(), make_chat_facts(caller_class="office")),
        ({"model": ["quotes"]}, make_chat_facts(model="quotes"), make_chat_facts()),
        ({"service": ["dispatch"]}, make_call_facts(), make_call_facts(service="plain")),
        ({"method": ["PUT"]}, make_call_facts(method="PUT"), make_call_facts()),
        (
            {"path_prefix": "/Stock"},
            make_call_facts(path="//x/../STOCK/9"),
            make_call_facts(path="/x/stock"),
        ),
        ({"data_centre": ["dc-2"]}, make_chat_facts(data_centre="dc-2"), make_chat_facts()),
        ({"returning": True}, make_chat_facts(returning=True), make_chat_facts()),
        ({"returning": False}, make_chat_facts(), make_chat_facts(returning=True)),
        ({"min_bytes": 101}, make_chat_facts(size_bytes=101), make_chat_facts(size_bytes=100)),
        ({"max_bytes": 99}, make_chat_facts(size_bytes=99), make_chat_facts(size_bytes=100)),
        ({"weekdays": [0]}, make_chat_facts(), make_chat_facts(wall_ms=MONDAY_MS + 24 * HOUR_MS)),
        ({"weekdays": [6]}, make_chat_facts(wall_ms=MONDAY_MS - 9 * HOUR_MS), make_chat_facts()),
        ({"from_minute": 480}, make_chat_facts(), make_chat_facts(wall_ms=MONDAY_MS - 1)),
        ({"to_minute": 480}, make_chat_facts(wall_ms=MONDAY_MS - 1), make_chat_facts()),
        (
            {"from_minute": 1320, "to_minute": 60},
            make_chat_facts(wall_ms=MONDAY_MS - 8 * HOUR_MS),
            make_chat_facts(wall_ms=MONDAY_MS - 7 * HOUR_MS),
        ),
    ],
)
def test_each_condition_matches_and_rejects(
    when: dict[str, Any], matching: RequestFacts, other: RequestFacts
) -> None:
    policy = make_policy({"when": when, "then": {"max_output_tokens": 7}})
    assert get_rule_name(policy, matching) == "rule-0"
    assert get_rule_name(policy, other) is None
    assert get_rule_name(policy, matching) == "rule-0"


def test_a_rule_with_an_engine_pool_does_not_match_service_calls() -> None:
    policy = make_policy({"then": {"pool": "spare"}})
    assert get_rule_name(policy, make_chat_facts()) == "rule-0"
    assert get_rule_name(policy, make_call_facts()) is None


def test_an_explanation_names_the_first_failed_condition() -> None:
    policy = make_policy(
        {"when": {"workspace": ["utility"], "min_bytes": 1_000}},
        {"when": {"workspace": ["schools"], "min_bytes": 1_000}},
        {"when": {"workspace": ["schools"]}, "then": {"concurrent": 3}},
        {"then": {"refuse": "never seen"}},
    )
    explanation = policy.explain(make_chat_facts())
    assert explanation.misses == (
        Miss(rule="rule-0", condition="workspace", needed="utility", found="schools"),
        Miss(rule="rule-1", condition="min_bytes", needed="1000", found="100"),
    )
    assert explanation.decision == policy.decide(make_chat_facts())
    assert explanation.decision.concurrent == 3


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    whens=st.lists(
        st.fixed_dictionaries(
            {},
            optional={
                "workspace": st.sampled_from((["schools"], ["utility"], ["schools", "utility"])),
                "returning": st.booleans(),
                "min_bytes": st.integers(0, 4),
                "data_centre": st.sampled_from((["dc-1"], ["dc-2"])),
            },
        ),
        max_size=6,
    ),
    workspace=st.sampled_from(("schools", "utility")),
    returning=st.booleans(),
    size_bytes=st.integers(0, 5),
)
def test_decide_and_explain_agree_with_a_linear_scan_of_the_rules(
    whens: list[dict[str, Any]], workspace: str, returning: bool, size_bytes: int
) -> None:
    try:
        policy = make_policy(*({"when": when} for when in whens))
    except ConfigurationInvalid:
        reject()
    facts = make_chat_facts(workspace=workspace, returning=returning, size_bytes=size_bytes)
    expected = next(
        (
            f"rule-{number}"
            for number, when in enumerate(whens)
            if workspace in when.get("workspace", [workspace])
            and returning == when.get("returning", returning)
            and size_bytes >= when.get("min_bytes", 0)
            and "dc-1" in when.get("data_centre", ["dc-1"])
        ),
        None,
    )
    assert policy.decide(facts).rule == expected
    assert policy.explain(facts).decision == policy.decide(facts)


def test_a_key_finds_only_its_own_workspace() -> None:
    policy = make_policy()
    names = {key: policy.find_workspace(key) for key in ("key-1", "key-2", "key-3", "key-4", "")}
    assert {key: found.name for key, found in names.items() if found} == {
        "key-1": "schools",
        "key-2": "schools",
        "key-3": "utility",
    }
    assert policy.find_workspace(digest_key("key-1")) is None
    assert policy.find_workspace("\udcff") is None


async def test_a_policy_compiled_in_slices_decides_the_same() -> None:
    configuration = make_configuration({"when": {"model": ["quotes"]}})
    policy = await Policy.async_compile(configuration)
    assert get_rule_name(policy, make_chat_facts(model="quotes")) == "rule-0"
    assert policy.find_workspace("key-1") == configuration.workspaces[0]


@pytest.mark.parametrize(
    "path",
    [
        "/stock/reserve",
        "/stock/reserve/9?x=1",
        "/stock/reserve/",
        "//stock///reserve",
        "/stock/./reserve",
        "/x/../stock/reserve",
        "/stock/reserve/..",
        "/../stock/reserve",
        "stock/reserve",
        "/Stock/RESERVE",
        "/%73tock/reserve",
        "/stock%2Freserve",
        "/stock%2freserve",
        "/%2e%2e/stock/reserve",
        "/%2573tock/reserve",
        "/stock\\reserve",
        "/stock%5Creserve",
        "/stock;x=1/reserve",
        "/stock%3Bx/reserve",
        "/stoc%E2%84%AA/reserve",
        "/stock/%00/reserve",
        "/stock%c0%afreserve",
        "/%ef%bd%93tock/reserve",
        "/stock/reserve#part",
    ],
)
def test_equivalent_or_ambiguous_paths_match_an_at_most_once_call(path: str) -> None:
    policy = make_policy()
    assert policy.must_not_repeat(pool="dispatch", method="POST", path=path)
    assert policy.must_not_repeat(pool="dispatch", method="post", path=path)


@pytest.mark.parametrize(
    ("method", "path", "at_most_once"),
    [
        ("GET", "/stock/reserve", False),
        ("GET", "/stock;x/reserve", True),
        ("POST", "/stock", False),
        ("POST", "/stock/list", False),
        ("DELETE", "/defects/7", True),
        ("GET", "/defects", True),
        ("GET", "/%44efects", True),
        ("GET", "/a%20b", False),
    ],
)
def test_at_most_once_matches_by_method_and_path(
    method: str, path: str, at_most_once: bool
) -> None:
    policy = make_policy()
    assert policy.must_not_repeat(pool="dispatch", method=method, path=path) is at_most_once


def test_only_unknown_pools_and_at_most_once_calls_must_not_repeat() -> None:
    policy = make_policy()
    assert not policy.must_not_repeat(pool="plain", method="POST", path="/stock/reserve")
    assert not policy.must_not_repeat(pool="shared", method="POST", path="/v1/chat/completions")
    assert policy.must_not_repeat(pool="unknown", method="GET", path="/")


@settings(derandomize=True, deadline=None)
@given(path=st.text(max_size=40), prefix=st.sampled_from(("", "/", "/.", "/x/..", "//")))
def test_equivalent_path_prefixes_still_match_an_at_most_once_call(path: str, prefix: str) -> None:
    policy = make_policy()
    path_variant = f"{prefix}/stock/reserve{path}"
    assert policy.must_not_repeat(pool="dispatch", method="POST", path=path_variant)
