"""Constants of the calls that must not be repeated; times in milliseconds, sizes in bytes."""

from __future__ import annotations

from typing import Final

MAX_KEY_LENGTH: Final = 128

# How long a request may be on its way between a router that read it and the home.
MAX_TRANSIT_MS: Final = 120_000

# How many clocks may be wrong against each other where two processes' times are compared.
SKEW_FACTOR: Final = 2

DIGEST_BYTES: Final = 16
RECORD_BYTES: Final = 600  # the measured cost of one remembered call without its answer
HEADER_BYTES: Final = 200  # what a header costs besides its text
RESERVED_ANSWER_BYTES: Final = 4 * 1024  # set aside for the answer while a call runs
MAX_ANSWER_BYTES: Final = 256 * 1024  # a longer answer is remembered without its body

MAX_REMOVED_INSTANCES: Final = 1_024
MEMORY_RETRY_MS: Final = 1_000  # at least, where the memory is full
