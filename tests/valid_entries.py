"""Valid entries of the store and of an instance list, which tests change in one place."""

from __future__ import annotations

from typing import Any, Final

# Fields of a runner's entry in the store.
STORE_ENTRY: Final[dict[str, Any]] = {
    "service": "models",
    "address": "10.1.0.9:8080",
    "zone": "dc-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "sequence": 4,
    "cold_left_ms": 0,
    "born": 1_760_000_000_000,
}
# A side in an instance list, and that list.
LIST_ENTRY: Final[dict[str, Any]] = {
    "name": "e0",
    "role": "side",
    "host": "10.0.0.1",
    "port": 7000,
    "data_centre": "dc1",
    "region": "r",
    "pool": "engines",
    "weight": 2.0,
    "state": "leaving",
}
INSTANCE_LIST: Final[dict[str, Any]] = {
    "revision": 3,
    "as_of_ms": 500,
    "instances": [LIST_ENTRY],
}
