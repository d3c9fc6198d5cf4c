"""Constants of the gateway."""

from __future__ import annotations

from typing import Final

from gypsumrouter.helpers.http_headers import HOP_BY_HOP

BEARER_PREFIX: Final = "Bearer "
CONTENT_TYPE_EVENTS: Final = "text/event-stream"
MODELS_OWNER: Final = "gypsumrouter"

# An answer that is not streamed is buffered up to this size, so that it can still be retried or
# replaced by an error.
MAX_BUFFER_BYTES: Final = 256 * 1024
# An incomplete server-sent event above this size is forwarded in parts.
MAX_BUFFERED_EVENT_BYTES: Final = 64 * 1024
# Memory limit for the bodies of all running requests.
MAX_BODIES_BYTES: Final = 64 * 1024 * 1024

MAX_CHAT_ID_LENGTH: Final = 256
MAX_HINT_LENGTH: Final = 1024
MAX_IDEMPOTENCY_KEY_LENGTH: Final = 255
MAX_LOGGED_ID_LENGTH: Final = 128
MAX_OUTPUT_TOKENS: Final = 2**31 - 1
MAX_DEADLINE_MS: Final = 24 * 3_600_000
MAX_PATH_LENGTH: Final = 8_000

# A request is redirected to another instance after up to this number of refusals.
MAX_REDIRECTS: Final = 16
# Candidates for the owner of an idempotency key: the owner by the latest list, and the one that
# follows if that instance is removed from the list.
MAX_KEY_OWNERS: Final = 2
# A request is not retried after this number of upstreams were lost while running it.
MAX_LOST_UPSTREAMS: Final = 2
# Capacity of the retry budget: retries that can be made in a burst above the retry ratio.
RETRY_BURST: Final = 10.0

# Delay after the deadline before the router ends a request. The side enforces the deadline as well
# and can report whether the request ran.
DEADLINE_GRACE_MS: Final = 250
MONITOR_INTERVAL_MS: Final = 100
# How often TCP acknowledgements are checked, and when a caller is considered unreachable.
ACK_CHECK_INTERVAL_MS: Final = 500
ACK_TIMEOUT_MS: Final = 2_400
# How long a draining router still accepts requests, so that load balancers can see that it is not
# ready.
DRAIN_DELAY_MS: Final = 2_000
# Requests that are still arriving this long before the end of a drain are refused.
DRAIN_MARGIN_MS: Final = 1_000

# Headers that are not forwarded: those of one connection (RFC 9110) and those that the gateway
# sets or consumes itself.
EXCLUDED_HEADERS: Final = HOP_BY_HOP | frozenset(
    {
        "authorization",
        "content-length",
        "date",
        "expect",
        "host",
        "server",
        "x-request-id",
    }
)
ROUTER_HEADER_PREFIX: Final = "x-gypsum-"
