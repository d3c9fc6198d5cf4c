"""Limits and weights of the forwarder."""

from __future__ import annotations

from typing import Final

# A connect takes up to 9 ms between data centres with the upstream's own 1 ms; slow entry links
# add 50 ms when they are full. What takes longer is a vanished upstream.
CONNECT_TIMEOUT_MS: Final = 200
MAX_IDLE_PER_UPSTREAM: Final = 64

# Upstreams that turned a request away before it is refused: each costs one round trip of a few
# milliseconds and counts against the shared retry budget.
MAX_REJECTIONS: Final = 2
MAX_UNREACHABLE: Final = 4

# Answers up to this size are held back until they are whole, so that a broken one can be retried.
MAX_BUFFERED_BYTES: Final = 256 * 1024
# A single event above this size is no event.
MAX_EVENT_BYTES: Final = 1024 * 1024

# A repeatable request is given to another upstream after this many times its latency objective
# without a word, at most half of what is left of its time.
RESPONSE_TIMEOUT_FACTOR: Final = 2.5
MIN_RESPONSE_TIMEOUT_MS: Final = 150
# Pauses inside a resumable stream: this many times the longest pause that is still in time.
STREAM_PAUSE_FACTOR: Final = 3.0

# Callers keep the published limits of time at their end; a packet that is sent again (0.2 to 1 s)
# or a pause of this process comes on top here.
CALLER_TIMEOUT_MARGIN_MS: Final = 2_000

# The answer at the deadline is made a little before it, so that it still reaches the caller.
RESPONSE_MARGIN_MS: Final = 20
# An upstream gets that much less than the caller's patience, for the way back.
RETURN_TRIP_MS: Final = 5

# When to come back after a refusal: spread over this span, and never beyond a third of the
# caller's time, which is as long as callers wait.
RETRY_AFTER_MIN_MS: Final = 50
RETRY_AFTER_MAX_MS: Final = 400
RETRY_AFTER_RATIO: Final = 0.3

# A stop: balancers ask for readiness once a second and act on the second miss.
DRAIN_GRACE_MS: Final = 2_600
# Who says that an upstream changed, where the upstream itself did.
SOURCE_RESPONSE: Final = "answer"
