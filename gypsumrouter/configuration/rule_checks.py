"""Validation of rules: known names, satisfiable conditions, reachable rules."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from msgspec import Struct

from gypsumrouter.configuration.conditions import Conditions, build_conditions, covers
from gypsumrouter.configuration.const import MAX_RULES, SECTION_RULES, SLICE_CHECKS, SLICE_RULES
from gypsumrouter.configuration.models import Configuration, Pool, Rule, Then, When
from gypsumrouter.configuration.slices import Sliced
from gypsumrouter.const import UpstreamKind
from gypsumrouter.exceptions import FieldError


class _Definitions(Struct, kw_only=True):
    workspaces: set[str]
    classes: set[str]
    models: set[str]
    services: set[str]
    pools: dict[str, Pool]


def check_rules(configuration: Configuration) -> Sliced[list[FieldError]]:
    """Return all errors of the rules, in slices of bounded work."""
    rules = configuration.rules
    if len(rules) > MAX_RULES:
        message = f"{len(rules)} rules are more than the limit of {MAX_RULES}"
        return [FieldError(path=f"$.{SECTION_RULES}", message=message)]
    definitions = _collect_definitions(configuration)
    errors: list[FieldError] = []
    conditions: list[Conditions | None] = []
    for index, rule in enumerate(rules):
        found = list(_check_rule(f"$.{SECTION_RULES}[{index}]", rule, definitions))
        errors += found
        conditions.append(None if found else _normalise(rule, definitions))
        if index % SLICE_RULES == SLICE_RULES - 1:
            yield
    errors += yield from _check_reachable(rules, conditions)
    return errors


def get_rule_kind(then: Then, pools: dict[str, Pool]) -> UpstreamKind | None:
    """Return the kind of requests that a rule matches, or None if it sets no pool."""
    for name in (then.pool, then.next_pool):
        if name is not None and name in pools:
            return pools[name].kind
    return None


def _collect_definitions(configuration: Configuration) -> _Definitions:
    pools = {pool.name: pool for pool in configuration.pools}
    return _Definitions(
        workspaces={workspace.name for workspace in configuration.workspaces},
        classes={caller_class.name for caller_class in configuration.classes},
        models={model for pool in pools.values() for model in pool.models},
        services={p.name for p in pools.values() if p.kind is UpstreamKind.SERVICE},
        pools=pools,
    )


def _normalise(rule: Rule, definitions: _Definitions) -> Conditions:
    return build_conditions(rule, get_rule_kind(rule.then, definitions.pools))


def _check_rule(path: str, rule: Rule, definitions: _Definitions) -> Iterator[FieldError]:
    when = rule.when
    then = rule.then
    yield from _check_names_exist(f"{path}.when.workspace", when.workspace, definitions.workspaces)
    yield from _check_names_exist(
        f"{path}.when.caller_class", when.caller_class, definitions.classes
    )
    yield from _check_names_exist(f"{path}.when.model", when.model, definitions.models)
    yield from _check_names_exist(f"{path}.when.service", when.service, definitions.services)
    yield from _check_when(f"{path}.when", when)
    yield from _check_then(f"{path}.then", then, definitions)
    yield from _check_satisfiable(path, rule, definitions)


def _check_names_exist(
    path: str, names: tuple[str, ...] | None, known: set[str]
) -> Iterator[FieldError]:
    for index, name in enumerate(names or ()):
        if name not in known:
            yield FieldError(path=f"{path}[{index}]", message=f"nothing is named {name!r}")


def _check_when(path: str, when: When) -> Iterator[FieldError]:
    lists: Iterable[tuple[str, tuple[object, ...] | None]] = (
        ("workspace", when.workspace),
        ("caller_class", when.caller_class),
        ("model", when.model),
        ("service", when.service),
        ("method", when.method),
        ("data_centre", when.data_centre),
        ("weekdays", when.weekdays),
    )
    for name, values in lists:
        if values is not None and not values:
            yield FieldError(path=f"{path}.{name}", message="an empty list can never match")
    for index, method in enumerate(when.method or ()):
        if not (method.isascii() and method.isalpha() and method.isupper()):
            message = "a method is written in capital letters"
            yield FieldError(path=f"{path}.method[{index}]", message=message)
    if when.path_prefix is not None and not when.path_prefix.startswith("/"):
        yield FieldError(path=f"{path}.path_prefix", message="a path begins with a slash")
    yield from _check_ranges(path, when)


def _check_ranges(path: str, when: When) -> Iterator[FieldError]:
    if when.max_bytes is not None and (when.min_bytes or 0) > when.max_bytes:
        message = "min_bytes is above max_bytes, so nothing can match"
        yield FieldError(path=f"{path}.min_bytes", message=message)
    if when.to_minute is not None and (when.from_minute or 0) == when.to_minute:
        message = "the window is empty, so nothing can match"
        yield FieldError(path=f"{path}.to_minute", message=message)


def _check_then(path: str, then: Then, definitions: _Definitions) -> Iterator[FieldError]:
    if then.caller_class is not None and then.caller_class not in definitions.classes:
        message = f"no class is named {then.caller_class!r}"
        yield FieldError(path=f"{path}.caller_class", message=message)
    for name, value in (("pool", then.pool), ("next_pool", then.next_pool)):
        if value is not None and value not in definitions.pools:
            yield FieldError(path=f"{path}.{name}", message=f"no pool is named {value!r}")
    yield from _check_next_pool(path, then, definitions)
    if then.refuse is not None:
        yield from _check_refusal(path, then)
    elif then.retry_after_ms is not None:
        message = "this only goes with a refusal"
        yield FieldError(path=f"{path}.retry_after_ms", message=message)


def _check_next_pool(path: str, then: Then, definitions: _Definitions) -> Iterator[FieldError]:
    if then.pool is None or then.next_pool is None:
        return
    if then.pool == then.next_pool:
        yield FieldError(path=f"{path}.next_pool", message="this is the first pool itself")
        return
    first = definitions.pools.get(then.pool)
    second = definitions.pools.get(then.next_pool)
    if first is not None and second is not None and first.kind is not second.kind:
        message = "the two pools are of different kinds"
        yield FieldError(path=f"{path}.next_pool", message=message)


def _check_refusal(path: str, then: Then) -> Iterator[FieldError]:
    if not then.refuse:
        yield FieldError(path=f"{path}.refuse", message="callers need to be told why")
    refusal_only = Then(refuse=then.refuse, retry_after_ms=then.retry_after_ms)
    if then != refusal_only:
        message = "a rule that refuses can have no other effect but retry_after_ms"
        yield FieldError(path=f"{path}.refuse", message=message)


def _check_satisfiable(path: str, rule: Rule, definitions: _Definitions) -> Iterator[FieldError]:
    """Check that the conditions of a rule can match, and that its pools serve its models."""
    if not _normalise(rule, definitions).kinds:
        message = "a request has a model or a service, so nothing can match"
        yield FieldError(path=f"{path}.when", message=message)
        return
    for name, value in (("pool", rule.then.pool), ("next_pool", rule.then.next_pool)):
        pool = None if value is None else definitions.pools.get(value)
        if pool is None:
            continue
        for model in rule.when.model or ():
            if model in definitions.models and model not in pool.models:
                message = f"pool {value!r} does not serve model {model!r}"
                yield FieldError(path=f"{path}.then.{name}", message=message)


def _check_reachable(
    rules: tuple[Rule, ...], conditions: list[Conditions | None]
) -> Sliced[list[FieldError]]:
    errors: list[FieldError] = []
    done = 0
    for index, later in enumerate(conditions):
        if later is None:
            continue
        for earlier_index, earlier in enumerate(conditions[:index]):
            if earlier is not None and covers(earlier, later):
                message = f"never reached: rule {rules[earlier_index].name!r} matches all of it"
                errors.append(FieldError(path=f"$.{SECTION_RULES}[{index}]", message=message))
                break
        done += index
        if done >= SLICE_CHECKS:
            done = 0
            yield
    return errors
