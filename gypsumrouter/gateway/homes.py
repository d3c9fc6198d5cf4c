"""Where calls that must not be repeated go: the homes of their keys by the published list."""

from __future__ import annotations

from gypsumrouter.fleet import Fleet
from gypsumrouter.gateway.const import MAX_HOMES
from gypsumrouter.idempotency import find_key_owner
from gypsumrouter.instances import Instance, InstanceList


class Homes:
    """Keeps the newest published list, since sides decide by it and not by evidence of links."""

    __slots__ = ("_fleet", "_listed")

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._listed: tuple[Instance, ...] = ()
        fleet.on_list(self._note_list)

    def order(self, *, pool: str, workspace: str, key: str) -> tuple[Instance, ...]:
        """Return the home of a key, and the one that it has in a view without that home."""
        left = {item.name: item for item in self._listed or self._fleet.members(pool)}
        homes: list[Instance] = []
        while len(homes) < MAX_HOMES:
            name = find_key_owner(pool=pool, workspace=workspace, key=key, instances=left.values())
            if name is None:
                break
            homes.append(left.pop(name))
        return tuple(homes)

    def _note_list(self, listed: InstanceList) -> None:
        self._listed = listed.instances
