"""Decides class, pool and limits of requests, compiled from one configuration."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final, Self

from msgspec.structs import replace

from gypsumrouter.configuration import (
    CallerClass,
    Configuration,
    Pool,
    Sliced,
    Workspace,
    async_run_sliced,
    normalise_path,
    run_sliced,
)
from gypsumrouter.const import UpstreamKind
from gypsumrouter.policy.at_most_once import AtMostOnceMatcher
from gypsumrouter.policy.models import Decision, Explanation, Miss, RequestFacts
from gypsumrouter.policy.rules import CompiledRule, compile_rule, get_candidate_key

_WORKSPACES_PER_SLICE: Final = 1_000
_RULES_PER_SLICE: Final = 50
_MAX_CACHED_CANDIDATES: Final = 2_048
FALLBACK_CLASS: Final = CallerClass(name="default")


class Policy:
    """Looks up workspaces and evaluates routing rules; immutable once compiled."""

    __slots__ = (
        "_at_most_once_matchers",
        "_candidates",
        "_classes",
        "_configuration",
        "_default_class",
        "_pools",
        "_pools_by_model",
        "_rules",
        "_uses_paths",
        "_workspaces",
        "_workspaces_by_digest",
    )

    def __init__(self, *, configuration: Configuration) -> None:
        self._init_state(configuration)
        run_sliced(self._compile_in_slices())

    @classmethod
    async def async_compile(cls, configuration: Configuration) -> Self:
        """Compile a policy in slices that yield to the event loop."""
        policy = cls.__new__(cls)
        policy._init_state(configuration)
        await async_run_sliced(policy._compile_in_slices())
        return policy

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, or None."""
        digest = hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
        found = self._workspaces_by_digest.get(digest)
        if found is None:
            return None
        stored, workspace = found
        return workspace if hmac.compare_digest(stored, digest) else None

    def get_workspace(self, name: str) -> Workspace | None:
        """Return a workspace by its name, or None."""
        return self._workspaces.get(name)

    def get_class(self, name: str) -> CallerClass:
        """Return a class by its name, or the default class if it is unknown."""
        return self._classes.get(name, self._default_class)

    def get_pool(self, name: str) -> Pool | None:
        """Return a pool by its name, or None."""
        return self._pools.get(name)

    def decide(self, facts: RequestFacts) -> Decision:
        """Return the decision of the first matching rule, or the default decision."""
        facts = self._normalise_facts(facts)
        candidates = self._candidates.get(get_candidate_key(facts))
        if candidates is None:
            candidates = self._select_candidates(facts)
        for rule in candidates:
            for test in rule.tests:
                if not test(facts):
                    break
            else:
                return self._build_decision(rule, facts)
        return self._build_decision(None, facts)

    def explain(self, facts: RequestFacts) -> Explanation:
        """Return the decision, and for each earlier rule why it did not match."""
        facts = self._normalise_facts(facts)
        misses: list[Miss] = []
        for rule in self._rules:
            condition = rule.find_failed_condition(facts)
            if condition is None:
                return Explanation(decision=self._build_decision(rule, facts), misses=tuple(misses))
            miss = Miss(
                rule=rule.rule.name,
                condition=condition.name,
                needed=condition.needed,
                found=str(condition.found(facts)),
            )
            misses.append(miss)
        return Explanation(decision=self._build_decision(None, facts), misses=tuple(misses))

    def must_not_repeat(self, *, pool: str, method: str, path: str) -> bool:
        """Return whether a call must run at most once; True for an unknown pool."""
        if pool not in self._pools:
            return True
        matcher = self._at_most_once_matchers.get(pool)
        return matcher is not None and matcher.matches(method=method, path=path)

    def _init_state(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._workspaces: dict[str, Workspace] = {}
        self._workspaces_by_digest: dict[str, tuple[str, Workspace]] = {}
        self._classes = {found.name: found for found in configuration.classes}
        self._pools = {pool.name: pool for pool in configuration.pools}
        self._default_class = self._classes.get(configuration.default_class or "", FALLBACK_CLASS)
        self._pools_by_model: dict[str, Pool] = {}
        self._at_most_once_matchers: dict[str, AtMostOnceMatcher] = {}
        self._rules: tuple[CompiledRule, ...] = ()
        self._candidates: dict[object, tuple[CompiledRule, ...]] = {}
        self._uses_paths = any(rule.when.path_prefix for rule in configuration.rules)

    def _compile_in_slices(self) -> Sliced[None]:
        for pool in self._configuration.pools:
            for model in pool.models:
                self._pools_by_model.setdefault(model, pool)
            if pool.at_most_once is not None:
                self._at_most_once_matchers[pool.name] = AtMostOnceMatcher(rules=pool.at_most_once)
        rules: list[CompiledRule] = []
        for count, rule in enumerate(self._configuration.rules, start=1):
            rules.append(compile_rule(rule, self._pools))
            if count % _RULES_PER_SLICE == 0:
                yield
        self._rules = tuple(rules)
        for count, workspace in enumerate(self._configuration.workspaces, start=1):
            self._workspaces[workspace.name] = workspace
            for digest in workspace.key_digests:
                self._workspaces_by_digest[digest] = (digest, workspace)
            if count % _WORKSPACES_PER_SLICE == 0:
                yield

    def _select_candidates(self, facts: RequestFacts) -> tuple[CompiledRule, ...]:
        """Return the rules that may match requests with these names, and cache them."""
        found = tuple(rule for rule in self._rules if rule.may_match(facts))
        if len(self._candidates) >= _MAX_CACHED_CANDIDATES:
            self._candidates.clear()
        self._candidates[get_candidate_key(facts)] = found
        return found

    def _normalise_facts(self, facts: RequestFacts) -> RequestFacts:
        """Set the effective caller class and normalise the path if any rule matches paths."""
        caller_class = facts.caller_class
        if caller_class not in self._classes:
            workspace = self._workspaces.get(facts.workspace)
            name = None if workspace is None else workspace.default_class
            caller_class = self.get_class(name or "").name
        path = normalise_path(facts.path) if self._uses_paths else facts.path
        if caller_class == facts.caller_class and path == facts.path:
            return facts
        return replace(facts, caller_class=caller_class, path=path)

    def _build_decision(self, matched: CompiledRule | None, facts: RequestFacts) -> Decision:
        if matched is None:
            return Decision(
                rule=None,
                caller_class=self.get_class(facts.caller_class),
                pool=self._get_default_pool(facts),
            )
        then = matched.rule.then
        return Decision(
            rule=matched.rule.name,
            caller_class=self.get_class(then.caller_class or facts.caller_class),
            pool=self._get_default_pool(facts) if then.pool is None else self._pools[then.pool],
            next_pool=None if then.next_pool is None else self._pools[then.next_pool],
            max_output_tokens=then.max_output_tokens,
            concurrent=then.concurrent,
            requests_per_s=then.requests_per_s,
            deadline_ms=then.deadline_ms,
            refuse=then.refuse,
            retry_after_ms=then.retry_after_ms,
        )

    def _get_default_pool(self, facts: RequestFacts) -> Pool | None:
        match facts.kind:
            case UpstreamKind.ENGINE:
                return self._pools_by_model.get(facts.model)
            case UpstreamKind.SERVICE:
                return self._pools.get(facts.service)
