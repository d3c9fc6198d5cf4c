"""Constants of at-most-once calls; times in milliseconds, sizes in bytes."""

from __future__ import annotations

from typing import Final

MAX_KEY_LENGTH: Final = 128

# Longest time a request may take from the router that received it to the owner of its key.
MAX_TRANSIT_MS: Final = 120_000

# Margin for a comparison of the clocks of two processes, as a multiple of `clock_skew_ms`.
SKEW_FACTOR: Final = 2

DIGEST_BYTES: Final = 16
RECORD_BYTES: Final = 600  # memory of one stored call without its response
HEADER_BYTES: Final = 200  # memory of a header in addition to its text
RESERVED_ANSWER_BYTES: Final = 4 * 1024  # reserved for the response while a call runs
MAX_ANSWER_BYTES: Final = 256 * 1024  # a larger response is not stored, only its status

MAX_REMOVED_INSTANCES: Final = 1_024
MEMORY_RETRY_MS: Final = 1_000  # shortest retry delay when the store is full
