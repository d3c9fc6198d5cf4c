"""Constants of the configuration; times are in milliseconds, sizes in bytes."""

from __future__ import annotations

from typing import Final

MAX_DOCUMENT_BYTES: Final = 1024 * 1024
# Canonical JSON can be longer than the document it was parsed from.
MAX_CANONICAL_BYTES: Final = MAX_DOCUMENT_BYTES + 64 * 1024
MAX_JOINED_BYTES: Final = MAX_CANONICAL_BYTES + 1024
MAX_RULES: Final = 1_000
MAX_VERSION: Final = 2**63 - 1
MAX_RECORDED_ERRORS: Final = 50

FIELD_VERSION: Final = "version"
FIELD_DEFAULT_CLASS: Final = "default_class"
SECTION_WORKSPACES: Final = "workspaces"
SECTION_CLASSES: Final = "classes"
SECTION_POOLS: Final = "pools"
SECTION_RULES: Final = "rules"
SECTIONS: Final = (SECTION_WORKSPACES, SECTION_CLASSES, SECTION_POOLS, SECTION_RULES)

# Units of work between two yields to the event loop.
SLICE_ITEMS: Final = 100
SLICE_CHECKS: Final = 1_000
SLICE_PARTS: Final = 8
SLICE_RULES: Final = 20

# Splitting of the document into parts that are transferred separately.
WORKSPACE_BUCKETS: Final = 256
ITEMS_PER_PART: Final = 64
MAX_PARTS_PER_REQUEST: Final = 64
MAX_PARTS_MESSAGE_BYTES: Final = 64 * 1024
MAX_MANIFEST_ENTRIES: Final = 4_096

# Reading the configuration service of the platform.
PATH_CONFIGURATION: Final = "/v1/configuration"
HEADER_VERSION: Final = "X-Version"
WATCH_MS: Final = 2_500
WATCH_GRACE_MS: Final = 500
CONNECT_MS: Final = 1_000
READ_MS: Final = 2_000
BACKOFF_FIRST_MS: Final = 250
BACKOFF_MAX_MS: Final = 2_000

# Replication between processes. Neighbours are the successors and predecessors on RINGS hash rings;
# up to RING_ATTEMPTS instances along a ring are tried.
RINGS: Final = 3
RING_ATTEMPTS: Final = 4
WATCHERS_PER_REGION: Final = 3
WATCHER_ROTATION_MS: Final = 60_000
ANTI_ENTROPY_MS: Final = 10_000
# A tick that is late by more than PAUSE_THRESHOLD_MS means that the process was paused.
TICK_MS: Final = 1_000
PAUSE_THRESHOLD_MS: Final = 2_500
FETCH_TIMEOUT_MS: Final = 700
# Poll intervals: ISOLATED_POLL_MS without an instance list, ISOLATED_POLL_MS_PER_PEER per peer
# without contact to any of them for ISOLATION_TIMEOUT_MS, and the fallback interval otherwise.
ISOLATION_TIMEOUT_MS: Final = 25_000
ISOLATED_POLL_MS: Final = 10_000
ISOLATED_POLL_MS_PER_PEER: Final = 8
FALLBACK_POLL_MS: Final = 60_000
FALLBACK_POLL_MS_PER_PEER: Final = 100
FALLBACK_POLL_WATCH_MS: Final = 1
# The first read waits for the instance list, then for a random delay that grows with the fleet.
START_LIST_TIMEOUT_MS: Final = 300
START_JITTER_MS: Final = 1_200
START_JITTER_MS_PER_PEER: Final = 1
START_QUERY_INTERVAL_MS: Final = 400
