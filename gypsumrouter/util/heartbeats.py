"""Times that follow from the interval at which upstreams renew their entries in the store."""

from __future__ import annotations

from typing import Final

DEFAULT_HEARTBEAT_MS: Final = 1_200
# An entry expires after three missed heartbeats. The first and the last of them are this many
# intervals apart.
INTERVALS_UNTIL_EXPIRY: Final = 2
# Time to connect again and to get a response after a connection was lost.
RECONNECT_MARGIN_MS: Final = 400


def get_shortest_expiry_ms(heartbeat_ms: int) -> int:
    """Return the duration of the shortest outage of the store in which an entry can expire."""
    return INTERVALS_UNTIL_EXPIRY * heartbeat_ms


def get_watch_timeout_ms(heartbeat_ms: int) -> int:
    """Return the longest time without a response of the store that a watch may cause.

    A connection that is lost in that time and opened again at once does not look like an outage in
    which entries can expire.
    """
    return max(heartbeat_ms, get_shortest_expiry_ms(heartbeat_ms) - RECONNECT_MARGIN_MS)
