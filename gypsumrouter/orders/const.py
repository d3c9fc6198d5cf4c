"""Constants of orders to engines; times are in milliseconds."""

from __future__ import annotations

from typing import Final

PATH_MODELS: Final = "/v1/models"
PATH_ORDERS: Final = "/v1/orders"

HTTP_OK: Final = 200
HTTP_ACCEPTED: Final = 202
HTTP_NOT_FOUND: Final = 404
HTTP_CONFLICT: Final = 409

# How often the engine is read: while nothing changes, and while a change is under way.
POLL_MS: Final = 1_000
CHANGE_POLL_MS: Final = 250

# What one call at the engine may take, and how old the decision may be when it is sent.
CALL_TIMEOUT_MS: Final = 2_000
MAX_DECISION_AGE_MS: Final = 1_000

# A fencing number is the list's time and a counter; it stays exact as a JSON number.
FENCES_PER_MS: Final = 1_000
LEASE_SKEWS: Final = 2

# News of what engines hold.
GOSSIP_MS: Final = 1_000
GOSSIP_BATCH_MS: Final = 50

# A change that takes an engine from requests is announced for this long, and then checked again.
ANNOUNCE_MS: Final = 500
REFRESH_MS: Final = 10_000
REFRESH_MS_PER_MEMBER: Final = 250
STALE_AFTER_REFRESHES: Final = 3
MAX_GOSSIP_ENTRIES: Final = 16

# Demand moves an engine only from a quiet model to a busy one, and only by a clear margin.
BUSY_SHARE: Final = 0.5
DEMAND_MARGIN: Final = 1.5
DEMAND_PRIOR: Final = 1.0
SMOOTHING_SHARE: Final = 0.5

# Loads that fail are tried again later and later; after a few failures others do not wait.
BACKOFF_FIRST_MS: Final = 1_000
BACKOFF_MAX_MS: Final = 300_000
MAX_LOAD_FAILURES: Final = 3

# Neighbours that gave no weights are avoided for a time; after a few of them the store is asked.
NEIGHBOUR_AVOID_MS: Final = 300_000
MAX_NEIGHBOUR_FAILURES: Final = 2

JOURNAL_SIZE: Final = 64
