"""Constants of membership; times are in milliseconds."""

from __future__ import annotations

from typing import Final

PATH_INSTANCES: Final = "/v1/instances"
HEADER_AS_OF: Final = "X-As-Of-Ms"
PARAM_AFTER: Final = "after"
PARAM_TIMEOUT: Final = "timeout_ms"

LONG_POLL_MS: Final = 5_000
READS_PER_LEASE: Final = 3  # fresh reads that fit into one list lease
RESPONSE_MARGIN_MS: Final = 2_000
MAX_LIST_BYTES: Final = 4 * 1024 * 1024

MEMBERS_CACHE_MS: Final = 250  # how long an answer of `members` may be older than a hold's end

# An instance that is missing from the list stays a member while links still reach it.
RECENT_CONTACT_MS: Final = 5_000
ABSENT_RETENTION_MS: Final = 5_000

# A list that loses this share of a group at once is confirmed by more reads and by the links.
SHRINK_SHARE: Final = 0.4
SHRINK_COUNT: Final = 2
SHRINK_CONFIRM_READS: Final = 3
SHRINK_CONFIRM_MS: Final = 5_000
SHRINK_RETENTION_MS: Final = 60_000

# An unreachable instance is tried again after a hold that doubles with each failure.
UNREACHABLE_RETRY_MS: Final = 1_000
UNREACHABLE_RETRY_MAX_MS: Final = 30_000

# A leaving instance is tried again after this, in case that it was restarted in place unseen.
LEAVING_TIMEOUT_MS: Final = 30_000

# Damping: each loss of a reachable instance adds a penalty, which halves with each half-life.
FLAP_PENALTY: Final = 1_000.0
FLAP_SUPPRESS_THRESHOLD: Final = 2_500.0
FLAP_REUSE_THRESHOLD: Final = 1_000.0
FLAP_PENALTY_MAX: Final = 6_000.0
FLAP_HALF_LIFE_MS: Final = 15_000
FLAP_PENALTY_MIN: Final = 1.0
