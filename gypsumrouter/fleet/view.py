"""Membership view: the listed instances, with delayed removal of missing ones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from msgspec import Struct

from gypsumrouter.const import Role
from gypsumrouter.fleet.const import (
    ABSENT_RETENTION_MS,
    SHRINK_CONFIRM_MS,
    SHRINK_CONFIRM_READS,
    SHRINK_COUNT,
    SHRINK_RETENTION_MS,
    SHRINK_SHARE,
)
from gypsumrouter.instances import Instance

Group = tuple[Role, str]
ReachabilityLookup = Callable[[str], bool | None]


class AbsentInstance(Struct, kw_only=True):
    """An instance missing from the newest list; `bulk` if many of its group went missing at once.

    `reads` counts the reads that returned the list without it.
    """

    instance: Instance
    since_ms: int
    bulk: bool
    reads: int = 1


def get_group(instance: Instance) -> Group:
    """Return the group of interchangeable instances: role and pool."""
    return (instance.role, instance.pool)


class MembershipView:
    """The listed instances, and absent ones that are kept for a bounded time.

    `reachability` returns True if a link reached an instance recently, False if links failed to
    reach it, and None without contact. The last instances of a group are kept until links fail.
    """

    __slots__ = ("_absent", "_listed", "_reachability", "_sorted")

    def __init__(self, *, reachability: ReachabilityLookup) -> None:
        self._reachability = reachability
        self._listed: dict[str, Instance] = {}
        self._absent: dict[str, AbsentInstance] = {}
        self._sorted: list[Instance] | None = None

    @property
    def absent(self) -> tuple[AbsentInstance, ...]:
        """Return the instances that are kept although the list lacks them."""
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
            absent = (absence.instance for absence in self._absent.values())
            everything = [*self._listed.values(), *absent]
            self._sorted = sorted(everything, key=lambda instance: instance.name)
        return self._sorted

    def replace(self, instances: Iterable[Instance], now_ms: int) -> None:
        """Apply a newer list; it also confirms absences that it does not end."""
        listed = {instance.name: instance for instance in instances}
        lost = [item for name, item in self._listed.items() if name not in listed]
        bulk_groups = self._find_bulk_groups(lost)
        for name in listed:
            self._absent.pop(name, None)
        self._count_read()
        for instance in lost:
            bulk = get_group(instance) in bulk_groups
            self._absent[instance.name] = AbsentInstance(
                instance=instance, since_ms=now_ms, bulk=bulk
            )
        self._listed = listed
        self._sorted = None
        self.prune(now_ms)

    def record_read(self, now_ms: int) -> bool:
        """Count a read that confirms the newest list; return whether the view changed."""
        self._count_read()
        return self.prune(now_ms)

    def prune(self, now_ms: int) -> bool:
        """Remove absent instances whose retention has expired; return whether there were any."""
        if not self._absent:
            return False
        listed_groups = {get_group(instance) for instance in self._listed.values()}
        expired = [
            name
            for name, absence in self._absent.items()
            if self._is_expired(absence, get_group(absence.instance) in listed_groups, now_ms)
        ]
        for name in expired:
            del self._absent[name]
            self._sorted = None
        return bool(expired)

    def _count_read(self) -> None:
        for absence in self._absent.values():
            absence.reads += 1

    def _find_bulk_groups(self, lost: list[Instance]) -> set[Group]:
        sizes = Counter(get_group(instance) for instance in self._listed.values())
        losses = Counter(get_group(instance) for instance in lost)
        return {
            group
            for group, count in losses.items()
            if count == sizes[group]
            or (count >= SHRINK_COUNT and count > SHRINK_SHARE * sizes[group])
        }

    def _is_expired(self, absence: AbsentInstance, has_listed_peers: bool, now_ms: int) -> bool:
        reachable = self._reachability(absence.instance.name)
        age_ms = now_ms - absence.since_ms
        if not absence.bulk:
            return reachable is not True or age_ms >= ABSENT_RETENTION_MS
        confirmed = absence.reads >= SHRINK_CONFIRM_READS and age_ms >= SHRINK_CONFIRM_MS
        if not confirmed:
            return False
        if not has_listed_peers:
            return reachable is False
        return reachable is not True or age_ms >= SHRINK_RETENTION_MS
