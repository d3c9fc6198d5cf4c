"""The instances that this process believes in: the list, softened where it shrinks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from msgspec import Struct

from gypsumrouter.const import Role
from gypsumrouter.fleet.const import (
    ABSENT_HOLD_MS,
    SHRINK_CONFIRM_MS,
    SHRINK_CONFIRM_READS,
    SHRINK_COUNT,
    SHRINK_HOLD_MS,
    SHRINK_SHARE,
)
from gypsumrouter.instances import Instance

Group = tuple[Role, str]
ReadEvidence = Callable[[str], bool | None]


class Absence(Struct, kw_only=True):
    """An instance that the newest list lacks; `bulk` marks one of many that went together."""

    instance: Instance
    since_ms: int
    bulk: bool
    reads: int = 1


def get_group(instance: Instance) -> Group:
    """Return what an instance can be replaced by: its role and pool."""
    return (instance.role, instance.pool)


class View:
    """The listed instances, and the absent ones that are held for a bounded time.

    `reached` tells whether links reached an instance a moment ago (True), failed to (False), or
    say nothing (None). The last instances of a group are held until links fail to reach them.
    """

    __slots__ = ("_absent", "_listed", "_reached", "_sorted")

    def __init__(self, *, reached: ReadEvidence) -> None:
        self._reached = reached
        self._listed: dict[str, Instance] = {}
        self._absent: dict[str, Absence] = {}
        self._sorted: list[Instance] | None = None

    @property
    def absent(self) -> tuple[Absence, ...]:
        """Return what is held although the list lacks it."""
        return tuple(self._absent.values())

    def get(self, name: str) -> Instance | None:
        """Return an instance of the view by its name."""
        listed = self._listed.get(name)
        if listed is not None:
            return listed
        absence = self._absent.get(name)
        return absence.instance if absence else None

    def list_all(self) -> list[Instance]:
        """Return every instance of the view, sorted by name."""
        if self._sorted is None:
            held = (absence.instance for absence in self._absent.values())
            everything = [*self._listed.values(), *held]
            self._sorted = sorted(everything, key=lambda instance: instance.name)
        return self._sorted

    def replace(self, instances: Iterable[Instance], now_ms: int) -> None:
        """Take in a newer list."""
        listed = {instance.name: instance for instance in instances}
        lost = [item for name, item in self._listed.items() if name not in listed]
        bulk_groups = self._find_bulk_groups(lost)
        for name in listed:
            self._absent.pop(name, None)
        for instance in lost:
            bulk = get_group(instance) in bulk_groups
            self._absent[instance.name] = Absence(instance=instance, since_ms=now_ms, bulk=bulk)
        self._listed = listed
        self._sorted = None
        self.prune(now_ms)

    def note_read(self, now_ms: int) -> bool:
        """Count a fresh read that confirms the newest list; returns whether the view changed."""
        for absence in self._absent.values():
            absence.reads += 1
        return self.prune(now_ms)

    def prune(self, now_ms: int) -> bool:
        """Drop the absent instances whose time is over; returns whether there were any."""
        if not self._absent:
            return False
        listed_groups = {get_group(instance) for instance in self._listed.values()}
        over = [
            name
            for name, absence in self._absent.items()
            if self._is_over(absence, get_group(absence.instance) in listed_groups, now_ms)
        ]
        for name in over:
            del self._absent[name]
            self._sorted = None
        return bool(over)

    def _find_bulk_groups(self, lost: list[Instance]) -> set[Group]:
        sizes = Counter(get_group(instance) for instance in self._listed.values())
        losses = Counter(get_group(instance) for instance in lost)
        return {
            group
            for group, count in losses.items()
            if count == sizes[group]
            or (count >= SHRINK_COUNT and count > SHRINK_SHARE * sizes[group])
        }

    def _is_over(self, absence: Absence, has_listed_peers: bool, now_ms: int) -> bool:
        reached = self._reached(absence.instance.name)
        age_ms = now_ms - absence.since_ms
        if not absence.bulk:
            return reached is not True or age_ms >= ABSENT_HOLD_MS
        confirmed = absence.reads >= SHRINK_CONFIRM_READS and age_ms >= SHRINK_CONFIRM_MS
        if not confirmed:
            return False
        if not has_listed_peers:
            return reached is False
        return reached is not True or age_ms >= SHRINK_HOLD_MS
