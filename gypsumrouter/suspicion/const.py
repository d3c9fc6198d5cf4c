"""Constants of suspicion; times are in milliseconds."""

from __future__ import annotations

from typing import Final

CRASH_TTL_MS: Final = 10 * 60_000  # how long a strike is remembered, and news of it forwarded
PROOF_TTL_MS: Final = 60 * 60_000  # how long a proven digest is refused

MAX_CRASHES: Final = 64
MAX_CRASH_DIGESTS: Final = 256
CRASH_ID_BITS: Final = 63

# One instance in so many of a pool, and at least one, runs suspects.
INSTANCES_PER_ISOLATION_INSTANCE: Final = 8

ISOLATED_WAIT_MS: Final = 30_000
SHARED_WAIT_MS: Final = 250
MAX_WAITING_SUSPECTS: Final = 64

# An instance that runs suspects alone is open to all other work in between.
GATE_CLOSED_MS: Final = 10_000
GATE_OPEN_MS: Final = 10_000
BUSY_RETRY_MS: Final = 1_000
