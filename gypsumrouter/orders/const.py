"""Constants of orders to engines; times are in milliseconds."""

from __future__ import annotations

from typing import Final

PATH_MODELS: Final = "/v1/models"
PATH_ORDERS: Final = "/v1/orders"

HTTP_OK: Final = 200
HTTP_ACCEPTED: Final = 202
HTTP_NOT_FOUND: Final = 404
HTTP_CONFLICT: Final = 409

# How often the engine is polled: while idle, and while a change is in progress.
POLL_MS: Final = 1_000
CHANGE_POLL_MS: Final = 250

# Timeout of one call to the engine, and the maximum age of a decision when its order is sent.
CALL_TIMEOUT_MS: Final = 2_000
MAX_DECISION_AGE_MS: Final = 1_000

# A fencing number is the time of the instance list times FENCES_PER_MS, plus a counter. It is
# small enough to be exact as a JSON number.
FENCES_PER_MS: Final = 1_000
# Number of maximum clock skews added to the lease before a newly listed process may send orders.
LEASE_SKEWS: Final = 2

# Interval of the gossip about holdings, and the delay that batches changes into one message.
GOSSIP_MS: Final = 1_000
GOSSIP_BATCH_MS: Final = 50

# A change that stops an engine from serving a model is announced at least this long before its
# preconditions are checked again.
ANNOUNCE_MS: Final = 500
# Unchanged holdings are sent again at this interval, or after settle_ms if that is shorter, but at
# least REFRESH_MS_PER_MEMBER per listed side apart. They are stale after STALE_AFTER_REFRESHES
# intervals.
REFRESH_MS: Final = 10_000
REFRESH_MS_PER_MEMBER: Final = 250
STALE_AFTER_REFRESHES: Final = 3
# Maximum number of holdings in one message.
MAX_GOSSIP_ENTRIES: Final = 16

# An engine is reassigned only to a model whose load per engine is at least BUSY_SHARE of the slots
# and exceeds the resulting load of the donating model by the factor DEMAND_MARGIN.
BUSY_SHARE: Final = 0.5
DEMAND_MARGIN: Final = 1.5
# Number of requests added to the measured demand of each model.
DEMAND_PRIOR: Final = 1.0
# The time constant of the demand average, as a share of settle_ms.
SMOOTHING_SHARE: Final = 0.5

# Failed loads are retried with exponential back-off. After MAX_LOAD_FAILURES failures in a row
# other engines no longer wait for this one.
BACKOFF_FIRST_MS: Final = 1_000
BACKOFF_MAX_MS: Final = 300_000
MAX_LOAD_FAILURES: Final = 3

# An engine from which a load failed is not used as a source for this time. After
# MAX_NEIGHBOUR_FAILURES such failures weights are loaded from the store.
NEIGHBOUR_AVOID_MS: Final = 300_000
MAX_NEIGHBOUR_FAILURES: Final = 2

JOURNAL_ENTRIES: Final = 64
