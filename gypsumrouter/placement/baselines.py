"""Simple placement algorithms for comparison with rendezvous hashing."""

from __future__ import annotations

import random

from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.instances import Instance
from gypsumrouter.placement.const import MAX_CANDIDATES, MAX_STICKY_CHATS
from gypsumrouter.placement.loads import LoadView
from gypsumrouter.placement.lru import LruMap
from gypsumrouter.placement.models import PlacementKind, PlacementQuery
from gypsumrouter.placement.rendezvous import hash_chat

ChatKey = tuple[str, str]


class Baselines:
    """All baseline algorithms and their state."""

    __slots__ = ("_last_served", "_loads", "_next", "_random")

    def __init__(self, *, loads: LoadView, seed: int) -> None:
        self._loads = loads
        self._next = 0
        self._random = random.Random(seed)
        self._last_served: LruMap[ChatKey, str] = LruMap(size=MAX_STICKY_CHATS)

    def order(
        self, *, kind: PlacementKind, query: PlacementQuery, members: list[Instance]
    ) -> list[Instance]:
        """Return at most MAX_CANDIDATES members, most preferred first."""
        if not members:
            return []
        match kind:
            case PlacementKind.ROUND_ROBIN:
                ordered = self._order_round_robin(members)
            case PlacementKind.RANDOM:
                ordered = self._random.sample(members, len(members))
            case PlacementKind.POWER_OF_TWO:
                ordered = self._order_power_of_two(query, members)
            case PlacementKind.MODULO:
                ordered = _order_modulo(query, members)
            case PlacementKind.STICKY:
                ordered = self._order_sticky(query, members)
            case PlacementKind.RENDEZVOUS:
                raise InvariantBroken("expected a baseline placement kind, got rendezvous")
        return ordered[:MAX_CANDIDATES]

    def record_served(self, *, query: PlacementQuery, instance: Instance) -> None:
        """Record which instance answered a chat, for the sticky baseline."""
        if query.chat:
            self._last_served.put((query.workspace, query.chat), instance.name)

    def _order_round_robin(self, members: list[Instance]) -> list[Instance]:
        start = self._next % len(members)
        self._next += 1
        return members[start:] + members[:start]

    def _order_power_of_two(self, query: PlacementQuery, members: list[Instance]) -> list[Instance]:
        ordered = self._random.sample(members, len(members))
        head = sorted(ordered[:2], key=lambda member: self._loads.relative_load(member, query.pool))
        return head + ordered[2:]

    def _order_sticky(self, query: PlacementQuery, members: list[Instance]) -> list[Instance]:
        ordered = self._order_power_of_two(query, members)
        name = self._last_served.get((query.workspace, query.chat))
        ordered.sort(key=lambda member: member.name != name)
        return ordered


def _order_modulo(query: PlacementQuery, members: list[Instance]) -> list[Instance]:
    start = hash_chat(workspace=query.workspace, chat=query.chat) % len(members)
    return members[start:] + members[:start]
