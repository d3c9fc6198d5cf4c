"""Rates and times of the exchange between routers."""

from __future__ import annotations

from typing import Final

# News between few routers every 100 ms: a router then places at most some four requests on an old
# view at 40 requests a second. With 30 routers the period is 0.45 s and a router sends 64 news a
# second.
UPDATE_INTERVAL_MS: Final = 100
UPDATE_INTERVAL_MS_PER_PEER: Final = 12
# A peer that was not heard of for this long does not count as running.
ALIVE_TIMEOUT_MS: Final = 3_000
# An address that is no seed is forgotten when nobody answered there for this long.
ROUTER_EXPIRY_MS: Final = 30_000
# The platform's own news come within milliseconds; who has not got them after this asks a peer.
CATCH_UP_DELAY_MS: Final = 250
# And not more often than this.
CATCH_UP_INTERVAL_MS: Final = 500
# A watcher answers within a few milliseconds; the next one is asked where this one did not.
WATCHER_CATCH_UP_INTERVAL_MS: Final = 150
# Parts that are kept for a peer that was away, 15 to 25 s of a router's placements, and parts in
# one news of at most 5 KB: with many more, the smallest routers do little else after a restart.
MAX_QUEUED_PARTS: Final = 1_000
MAX_PARTS_PER_UPDATE: Final = 200
# Strikes are few and go out with each news for a while, so that lost links cost none.
MAX_QUEUED_STRIKES: Final = 50
STRIKE_RESEND_MS: Final = 3_000
# The other routers' addresses take more room than all else in a news.
ROUTER_LIST_INTERVAL_MS: Final = 5_000
MAX_KNOWN_ROUTERS: Final = 1_000
