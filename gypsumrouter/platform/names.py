"""Names on the wire; no other package spells them."""

from __future__ import annotations

from typing import Final

# Headers of requests, as callers send them.
REQUEST_ID: Final = "X-Request-Id"
# How long the caller waits, in milliseconds from now.
DEADLINE: Final = "X-Deadline-Ms"
API_KEY: Final = "Api-Key"
MODEL: Final = "X-Model"
# Not usage but a promise: the prompt's tokens and the most that are to be generated.
TOKEN_USAGE: Final = "X-Token-Usage"
# Not one hash but all parts of the prompt in order, as ID:TOKENS.
PREFIX_PARTS: Final = "X-Prefix-Hash"
LAST_EVENT_ID: Final = "Last-Event-Id"

# Headers that only the system sets towards upstreams.
TENANT: Final = "X-Tenant"
EXPECT_INSTANCE: Final = "X-Expect-Instance"
PRIORITY: Final = "X-Request-Priority"
HOLD: Final = "X-Hold"
PIN: Final = "X-Pin-Ms"
BACKUP: Final = "X-Kv-Backup"
CONTINUE_FROM: Final = "Kv-From"
FETCH_FROM: Final = "Kv-Fetch"
SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (TENANT, EXPECT_INSTANCE, PRIORITY, HOLD, PIN, BACKUP, CONTINUE_FROM, FETCH_FROM)
)

# Headers of answers.
STAMP: Final = "X-Server-Stamp"
NOT_RUN: Final = "X-Not-Executed"
# In all answers of a runner that leaves.
SERVER_LEAVING: Final = "Server-Leaving"
# Beside a status 503: for how many seconds a runner wants nothing from whom it answers.
RETRY_AFTER: Final = "Retry-After"

# Ids of parts are hexadecimal; their low 64 bits name them inside the product.
MASK_64: Final = 2**64 - 1

# A call of model engines.
CALL_HELD: Final = "/api/kv-list"

STATUS_OK: Final = 200
STATUS_UNAVAILABLE: Final = 503
# The store's history no longer reaches back to where a watch wants to go on.
STATUS_HISTORY_LOST: Final = 410

# Counts how often the store came back from a copy; in each of its answers.
STORE_ERA: Final = "Store-Era"
# Calls of the store.
CALL_RANGE: Final = "/api/kv-range"
CALL_WATCH: Final = "/api/kv-watch"
# What the operator writes: one watch covers the configuration and evacuations.
PREFIX_OPERATOR: Final = "op/"
KEY_CONFIGURATION: Final = "op/config"
# Followed by the name of a data centre; the item exists while it is evacuated.
PREFIX_EVACUATIONS: Final = "op/evacuate/"
PREFIX_SERVERS: Final = "servers/"

# Headers that concern one connection only (RFC 9110).
HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def is_leaving(value: str | None) -> bool:
    """Return whether the value of the header SERVER_LEAVING says that its runner leaves."""
    return value is not None and value.strip() == "1"
