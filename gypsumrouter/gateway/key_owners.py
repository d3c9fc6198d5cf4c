"""Where calls that must not be repeated go: the homes of their keys by the published list."""

from __future__ import annotations

from gypsumrouter.fleet import Fleet
from gypsumrouter.gateway.const import MAX_KEY_OWNERS
from gypsumrouter.idempotency import find_home
from gypsumrouter.instances import Instance, InstanceList


class KeyOwners:
    """Keeps the newest published list, since sides decide by it and not by evidence of links."""

    __slots__ = ("_fleet", "_instances")

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._instances: tuple[Instance, ...] = ()
        fleet.on_list(self._set_list)

    def list_owners(self, *, pool: str, workspace: str, key: str) -> tuple[Instance, ...]:
        """Return the home of a key, and the one that it has in a view without that home."""
        remaining = {item.name: item for item in self._instances or self._fleet.members(pool)}
        owners: list[Instance] = []
        while len(owners) < MAX_KEY_OWNERS:
            name = find_home(pool=pool, workspace=workspace, key=key, instances=remaining.values())
            if name is None:
                break
            owners.append(remaining.pop(name))
        return tuple(owners)

    def _set_list(self, listed: InstanceList) -> None:
        self._instances = listed.instances
