"""Validation across elements: duplicate names, unknown references, pools and caller keys."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from gypsumrouter.configuration.const import (
    MAX_VERSION,
    SECTION_CLASSES,
    SECTION_POOLS,
    SECTION_RULES,
    SECTION_WORKSPACES,
    SLICE_CHECKS,
)
from gypsumrouter.configuration.models import Configuration, Pool, Workspace
from gypsumrouter.configuration.order_checks import check_orders
from gypsumrouter.configuration.rule_checks import check_rules
from gypsumrouter.configuration.slices import Sliced
from gypsumrouter.const import UpstreamKind
from gypsumrouter.exceptions import FieldError


def check_references(configuration: Configuration) -> Sliced[list[FieldError]]:
    """Return all errors between elements that are valid on their own."""
    errors: list[FieldError] = list(_check_version(configuration.version))
    errors += _check_names(SECTION_CLASSES, (c.name for c in configuration.classes))
    errors += _check_names(SECTION_POOLS, (p.name for p in configuration.pools))
    errors += _check_names(SECTION_RULES, (r.name for r in configuration.rules))
    errors += _check_default_class(configuration)
    for index, pool in enumerate(configuration.pools):
        errors += _check_pool(f"$.{SECTION_POOLS}[{index}]", pool)
    yield
    errors += yield from _check_workspaces(configuration)
    errors += yield from check_rules(configuration)
    return errors


def _check_version(version: int) -> Iterator[FieldError]:
    if not 1 <= version <= MAX_VERSION:
        message = f"a version lies between 1 and {MAX_VERSION}"
        yield FieldError(path="$.version", message=message)


def _check_names(section: str, names: Iterable[str]) -> Iterator[FieldError]:
    first: dict[str, int] = {}
    for index, name in enumerate(names):
        if first.setdefault(name, index) != index:
            yield _build_duplicate_error(section, index, first, name)


def _build_duplicate_error(
    section: str, index: int, first: dict[str, int], name: str
) -> FieldError:
    message = f"{name!r} is already the name of $.{section}[{first[name]}]"
    return FieldError(path=f"$.{section}[{index}].name", message=message)


def _check_default_class(configuration: Configuration) -> Iterator[FieldError]:
    path = "$.default_class"
    name = configuration.default_class
    if name is None:
        yield FieldError(path=path, message="a class for requests that name none is needed")
        return
    for caller_class in configuration.classes:
        if caller_class.name != name:
            continue
        if caller_class.batch:
            yield FieldError(path=path, message=f"{name!r} is a batch class")
        return
    yield FieldError(path=path, message=f"no class is named {name!r}")


def _check_pool(path: str, pool: Pool) -> Iterator[FieldError]:
    for index, model in enumerate(pool.models):
        if model in pool.models[:index]:
            yield FieldError(path=f"{path}.models[{index}]", message=f"{model!r} is listed twice")
    if pool.kind is UpstreamKind.SERVICE and pool.models:
        yield FieldError(path=f"{path}.models", message="a service holds no models")
    yield from check_orders(f"{path}.orders", pool)
    if pool.at_most_once is None:
        return
    if pool.kind is UpstreamKind.ENGINE:
        message = "only calls of a service can be marked"
        yield FieldError(path=f"{path}.at_most_once", message=message)
    if not pool.at_most_once.calls:
        message = "no call would ever be covered"
        yield FieldError(path=f"{path}.at_most_once.calls", message=message)


def _check_workspaces(configuration: Configuration) -> Sliced[list[FieldError]]:
    errors: list[FieldError] = []
    classes = {caller_class.name for caller_class in configuration.classes}
    names: dict[str, int] = {}
    owners: dict[str, str] = {}
    for index, workspace in enumerate(configuration.workspaces):
        path = f"$.{SECTION_WORKSPACES}[{index}]"
        if names.setdefault(workspace.name, index) != index:
            errors.append(_build_duplicate_error(SECTION_WORKSPACES, index, names, workspace.name))
        errors += _check_keys(path, workspace, owners)
        if workspace.default_class is not None and workspace.default_class not in classes:
            message = f"no class is named {workspace.default_class!r}"
            errors.append(FieldError(path=f"{path}.default_class", message=message))
        if index % SLICE_CHECKS == SLICE_CHECKS - 1:
            yield
    return errors


def _check_keys(path: str, workspace: Workspace, owners: dict[str, str]) -> Iterator[FieldError]:
    for index, digest in enumerate(workspace.key_digests):
        owner = owners.get(digest)
        if owner is None:
            owners[digest] = workspace.name
            continue
        message = f"this key already belongs to workspace {owner!r}"
        yield FieldError(path=f"{path}.key_digests[{index}]", message=message)
