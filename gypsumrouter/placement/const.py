"""Constants of placement."""

from __future__ import annotations

from typing import Final

MAX_CANDIDATES: Final = 8
FIRST_LOOK: Final = 2 * MAX_CANDIDATES
SPREAD_CHOICES: Final = 2
BATCH_CHOICES: Final = 4
HOLDERS_LOOK: Final = 2

STATUS_FRESH_MS: Final = 2_000
MODELS_KNOWN_MS: Final = 60_000

POOL_LOAD_REFRESH_MS: Final = 50
POOL_LOAD_SAMPLE: Final = 128

STICKY_CHATS: Final = 65_536
