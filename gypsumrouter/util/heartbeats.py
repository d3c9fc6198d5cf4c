"""Times that follow from the interval at which upstreams renew their entries in the store."""

from __future__ import annotations

from typing import Final

DEFAULT_HEARTBEAT_MS: Final = 1_200
# An entry expires after three missed heartbeats. The first and the last of them are this many
# intervals apart.
INTERVALS_UNTIL_EXPIRY: Final = 2


def get_shortest_expiry_ms(heartbeat_ms: int) -> int:
    """Return the duration of the shortest outage of the store in which an entry can expire."""
    return INTERVALS_UNTIL_EXPIRY * heartbeat_ms
