"""Constants of the moves of prefixes; times are in milliseconds."""

from __future__ import annotations

from typing import Final

PATH_EXPORT: Final = "/v1/cache/export"
PATH_IMPORT: Final = "/v1/cache/import"
PATH_EVENTS: Final = "/v1/cache/events"

KIND_EVICTED: Final = "evicted"
BYTES_PER_TOKEN: Final = 4

HELD_CHATS: Final = 65_536
# Below this, computing the rest of a prompt again costs less than asking for it, see decision 0011.
MIN_FETCH_BYTES: Final = 1_024
MOVED_CHATS: Final = 65_536
USUAL_PLACES: Final = 2
MAX_ASKED: Final = 3
FETCH_MS: Final = 250
CALL_MS: Final = 1_000
EVENTS_MS: Final = 500

# A planned stop hands on what was used last, in this time.
HAND_ON_MS: Final = 5_000
HAND_ON_AT_ONCE: Final = 8
HAND_ON_CHATS: Final = 4_096

HTTP_OK: Final = 200
HTTP_SEE_OTHER: Final = 303
HTTP_NOT_FOUND: Final = 404

HEADER_LOCATION: Final = "Location"
