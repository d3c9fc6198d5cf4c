"""Constants of the HTTP server for callers."""

from __future__ import annotations

from typing import Final

CONTENT_TYPE_JSON: Final = "application/json"
ERROR_TYPE: Final = "gypsumrouter_error"
# Separator after a server-sent event.
EVENT_END: Final = b"\n\n"
KEEPALIVE_TIMEOUT_MS: Final = 75_000
MAX_HEADERS: Final = 128
WRITE_BUFFER_BYTES: Final = 32 * 1024
DEFAULT_RETRY_AFTER_MS: Final = 1_000
