"""Constants of suspicion; times are in milliseconds."""

from __future__ import annotations

from typing import Final

STRIKE_MS: Final = 10 * 60_000  # how long a strike is remembered, and news of it forwarded
PROOF_MS: Final = 60 * 60_000  # how long a proven digest is refused

MAX_STRIKES: Final = 64
MAX_STRIKE_DIGESTS: Final = 256
STRIKE_BITS: Final = 63

# One instance in so many of a pool, and at least one, runs suspects.
INSTANCES_PER_PLACE: Final = 8

ALONE_WAIT_MS: Final = 30_000
SHARED_WAIT_MS: Final = 250
MAX_WAITING: Final = 64

# An instance that runs suspects alone is open to all other work in between.
CLOSED_MS: Final = 10_000
OPEN_MS: Final = 10_000
BUSY_RETRY_MS: Final = 1_000
