"""Names of the platform's wire format; no other package contains them."""

from __future__ import annotations

from typing import Final

# Headers of requests, as callers send them.
REQUEST_ID: Final = "X-Request-Id"
# The caller's remaining timeout in milliseconds.
DEADLINE: Final = "X-Deadline-Ms"
API_KEY: Final = "Api-Key"
MODEL: Final = "X-Model"
# Declared, not measured: the prompt's token count and the maximum to be generated.
TOKEN_USAGE: Final = "X-Token-Usage"
# All parts of the prompt in order, as ID:TOKENS.
PREFIX_PARTS: Final = "X-Prefix-Hash"
LAST_EVENT_ID: Final = "Last-Event-Id"
# With LAST_EVENT_ID: the request id of the client's attempt that brought the stream's first event.
RESUMES: Final = "Resumes"

# Headers that only the router sets on requests to upstreams; callers' values are dropped.
TENANT: Final = "X-Tenant"
# Id of the upstream that the request is for.
EXPECT_INSTANCE: Final = "X-Expect-Instance"
PRIORITY: Final = "X-Request-Priority"
HOLD: Final = "X-Hold"
PIN: Final = "X-Pin-Ms"
BACKUP: Final = "X-Kv-Backup"
CONTINUE_FROM: Final = "Kv-From"
# Address of an engine whose cache holds the prompt's prefix.
FETCH_FROM: Final = "Kv-Fetch"
SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (TENANT, EXPECT_INSTANCE, PRIORITY, HOLD, PIN, BACKUP, CONTINUE_FROM, FETCH_FROM)
)

# Headers of responses.
# Set by runners on responses that they wrote themselves.
STAMP: Final = "X-Server-Stamp"
# Id of the runner, in its responses to health checks and to requests for another one.
INSTANCE: Final = "X-Instance-Id"
# The runner has not executed the request and will not.
NOT_RUN: Final = "X-Not-Executed"
# Set on all responses of a runner that is leaving.
SERVER_LEAVING: Final = "Server-Leaving"
# Counts of running and waiting requests and of slots, separated by commas; some runners append how
# long work takes at the moment, in percent of the usual.
LOAD: Final = "X-Server-Load"
# With a status 503: for how many seconds this client is to send the runner no requests.
RETRY_AFTER: Final = "Retry-After"

# Part ids are hexadecimal; the router identifies parts by the low 64 bits.
MASK_64: Final = 2**64 - 1

# API path of model engines.
CALL_HELD: Final = "/api/kv-list"
CALL_REPORT: Final = "/api/report"

STATUS_OK: Final = 200
STATUS_UNAVAILABLE: Final = 503
# The store's history does not reach back to the revision that a watch starts from.
STATUS_HISTORY_LOST: Final = 410

# Counts the store's restores from a backup; set on all of its responses.
STORE_ERA: Final = "Store-Era"
# API paths of the store.
CALL_RANGE: Final = "/api/kv-range"
CALL_WATCH: Final = "/api/kv-watch"
# Written by operators; one watch covers the configuration and the evacuations.
PREFIX_OPERATOR: Final = "op/"
KEY_CONFIGURATION: Final = "op/config"
# Followed by a data centre's name; the item exists while the data centre is evacuated.
PREFIX_EVACUATIONS: Final = "op/evacuate/"
PREFIX_SERVERS: Final = "servers/"


def is_leaving(value: str | None) -> bool:
    """Return whether a value of the header SERVER_LEAVING marks its runner as leaving."""
    return value is not None and value.strip() == "1"
