"""Compiles configured rules into predicates on request facts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from operator import attrgetter
from typing import Final

from msgspec import Struct

from gypsumrouter.configuration import (
    Pool,
    Rule,
    When,
    get_rule_kind,
    is_in_window,
    normalise_prefix,
)
from gypsumrouter.const import UpstreamKind
from gypsumrouter.policy.models import RequestFacts

MS_PER_MINUTE: Final = 60_000
MINUTES_PER_DAY: Final = 1_440
DAYS_PER_WEEK: Final = 7
# 1 January 1970 was a Thursday; Monday is day 0.
EPOCH_WEEKDAY: Final = 3

# Conditions on lists of names; the fields have the same names in `When` and `RequestFacts`.
_NAME_CONDITIONS: Final = ("workspace", "caller_class", "model", "data_centre", "service", "method")

get_candidate_key: Final = attrgetter("kind", *_NAME_CONDITIONS)

Test = Callable[[RequestFacts], bool]


class Condition(Struct, frozen=True, kw_only=True):
    """One condition of a rule.

    `needed` is the configured value as text, `test` the predicate, and `found` reads the compared
    value from a request.
    """

    name: str
    needed: str
    test: Test
    found: Callable[[RequestFacts], object]


class CompiledRule(Struct, frozen=True, kw_only=True):
    """A rule with its conditions.

    `name_tests` depend only on the values in `get_candidate_key`, so their result can be cached;
    `tests` are the predicates of the other conditions.
    """

    rule: Rule
    conditions: tuple[Condition, ...]
    name_tests: tuple[Test, ...]
    tests: tuple[Test, ...]

    def may_match(self, facts: RequestFacts) -> bool:
        """Return whether the rule can match requests with the same candidate key."""
        return all(test(facts) for test in self.name_tests)

    def find_failed_condition(self, facts: RequestFacts) -> Condition | None:
        """Return the first condition that fails, or None."""
        for condition in self.conditions:
            if not condition.test(facts):
                return condition
        return None


def compile_rule(rule: Rule, pools: dict[str, Pool]) -> CompiledRule:
    """Compile one rule; a rule that selects a pool matches only that pool's kind."""
    name_conditions = (*_compile_name_conditions(rule.when), *_compile_kind(rule, pools))
    request_conditions = (
        *_compile_path(rule.when),
        *_compile_returning(rule.when),
        *_compile_size(rule.when),
        *_compile_time(rule.when),
    )
    return CompiledRule(
        rule=rule,
        conditions=name_conditions + request_conditions,
        name_tests=tuple(condition.test for condition in name_conditions),
        tests=tuple(condition.test for condition in request_conditions),
    )


def get_minute(wall_ms: int) -> int:
    """Return the minute of the day in UTC."""
    return wall_ms // MS_PER_MINUTE % MINUTES_PER_DAY


def get_weekday(wall_ms: int) -> int:
    """Return the day of the week in UTC; Monday is 0."""
    return (wall_ms // MS_PER_MINUTE // MINUTES_PER_DAY + EPOCH_WEEKDAY) % DAYS_PER_WEEK


def _compile_kind(rule: Rule, pools: dict[str, Pool]) -> Iterator[Condition]:
    kind = get_rule_kind(rule.then, pools)
    if kind is None and rule.when.service is not None:
        kind = UpstreamKind.SERVICE
    if kind is None and rule.when.model is not None:
        kind = UpstreamKind.ENGINE
    if kind is None:
        return
    yield Condition(
        name="kind",
        needed=kind.value,
        test=lambda facts: facts.kind is kind,
        found=lambda facts: facts.kind.value,
    )


def _compile_name_conditions(when: When) -> Iterator[Condition]:
    for name in _NAME_CONDITIONS:
        values = getattr(when, name)
        if values is not None:
            yield _build_name_condition(name, values)


def _build_name_condition(name: str, values: tuple[str, ...]) -> Condition:
    allowed = frozenset(values)
    read: Callable[[RequestFacts], str] = attrgetter(name)
    return Condition(
        name=name,
        needed=", ".join(values),
        test=lambda facts: read(facts) in allowed,
        found=read,
    )


def _compile_path(when: When) -> Iterator[Condition]:
    if when.path_prefix is None:
        return
    prefix = normalise_prefix(when.path_prefix)
    yield Condition(
        name="path_prefix",
        needed=when.path_prefix,
        test=lambda facts: facts.path.startswith(prefix),
        found=attrgetter("path"),
    )


def _compile_returning(when: When) -> Iterator[Condition]:
    if when.returning is None:
        return
    returning = when.returning
    yield Condition(
        name="returning",
        needed=str(returning).lower(),
        test=lambda facts: facts.returning is returning,
        found=lambda facts: str(facts.returning).lower(),
    )


def _compile_size(when: When) -> Iterator[Condition]:
    min_bytes, max_bytes = when.min_bytes, when.max_bytes
    if min_bytes is not None:
        yield Condition(
            name="min_bytes",
            needed=str(min_bytes),
            test=lambda facts: facts.size_bytes >= min_bytes,
            found=attrgetter("size_bytes"),
        )
    if max_bytes is not None:
        yield Condition(
            name="max_bytes",
            needed=str(max_bytes),
            test=lambda facts: facts.size_bytes <= max_bytes,
            found=attrgetter("size_bytes"),
        )


def _compile_time(when: When) -> Iterator[Condition]:
    if when.from_minute is not None or when.to_minute is not None:
        first = when.from_minute or 0
        last = MINUTES_PER_DAY if when.to_minute is None else when.to_minute
        yield Condition(
            name="minutes",
            needed=f"{first} to {last}",
            test=lambda facts: is_in_window(when, get_minute(facts.wall_ms)),
            found=lambda facts: get_minute(facts.wall_ms),
        )
    if when.weekdays is not None:
        weekdays = frozenset(when.weekdays)
        yield Condition(
            name="weekdays",
            needed=", ".join(str(day) for day in when.weekdays),
            test=lambda facts: get_weekday(facts.wall_ms) in weekdays,
            found=lambda facts: get_weekday(facts.wall_ms),
        )
