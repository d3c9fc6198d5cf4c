"""Constants of placement."""

from __future__ import annotations

from typing import Final

MAX_CANDIDATES: Final = 8
INITIAL_RANKS: Final = 2 * MAX_CANDIDATES
LEAST_LOADED_CHOICES: Final = 2
BATCH_CHOICES: Final = 4
PREFIX_HOLDER_RANKS: Final = 2

STATUS_MAX_AGE_MS: Final = 2_000
MODELS_MAX_AGE_MS: Final = 60_000

POOL_LOAD_REFRESH_INTERVAL_MS: Final = 50
POOL_LOAD_SAMPLE_SIZE: Final = 128

MAX_STICKY_CHATS: Final = 65_536
