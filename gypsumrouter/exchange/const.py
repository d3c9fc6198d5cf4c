"""Constants of the exchange of a side."""

from __future__ import annotations

from typing import Final

MAX_RECORDED_BYTES: Final = 256 * 1024
RETRY_AFTER_MS: Final = 500
