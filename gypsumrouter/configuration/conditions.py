"""Rule conditions in a normal form, used to find rules that can never match."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from msgspec import Struct

from gypsumrouter.configuration.models import Rule, When
from gypsumrouter.configuration.paths import normalise_path
from gypsumrouter.const import UpstreamKind

MINUTES_IN_DAY: Final = 1_440
DAYS_IN_WEEK: Final = 7
_ALL_DAYS: Final = frozenset(range(DAYS_IN_WEEK))
_ALL_KINDS: Final = frozenset(UpstreamKind)


class Conditions(Struct, frozen=True, kw_only=True):
    """Normalised conditions; None matches anything, `minutes` has one bit per minute of the day."""

    kinds: frozenset[UpstreamKind]
    workspace: frozenset[str] | None
    caller_class: frozenset[str] | None
    model: frozenset[str] | None
    service: frozenset[str] | None
    method: frozenset[str] | None
    path_prefix: str
    data_centre: frozenset[str] | None
    returning: bool | None
    min_bytes: int
    max_bytes: int | None
    minutes: int
    weekdays: frozenset[int]


def build_conditions(rule: Rule, kind: UpstreamKind | None) -> Conditions:
    """Return the conditions of a rule; `kind` is the kind of its target pool, if it has one."""
    when = rule.when
    return Conditions(
        kinds=_list_kinds(when, kind),
        workspace=_as_set(when.workspace),
        caller_class=_as_set(when.caller_class),
        model=_as_set(when.model),
        service=_as_set(when.service),
        method=_as_set(when.method),
        path_prefix=normalise_prefix(when.path_prefix or ""),
        data_centre=_as_set(when.data_centre),
        returning=when.returning,
        min_bytes=when.min_bytes or 0,
        max_bytes=when.max_bytes,
        minutes=_build_minutes_mask(when),
        weekdays=_ALL_DAYS if when.weekdays is None else frozenset(when.weekdays),
    )


def normalise_prefix(prefix: str) -> str:
    """Return a path prefix in normal form, without a trailing slash."""
    return normalise_path(prefix).rstrip("/") if prefix else ""


def covers(earlier: Conditions, later: Conditions) -> bool:
    """Return whether every request that matches `later` matches `earlier` too."""
    return (
        later.kinds <= earlier.kinds
        and _set_covers(earlier.workspace, later.workspace)
        and _set_covers(earlier.caller_class, later.caller_class)
        and _set_covers(earlier.model, later.model)
        and _set_covers(earlier.service, later.service)
        and _set_covers(earlier.method, later.method)
        and _set_covers(earlier.data_centre, later.data_centre)
        and later.path_prefix.startswith(earlier.path_prefix)
        and earlier.returning in (None, later.returning)
        and earlier.min_bytes <= later.min_bytes
        and _max_covers(earlier.max_bytes, later.max_bytes)
        and later.minutes & ~earlier.minutes == 0
        and later.weekdays <= earlier.weekdays
    )


def is_in_window(when: When, minute: int) -> bool:
    """Return whether a minute of the day lies in the window, which may span midnight.

    `from_minute` is inclusive and `to_minute` is exclusive.
    """
    first = when.from_minute or 0
    last = MINUTES_IN_DAY if when.to_minute is None else when.to_minute
    if first <= last:
        return first <= minute < last
    return minute >= first or minute < last


def _list_kinds(when: When, kind: UpstreamKind | None) -> frozenset[UpstreamKind]:
    kinds = _ALL_KINDS if kind is None else frozenset((kind,))
    if when.model is not None:
        kinds &= {UpstreamKind.ENGINE}
    if when.service is not None:
        kinds &= {UpstreamKind.SERVICE}
    return kinds


def _build_minutes_mask(when: When) -> int:
    first = when.from_minute or 0
    last = MINUTES_IN_DAY if when.to_minute is None else when.to_minute
    if first <= last:
        return _mask_before(last) & ~_mask_before(first)
    return _mask_before(MINUTES_IN_DAY) & ~_mask_before(first) | _mask_before(last)


def _mask_before(minutes: int) -> int:
    return (1 << minutes) - 1


def _as_set(names: Collection[str] | None) -> frozenset[str] | None:
    return None if names is None else frozenset(names)


def _set_covers(earlier: frozenset[str] | None, later: frozenset[str] | None) -> bool:
    return earlier is None or (later is not None and later <= earlier)


def _max_covers(earlier: int | None, later: int | None) -> bool:
    return earlier is None or (later is not None and later <= earlier)
