"""Constants of the HTTP clients for upstreams."""

from __future__ import annotations

from typing import Final

HEADER_PRIORITY: Final = "X-Priority"

PATH_ENGINE_LOAD: Final = "/v1/load"
PATH_ENGINE_MODELS: Final = "/v1/models"
PATH_SERVICE_LOAD: Final = "/load"
PATH_STREAMS: Final = "/v1/streams/"

# The last event of a complete stream.
STREAM_END: Final = b"data: [DONE]"
# Last bytes that are kept: to find the last event, and to compare with the beginning of a resumed
# response. Longer than an event of a token, since the ends of such events are alike.
RESUME_OVERLAP_BYTES: Final = 512
# Maximum size of a JSON document without a length, which is kept until its end.
MAX_UNFRAMED_BYTES: Final = 1024 * 1024
CONTENT_TYPE_EVENTS: Final = "text/event-stream"

HTTP_OK: Final = 200
HTTP_NO_CONTENT: Final = 204
HTTP_NOT_MODIFIED: Final = 304
HTTP_NOT_FOUND: Final = 404

PROBE_TIMEOUT_MS: Final = 1_000
CANCEL_TIMEOUT_MS: Final = 1_000
MAX_RESUME_ATTEMPTS: Final = 4
PROBE_PAUSE_MS: Final = 100
MAX_FAILED_PROBES: Final = 3
RESUME_PAUSE_MS: Final = 200
# Maximum number of connections on which one request is sent to an engine.
MAX_SENDS: Final = 2
RETRY_AFTER_MS: Final = 500
# Number of checks for idle runs within silence_ms.
SWEEPS_PER_SILENCE: Final = 8
# Consecutive failed polls after which the upstream is down.
MAX_FAILED_POLLS: Final = 3

# TCP keepalive of connections to the upstream.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2

# Hedged requests per request, and how many of them can be saved up.
HEDGE_BUDGET_SHARE: Final = 0.1
HEDGE_BUDGET_BURST: Final = 5.0
