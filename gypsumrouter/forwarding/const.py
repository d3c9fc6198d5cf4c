"""Timeouts and limits of request forwarding."""

from __future__ import annotations

from typing import Final

# A connect takes up to 9 ms between data centres, 1 ms of it at the upstream, and 50 ms more on a
# slow link that is full. What takes longer is an upstream that vanished.
CONNECT_TIMEOUT_MS: Final = 200
MAX_IDLE_PER_UPSTREAM: Final = 64

# A request is refused after more than this many rejections by upstreams, or after more than this
# many upstreams that could not be connected to.
# Each rejection costs a round trip of a few milliseconds and counts against the retry budget.
MAX_REJECTIONS: Final = 2
MAX_UNREACHABLE: Final = 4

# Response bodies up to this size are buffered in full, so that a truncated one can be retried.
# Larger ones are streamed.
MAX_BUFFERED_BYTES: Final = 256 * 1024
# The same for answers of which a stop must not cut a part.
MAX_LATE_BUFFERED_BYTES: Final = 1024 * 1024
# Maximum size of one server-sent event.
MAX_EVENT_BYTES: Final = 128 * 1024

# After this multiple of the route's target latency without a response to a repeatable request, a
# replacement for its upstream is looked for.
RESPONSE_TIMEOUT_FACTOR: Final = 2.5
MIN_RESPONSE_TIMEOUT_MS: Final = 150
# The same inside a resumable stream, as a multiple of the route's maximum pause.
STREAM_PAUSE_FACTOR: Final = 3.0
# The same where the route names neither.
DEFAULT_PATIENCE_MS: Final = 1_000

# Added to the configured timeouts on caller connections, to allow for retransmitted packets and
# pauses of this process.
# A packet is sent again after 0.2 to 1 s.
CALLER_TIMEOUT_MARGIN_MS: Final = 2_000

# The router answers this long before the deadline, so that the response still arrives in time.
RESPONSE_MARGIN_MS: Final = 20
# Network time of a response of an upstream.
RETURN_TRIP_MS: Final = 5

# Range of the randomized Retry-After value of a refusal. The value is also limited to this ratio of
# the time left until the caller's deadline, because callers don't wait for more than a third of it.
RETRY_AFTER_MIN_MS: Final = 50
RETRY_AFTER_MAX_MS: Final = 400
RETRY_AFTER_RATIO: Final = 0.3

# Retry-After of a stream that can't go on anywhere: there is nothing to wait for before its caller
# begins anew.
RETRY_AT_ONCE_MS: Final = 1

# Time until load balancers stop sending requests to a router that drains: they poll its readiness
# once a second and react to the second failure.
DRAIN_GRACE_MS: Final = 2_600
# Source of an upstream's state change that was announced in one of its responses.
SOURCE_RESPONSE: Final = "answer"
