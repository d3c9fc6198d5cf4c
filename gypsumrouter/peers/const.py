"""Intervals, timeouts and limits of the state exchange between routers."""

from __future__ import annotations

from typing import Final

# A router sends an update to each peer every `UPDATE_INTERVAL_MS`, and less often the more peers
# it has, which bounds the updates that it sends per second.
# At 100 ms a router with 40 requests a second places some four of them on an old view. With 30
# routers the interval is 0.45 s, and a router sends 64 updates a second.
UPDATE_INTERVAL_MS: Final = 100
UPDATE_INTERVAL_MS_PER_PEER: Final = 12
# A peer without an update for this long does not count as running.
ALIVE_TIMEOUT_MS: Final = 3_000
# A router that is not a seed is removed from the registry when nothing was received from it or
# reported about it for this long.
ROUTER_EXPIRY_MS: Final = 30_000
# Time that a change may take to arrive from the platform's store before a peer is queried.
CATCH_UP_DELAY_MS: Final = 250
# Peers that a router asks for the whole list after its start. It can't tell whether it has read a
# list that was just restored, and a peer may have started just as late.
MAX_PEERS_ASKED_AT_START: Final = 3
# Minimum time between two catch-up requests.
CATCH_UP_INTERVAL_MS: Final = 500
# Time that a watcher has to answer a catch-up request before the request goes to another one.
# A watcher answers within a few milliseconds.
WATCHER_CATCH_UP_INTERVAL_MS: Final = 150
# Placed prompt parts that are queued for peers that cannot be reached, and the most of them that
# one update carries, which bounds the work of a router that restarts.
# These are the placements of a router in 15 to 25 s, and an update of at most 5 KB.
MAX_QUEUED_PARTS: Final = 1_000
MAX_PARTS_PER_UPDATE: Final = 200
# Minimum time between two updates with an unchanged router list, their largest field.
ROUTER_LIST_INTERVAL_MS: Final = 5_000
MAX_KNOWN_ROUTERS: Final = 1_000

# Limit of the age of the list in messages.
MAX_AGE_MS: Final = 60_000
