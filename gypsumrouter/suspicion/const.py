"""Constants of crash suspects; times in milliseconds."""

from __future__ import annotations

from typing import Final

CRASH_TTL_MS: Final = 10 * 60_000  # how long a crash is stored, and its implications announced
PROOF_TTL_MS: Final = 60 * 60_000  # how long a digest that is proven to crash is refused

MAX_CRASHES: Final = 64
MAX_CRASH_DIGESTS: Final = 256
CRASH_ID_BITS: Final = 63

# A pool has one isolation instance, which runs suspects, per this number of instances, rounded
# down, and at least one.
INSTANCES_PER_ISOLATION_INSTANCE: Final = 8

ISOLATED_WAIT_MS: Final = 30_000
SHARED_WAIT_MS: Final = 250
MAX_WAITING_SUSPECTS: Final = 64

# While suspects wait, the gate alternates between isolating them and admitting other requests.
GATE_CLOSED_MS: Final = 10_000
GATE_OPEN_MS: Final = 10_000
BUSY_RETRY_MS: Final = 1_000
