"""Constants of the transfer of prefixes; times are in milliseconds."""

from __future__ import annotations

from typing import Final

PATH_EXPORT: Final = "/v1/cache/export"
PATH_IMPORT: Final = "/v1/cache/import"
PATH_EVENTS: Final = "/v1/cache/events"

KIND_EVICTED: Final = "evicted"
BYTES_PER_TOKEN: Final = 4

# Maximum number of chats whose cached prefix is tracked.
MAX_HELD_CHATS: Final = 65_536
# A smaller missing part is prefilled again, which costs less than a transfer.
MIN_FETCH_BYTES: Final = 1_024
# Maximum number of chats whose location at another side is tracked.
MAX_MOVED_CHATS: Final = 65_536
# The first holders in a request are the primaries of the chat; further ones are hints.
PRIMARY_HOLDERS: Final = 2
# Maximum number of sides requested for one prefix.
MAX_SOURCES: Final = 3
FETCH_TIMEOUT_MS: Final = 250
CALL_TIMEOUT_MS: Final = 1_000
EVENTS_POLL_MS: Final = 500

# Limits of the handoff of recently used prefixes during a planned stop.
HANDOFF_TIMEOUT_MS: Final = 5_000
MAX_CONCURRENT_HANDOFFS: Final = 8
MAX_HANDOFF_CHATS: Final = 4_096

HTTP_OK: Final = 200
HTTP_SEE_OTHER: Final = 303
HTTP_NOT_FOUND: Final = 404

HEADER_LOCATION: Final = "Location"
