"""Selection of the instances of a pool that run suspects."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

from gypsumrouter.fleet import Instance
from gypsumrouter.suspicion.const import INSTANCES_PER_ISOLATION_INSTANCE

_SEPARATOR: Final = "\0"


def select_isolation_instances(pool: str, instances: Iterable[Instance]) -> tuple[Instance, ...]:
    """Return the instances that run the suspects of a pool, chosen by hash from its members."""
    members = sorted(instances, key=lambda instance: _get_rank(pool, instance.name))
    count = max(1, len(members) // INSTANCES_PER_ISOLATION_INSTANCE)
    return tuple(members[:count])


def _get_rank(pool: str, name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest((pool + _SEPARATOR + name).encode()), name)
