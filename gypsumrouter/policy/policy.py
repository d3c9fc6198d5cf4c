"""Decisions about requests, compiled from one configuration."""

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
from gypsumrouter.policy.models import Decision, Explanation, Miss, RequestFacts
from gypsumrouter.policy.repeats import CallMatcher
from gypsumrouter.policy.rules import CompiledRule, compile_rule, get_names

_SLICE_WORKSPACES: Final = 1_000
_SLICE_RULES: Final = 50
_MAX_CANDIDATES: Final = 2_048
FALLBACK_CLASS: Final = CallerClass(name="default")


class Policy:
    """Who a caller is, what its request is worth and where it goes; immutable once built."""

    __slots__ = (
        "_candidates",
        "_classes",
        "_configuration",
        "_default_class",
        "_keys",
        "_matchers",
        "_models",
        "_pools",
        "_rules",
        "_uses_paths",
        "_workspaces",
    )

    def __init__(self, *, configuration: Configuration) -> None:
        self._prepare(configuration)
        run_sliced(self._fill())

    @classmethod
    async def async_compile(cls, configuration: Configuration) -> Self:
        """Build a policy and give way to the event loop again and again."""
        policy = cls.__new__(cls)
        policy._prepare(configuration)
        await async_run_sliced(policy._fill())
        return policy

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that a caller's key belongs to."""
        digest = hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
        found = self._keys.get(digest)
        if found is None:
            return None
        stored, workspace = found
        return workspace if hmac.compare_digest(stored, digest) else None

    def get_workspace(self, name: str) -> Workspace | None:
        """Return a workspace by its name."""
        return self._workspaces.get(name)

    def get_class(self, name: str) -> CallerClass:
        """Return a class by its name, or the default class where there is none of that name."""
        return self._classes.get(name, self._default_class)

    def get_pool(self, name: str) -> Pool | None:
        """Return a pool by its name."""
        return self._pools.get(name)

    def decide(self, facts: RequestFacts) -> Decision:
        """Return what follows from the first rule that matches."""
        facts = self._complete(facts)
        candidates = self._candidates.get(get_names(facts))
        if candidates is None:
            candidates = self._list_candidates(facts)
        for rule in candidates:
            for test in rule.tests:
                if not test(facts):
                    break
            else:
                return self._follow(rule, facts)
        return self._follow(None, facts)

    def explain(self, facts: RequestFacts) -> Explanation:
        """Return the decision, and for each earlier rule why it did not match."""
        facts = self._complete(facts)
        misses: list[Miss] = []
        for rule in self._rules:
            condition = rule.find_miss(facts)
            if condition is None:
                return Explanation(decision=self._follow(rule, facts), misses=tuple(misses))
            miss = Miss(
                rule=rule.rule.name,
                condition=condition.name,
                needed=condition.needed,
                found=str(condition.found(facts)),
            )
            misses.append(miss)
        return Explanation(decision=self._follow(None, facts), misses=tuple(misses))

    def must_not_repeat(self, *, pool: str, method: str, path: str) -> bool:
        """Return whether a call is marked; one of a pool that is not known is, in doubt."""
        if pool not in self._pools:
            return True
        matcher = self._matchers.get(pool)
        return matcher is not None and matcher.matches(method=method, path=path)

    def _prepare(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._workspaces: dict[str, Workspace] = {}
        self._keys: dict[str, tuple[str, Workspace]] = {}
        self._classes = {found.name: found for found in configuration.classes}
        self._pools = {pool.name: pool for pool in configuration.pools}
        self._default_class = self._classes.get(configuration.default_class or "", FALLBACK_CLASS)
        self._models: dict[str, Pool] = {}
        self._matchers: dict[str, CallMatcher] = {}
        self._rules: tuple[CompiledRule, ...] = ()
        self._candidates: dict[object, tuple[CompiledRule, ...]] = {}
        self._uses_paths = any(rule.when.path_prefix for rule in configuration.rules)

    def _fill(self) -> Sliced[None]:
        for pool in self._configuration.pools:
            for model in pool.models:
                self._models.setdefault(model, pool)
            if pool.at_most_once is not None:
                self._matchers[pool.name] = CallMatcher(rules=pool.at_most_once)
        rules: list[CompiledRule] = []
        for count, rule in enumerate(self._configuration.rules, start=1):
            rules.append(compile_rule(rule, self._pools))
            if count % _SLICE_RULES == 0:
                yield
        self._rules = tuple(rules)
        for count, workspace in enumerate(self._configuration.workspaces, start=1):
            self._workspaces[workspace.name] = workspace
            for digest in workspace.key_digests:
                self._keys[digest] = (digest, workspace)
            if count % _SLICE_WORKSPACES == 0:
                yield

    def _list_candidates(self, facts: RequestFacts) -> tuple[CompiledRule, ...]:
        """Return the rules that may match requests with these names, and remember them."""
        found = tuple(rule for rule in self._rules if rule.is_about(facts))
        if len(self._candidates) >= _MAX_CANDIDATES:
            self._candidates.clear()
        self._candidates[get_names(facts)] = found
        return found

    def _complete(self, facts: RequestFacts) -> RequestFacts:
        """Fill in the class that holds without a rule, and write the path in its normal form."""
        caller_class = facts.caller_class
        if caller_class not in self._classes:
            workspace = self._workspaces.get(facts.workspace)
            name = None if workspace is None else workspace.default_class
            caller_class = self.get_class(name or "").name
        path = normalise_path(facts.path) if self._uses_paths else facts.path
        if caller_class == facts.caller_class and path == facts.path:
            return facts
        return replace(facts, caller_class=caller_class, path=path)

    def _follow(self, matched: CompiledRule | None, facts: RequestFacts) -> Decision:
        if matched is None:
            return Decision(
                rule=None,
                caller_class=self.get_class(facts.caller_class),
                pool=self._get_usual_pool(facts),
            )
        then = matched.rule.then
        return Decision(
            rule=matched.rule.name,
            caller_class=self.get_class(then.caller_class or facts.caller_class),
            pool=self._get_usual_pool(facts) if then.pool is None else self._pools[then.pool],
            next_pool=None if then.next_pool is None else self._pools[then.next_pool],
            max_output_tokens=then.max_output_tokens,
            concurrent=then.concurrent,
            requests_per_s=then.requests_per_s,
            deadline_ms=then.deadline_ms,
            refuse=then.refuse,
            retry_after_ms=then.retry_after_ms,
        )

    def _get_usual_pool(self, facts: RequestFacts) -> Pool | None:
        match facts.kind:
            case UpstreamKind.ENGINE:
                return self._models.get(facts.model)
            case UpstreamKind.SERVICE:
                return self._pools.get(facts.service)
