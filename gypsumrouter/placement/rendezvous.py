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
    """Return the key by which a chat ranks instances, the same in every process."""
    return xxhash.xxh64_intdigest(workspace.encode() + _SEPARATOR + chat.encode())


def hash_name(name: str) -> int:
    """Return the number that stands for an instance in a hint."""
    return xxhash.xxh64_intdigest(name.encode())


class MemberTable:
    """The members of a pool, prepared for ranking.

    An instance of weight w is first for w shares of all keys, and a member that joins or leaves
    moves only the keys for which it is first.
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
            # Equal weights: -weight / ln(unit) grows with the hash, so the hash itself will do.
            return hashes
        return [
            -weight / math.log(_to_unit_interval(value))
            for weight, value in zip(self._weights, hashes, strict=True)
        ]


def _to_unit_interval(value: int) -> float:
    """Return a hash as a number between 0 and 1, never 0 or 1 itself."""
    return ((value >> (_HASH_BITS - _UNIT_BITS)) + 0.5) * _UNIT
