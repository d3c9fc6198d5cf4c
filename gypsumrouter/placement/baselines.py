"""Simple ways of placing requests, kept to compare with."""

from __future__ import annotations

import random

from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.instances import Instance
from gypsumrouter.placement.const import MAX_CANDIDATES, STICKY_CHATS
from gypsumrouter.placement.loads import KnownLoads
from gypsumrouter.placement.lru import LruMap
from gypsumrouter.placement.models import PlacementKind, PlacementQuery
from gypsumrouter.placement.rendezvous import hash_chat

ChatKey = tuple[str, str]


class Baselines:
    """Every baseline with the state that it needs."""

    __slots__ = ("_loads", "_next", "_random", "_served")

    def __init__(self, *, loads: KnownLoads, seed: int) -> None:
        self._loads = loads
        self._next = 0
        self._random = random.Random(seed)
        self._served: LruMap[ChatKey, str] = LruMap(size=STICKY_CHATS)

    def order(
        self, *, kind: PlacementKind, query: PlacementQuery, members: list[Instance]
    ) -> list[Instance]:
        """Return at most MAX_CANDIDATES members, best first."""
        if not members:
            return []
        match kind:
            case PlacementKind.ROUND_ROBIN:
                ordered = self._take_turns(members)
            case PlacementKind.RANDOM:
                ordered = self._random.sample(members, len(members))
            case PlacementKind.LEAST_OF_TWO:
                ordered = self._take_least_of_two(query, members)
            case PlacementKind.MODULO:
                ordered = _take_modulo(query, members)
            case PlacementKind.STICKY:
                ordered = self._take_remembered(query, members)
            case PlacementKind.RENDEZVOUS:
                raise InvariantBroken("rendezvous hashing is not a baseline")
        return ordered[:MAX_CANDIDATES]

    def record_served(self, *, query: PlacementQuery, instance: Instance) -> None:
        """Remember where a chat was served."""
        if query.chat:
            self._served.put((query.workspace, query.chat), instance.name)

    def _take_turns(self, members: list[Instance]) -> list[Instance]:
        start = self._next % len(members)
        self._next += 1
        return members[start:] + members[:start]

    def _take_least_of_two(self, query: PlacementQuery, members: list[Instance]) -> list[Instance]:
        ordered = self._random.sample(members, len(members))
        head = sorted(ordered[:2], key=lambda member: self._loads.relative_load(member, query.pool))
        return head + ordered[2:]

    def _take_remembered(self, query: PlacementQuery, members: list[Instance]) -> list[Instance]:
        ordered = self._take_least_of_two(query, members)
        name = self._served.get((query.workspace, query.chat))
        ordered.sort(key=lambda member: member.name != name)
        return ordered


def _take_modulo(query: PlacementQuery, members: list[Instance]) -> list[Instance]:
    start = hash_chat(workspace=query.workspace, chat=query.chat) % len(members)
    return members[start:] + members[:start]
