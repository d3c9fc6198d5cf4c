"""Weighted rendezvous hashing."""

from __future__ import annotations

import heapq
import math
from typing import Final

import xxhash

from gypsumrouter.instances import Instance

_HASH_BITS: Final = 64
_UNIT_BITS: Final = 52
_UNIT: Final = 1 / (1 << _UNIT_BITS)
_SEPARATOR: Final = b"\0"


def hash_chat(*, workspace: str, chat: str) -> int:
    """Return the key by which instances are ranked for a chat, the same in every process."""
    return xxhash.xxh64_intdigest(workspace.encode() + _SEPARATOR + chat.encode())


def hash_name(name: str) -> int:
    """Return the digest that identifies an instance in a hint."""
    return xxhash.xxh64_intdigest(name.encode())


class MemberTable:
    """The members of a pool, prepared for rendezvous ranking.

    Members rank first for a fraction of all keys in proportion to their weight. A member that joins
    or leaves changes the first rank only for the keys on which it ranks first.
    """

    __slots__ = ("_names", "_weights", "by_digest", "members")

    def __init__(self, *, members: tuple[Instance, ...]) -> None:
        self.members = members
        self.by_digest = {hash_name(member.name): member for member in members}
        self._names = [member.name.encode() for member in members]
        weights = [member.weight for member in members]
        self._weights = weights if len(set(weights)) > 1 else None

    def rank(self, *, key: int, limit: int) -> list[Instance]:
        """Return the first `limit` members in the order of a key."""
        scores = self._score(key)
        best = heapq.nlargest(limit, range(len(scores)), key=scores.__getitem__)
        return [self.members[index] for index in best]

    def _score(self, key: int) -> list[float] | list[int]:
        digest = xxhash.xxh64_intdigest
        hashes = [digest(name, key) for name in self._names]
        if self._weights is None:
            # With equal weights -weight / ln(unit) is monotonic in the hash, so rank by the hash.
            return hashes
        return [
            -weight / math.log(_to_unit_interval(value))
            for weight, value in zip(self._weights, hashes, strict=True)
        ]


def _to_unit_interval(value: int) -> float:
    """Map a hash to a number strictly between 0 and 1."""
    return ((value >> (_HASH_BITS - _UNIT_BITS)) + 0.5) * _UNIT
