"""Owner of an idempotency key by rendezvous hashing, and the time since it owns the key."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash
from msgspec.structs import replace

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.fleet import Address, Instance, InstanceList
from gypsumrouter.idempotency.const import MAX_REMOVED_INSTANCES

_SEPARATOR: Final = "\0"


def find_owner(*, pool: str, workspace: str, key: str, instances: Iterable[Instance]) -> str | None:
    """Return the name of the instance that owns a key, None if the pool has no candidate."""
    names = (item.name for item in instances if _is_candidate(item, pool))
    prefix = _make_hash_prefix(pool, workspace, key)
    return max(names, key=lambda name: _get_rank(prefix, name), default=None)


class OwnershipHistory:
    """Tracks since when this process has owned keys, from consecutive instance list revisions.

    All times are `as_of_ms` of lists. A key is owned since the first of the consecutive revisions
    in which this process was its owner. A missed revision resets the history, and ownership ends
    with a list that has this process's name at another address.
    """

    __slots__ = (
        "_address",
        "_known_since_ms",
        "_listed_since_ms",
        "_name",
        "_newest",
        "_others",
        "_pool",
        "_removed_ms",
    )

    def __init__(self, *, name: str, pool: str) -> None:
        self._name = name
        self._pool = pool
        self._address: Address | None = None
        self._newest: InstanceList | None = None
        self._listed_since_ms: int | None = None
        self._known_since_ms = 0
        self._others: frozenset[str] = frozenset()
        self._removed_ms: dict[str, int] = {}

    @property
    def as_of_ms(self) -> int | None:
        """Return the time as of which the newest list was valid, None before the first list."""
        return None if self._newest is None else self._newest.as_of_ms

    @property
    def is_listed(self) -> bool:
        """Return whether this process is a candidate in the newest list."""
        return self._listed_since_ms is not None

    def set_address(self, address: Address) -> None:
        """Set the address that lists must have for this process, and reset the history."""
        self._address = address
        newest = self._newest
        self._newest = None
        if newest is not None:
            self.apply_list(newest)

    def apply_refresh(self, as_of_ms: int) -> None:
        """Record that the newest list was still valid at `as_of_ms`."""
        if self._newest is not None:
            self._newest = replace(self._newest, as_of_ms=max(self._newest.as_of_ms, as_of_ms))

    def apply_list(self, listed: InstanceList) -> None:
        """Apply a list; if a revision was missed, the history is reset."""
        if self._newest is None or listed.revision != self._newest.revision + 1:
            self._reset(listed.as_of_ms)
        candidates = [item for item in listed.instances if _is_candidate(item, self._pool)]
        self._update_listed(self._is_listed(candidates), listed.as_of_ms)
        self._update_others(frozenset(item.name for item in candidates), listed.as_of_ms)
        self._newest = listed

    def find_owned_since_ms(self, *, workspace: str, key: str) -> int | None:
        """Return since when this process has owned a key, None if it does not."""
        if self._listed_since_ms is None:
            return None
        prefix = _make_hash_prefix(self._pool, workspace, key)
        own_rank = _get_rank(prefix, self._name)
        if any(_get_rank(prefix, name) > own_rank for name in self._others):
            return None
        owned_since_ms = max(self._listed_since_ms, self._known_since_ms)
        for name, removed_ms in self._removed_ms.items():
            if removed_ms > owned_since_ms and _get_rank(prefix, name) > own_rank:
                owned_since_ms = removed_ms
        return owned_since_ms

    def _is_listed(self, candidates: list[Instance]) -> bool:
        return any(item.name == self._name and item.address == self._address for item in candidates)

    def _update_listed(self, listed: bool, as_of_ms: int) -> None:
        if not listed:
            self._listed_since_ms = None
        elif self._listed_since_ms is None:
            self._listed_since_ms = as_of_ms

    def _update_others(self, names: frozenset[str], as_of_ms: int) -> None:
        others = names - {self._name}
        for name in self._others - others:
            self._removed_ms[name] = as_of_ms
        for name in others:
            self._removed_ms.pop(name, None)
        self._others = others
        while len(self._removed_ms) > MAX_REMOVED_INSTANCES:
            oldest = min(self._removed_ms, key=self._removed_ms.__getitem__)
            self._known_since_ms = max(self._known_since_ms, self._removed_ms.pop(oldest))

    def _reset(self, as_of_ms: int) -> None:
        self._listed_since_ms = None
        self._known_since_ms = as_of_ms
        self._others = frozenset()
        self._removed_ms.clear()


def _is_candidate(instance: Instance, pool: str) -> bool:
    return (
        instance.role is Role.SIDE
        and instance.pool == pool
        and instance.state is InstanceState.LIVE
    )


def _make_hash_prefix(pool: str, workspace: str, key: str) -> str:
    return _SEPARATOR.join((pool, workspace, key)) + _SEPARATOR


def _get_rank(prefix: str, name: str) -> tuple[int, str]:
    """Return the rank of an instance for a key; ties are broken by name."""
    return (xxhash.xxh3_64_intdigest((prefix + name).encode()), name)
