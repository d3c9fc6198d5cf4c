"""Differences between two configurations."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import Any

from msgspec import Struct
from msgspec.structs import fields

from gypsumrouter.configuration.const import SECTION_RULES, SECTIONS
from gypsumrouter.configuration.models import Configuration


class ChangeKind(StrEnum):
    """Kind of change of an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    MOVED = "moved"


class Change(Struct, frozen=True, kw_only=True):
    """One change; `before` and `after` are set for a changed field and for a moved rule."""

    kind: ChangeKind
    section: str
    name: str = ""
    field: str = ""
    before: object = None
    after: object = None


def list_changes(before: Configuration, after: Configuration) -> tuple[Change, ...]:
    """Return all differences; the order of entries matters only for rules."""
    changes = list(_compare_fields(before, after))
    for section in SECTIONS:
        changes += _compare_section(section, getattr(before, section), getattr(after, section))
    changes += _compare_order(before, after)
    return tuple(changes)


def _compare_fields(before: Configuration, after: Configuration) -> Iterator[Change]:
    for name in ("version", "default_class"):
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            yield Change(kind=ChangeKind.CHANGED, section=name, before=old, after=new)


def _compare_section(
    section: str, before: tuple[Any, ...], after: tuple[Any, ...]
) -> Iterator[Change]:
    old = {entry.name: entry for entry in before}
    new = {entry.name: entry for entry in after}
    for name in sorted(old.keys() - new.keys()):
        yield Change(kind=ChangeKind.REMOVED, section=section, name=name)
    for name in sorted(new.keys() - old.keys()):
        yield Change(kind=ChangeKind.ADDED, section=section, name=name)
    for name in sorted(old.keys() & new.keys()):
        yield from _compare_entries(section, name, old[name], new[name])


def _compare_entries(section: str, name: str, old: Any, new: Any) -> Iterator[Change]:
    for item in fields(old):
        before, after = getattr(old, item.name), getattr(new, item.name)
        if before != after:
            yield Change(
                kind=ChangeKind.CHANGED,
                section=section,
                name=name,
                field=item.name,
                before=before,
                after=after,
            )


def _compare_order(before: Configuration, after: Configuration) -> Iterator[Change]:
    old = [rule.name for rule in before.rules]
    new = [rule.name for rule in after.rules]
    kept_before = [name for name in old if name in new]
    kept_after = [name for name in new if name in old]
    if kept_before == kept_after:
        return
    for name in kept_after:
        if kept_before.index(name) != kept_after.index(name):
            yield Change(
                kind=ChangeKind.MOVED,
                section=SECTION_RULES,
                name=name,
                before=old.index(name) + 1,
                after=new.index(name) + 1,
            )
