"""Constants of membership; times are in milliseconds."""

from __future__ import annotations

from typing import Final

PATH_INSTANCES: Final = "/v1/instances"
HEADER_AS_OF: Final = "X-As-Of-Ms"
PARAM_AFTER: Final = "after"
PARAM_EPOCH: Final = "epoch"
PARAM_TIMEOUT: Final = "timeout_ms"

LONG_POLL_MS: Final = 5_000
# Long polls are short enough for this many reads within one list lease.
READS_PER_LEASE: Final = 3
RESPONSE_MARGIN_MS: Final = 2_000
MAX_LIST_BYTES: Final = 4 * 1024 * 1024

# How long a result of `members` is cached; expired retry and retention times take effect after it.
MEMBERS_CACHE_MS: Final = 250

# An instance that is missing from the list stays a member for this time if links still reach it.
RECENT_CONTACT_MS: Final = 5_000
ABSENT_RETENTION_MS: Final = 5_000

# A list that lacks this share of a group at once is applied only after confirmation by further
# reads and by the links.
SHRINK_SHARE: Final = 0.4
SHRINK_COUNT: Final = 2
SHRINK_CONFIRM_READS: Final = 3
SHRINK_CONFIRM_MS: Final = 5_000
SHRINK_RETENTION_MS: Final = 60_000

# An unreachable instance is retried after a delay that doubles with each failure.
UNREACHABLE_RETRY_MS: Final = 1_000
UNREACHABLE_RETRY_MAX_MS: Final = 30_000

# An announcement of leaving expires after this, in case the instance restarted unnoticed.
LEAVING_TIMEOUT_MS: Final = 30_000

# Flap damping: each loss of a reachable instance adds a penalty with exponential decay. An instance
# is suppressed at the first threshold until its penalty falls below the second one.
FLAP_PENALTY: Final = 1_000.0
FLAP_SUPPRESS_THRESHOLD: Final = 2_500.0
FLAP_REUSE_THRESHOLD: Final = 1_000.0
FLAP_PENALTY_MAX: Final = 6_000.0
FLAP_HALF_LIFE_MS: Final = 15_000
FLAP_PENALTY_MIN: Final = 1.0
