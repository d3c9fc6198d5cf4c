"""Routing of calls with an idempotency key to the instance that owns the key."""

from __future__ import annotations

from gypsumrouter.fleet import Fleet
from gypsumrouter.gateway.const import MAX_KEY_OWNERS
from gypsumrouter.idempotency import find_owner
from gypsumrouter.instances import Instance, InstanceList


class KeyOwners:
    """Selects key owners from the latest published list, by which sides check ownership too."""

    __slots__ = ("_fleet", "_listed")

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._listed: tuple[Instance, ...] = ()
        fleet.on_list(self._note_list)

    def list_owners(self, *, pool: str, workspace: str, key: str) -> tuple[Instance, ...]:
        """Return the owner of a key, and the owner it has in a list without that instance."""
        remaining = {item.name: item for item in self._listed or self._fleet.members(pool)}
        owners: list[Instance] = []
        while len(owners) < MAX_KEY_OWNERS:
            name = find_owner(pool=pool, workspace=workspace, key=key, instances=remaining.values())
            if name is None:
                break
            owners.append(remaining.pop(name))
        return tuple(owners)

    def _note_list(self, listed: InstanceList) -> None:
        self._listed = listed.instances
