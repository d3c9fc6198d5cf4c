"""Constants of request handling in a side; times in milliseconds, sizes in bytes."""

from __future__ import annotations

from typing import Final

MAX_RECORDED_BYTES: Final = 256 * 1024
RETRY_AFTER_MS: Final = 500
