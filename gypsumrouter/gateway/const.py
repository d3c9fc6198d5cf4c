"""Constants of the gateway."""

from __future__ import annotations

from typing import Final

BEARER_PREFIX: Final = "Bearer "
CONTENT_TYPE_EVENTS: Final = "text/event-stream"
MODELS_OWNER: Final = "gypsumrouter"


# An answer up to this size is held back whole, so that it can still be retried or refused cleanly.
MAX_BUFFER_BYTES: Final = 256 * 1024
# An unfinished event above this size is passed on in pieces.
MAX_BUFFERED_EVENT_BYTES: Final = 64 * 1024
# What all request bodies together may take in memory.
MAX_BODIES_BYTES: Final = 64 * 1024 * 1024

MAX_CHAT_ID_LENGTH: Final = 256
MAX_HINT_LENGTH: Final = 1024
MAX_IDEMPOTENCY_KEY_LENGTH: Final = 255
MAX_LOGGED_ID_LENGTH: Final = 128
MAX_OUTPUT_TOKENS: Final = 2**31 - 1
MAX_DEADLINE_MS: Final = 24 * 3_600_000
MAX_PATH_LENGTH: Final = 8_000

# How many candidates may turn one request away before it is answered.
MAX_REDIRECTS: Final = 16
# The home of a key and the one that another view may name.
MAX_KEY_OWNERS: Final = 2
# A request is given to one more upstream at most after one was lost while running it.
MAX_LOST_UPSTREAMS: Final = 2
# Retries that a router may make at once before the ratio binds.
RETRY_BURST: Final = 10.0

# A side watches the deadline too and knows better whether the request ran.
DEADLINE_GRACE_MS: Final = 250
CHECK_INTERVAL_MS: Final = 100
ACK_CHECK_INTERVAL_MS: Final = 500
ACK_TIMEOUT_MS: Final = 2_400
# How long a leaving router still takes requests, until balancers have seen its readiness.
DRAIN_DELAY_MS: Final = 2_000


# Headers that belong to one connection (RFC 9110) or that the gateway answers for itself.
EXCLUDED_HEADERS: Final = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)
ROUTER_HEADER_PREFIX: Final = "x-gypsum-"
