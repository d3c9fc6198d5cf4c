"""Which instance is the home of a key, and since when without a break."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash
from msgspec.structs import replace

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.fleet import Address, Instance, InstanceList
from gypsumrouter.idempotency.const import MAX_REMOVED_INSTANCES

_SEPARATOR: Final = "\0"


def find_key_owner(
    *, pool: str, workspace: str, key: str, instances: Iterable[Instance]
) -> str | None:
    """Return the name of the instance of a published list that is the home of a key."""
    names = (item.name for item in instances if _is_candidate(item, pool))
    prefix = _make_hash_prefix(pool, workspace, key)
    return max(names, key=lambda name: _get_rank(prefix, name), default=None)


class OwnershipHistory:
    """How long this process has been the home of keys, by the sequence of published lists.

    All times are the list's own `as_of_ms`. `since_ms` of a key is the time of the first state of
    an unbroken run of revisions, in all of which this process was the key's home. A missed
    revision breaks the run, and so does a list that names another address for our name.
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
        """Return the time of the newest state, None before the first."""
        return None if self._newest is None else self._newest.as_of_ms

    @property
    def is_listed(self) -> bool:
        """Return whether the newest list names this process as a candidate."""
        return self._listed_since_ms is not None

    def set_address(self, address: Address) -> None:
        """Say where the list must name this process; tenure begins anew with the newest list."""
        self._address = address
        newest = self._newest
        self._newest = None
        if newest is not None:
            self.apply_list(newest)

    def apply_refresh(self, as_of_ms: int) -> None:
        """Take in that the newest list was unchanged by `as_of_ms`."""
        if self._newest is not None:
            self._newest = replace(self._newest, as_of_ms=max(self._newest.as_of_ms, as_of_ms))

    def apply_list(self, listed: InstanceList) -> None:
        """Take in the next list."""
        if self._newest is None or listed.revision != self._newest.revision + 1:
            self._reset(listed.as_of_ms)
        candidates = [item for item in listed.instances if _is_candidate(item, self._pool)]
        self._update_listed(self._is_listed(candidates), listed.as_of_ms)
        self._update_others(frozenset(item.name for item in candidates), listed.as_of_ms)
        self._newest = listed

    def find_owned_since_ms(self, *, workspace: str, key: str) -> int | None:
        """Return since when this process has been the home of a key, None if it is not."""
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
    """Return the rank of an instance for a key; the name settles equal hashes."""
    return (xxhash.xxh3_64_intdigest((prefix + name).encode()), name)
