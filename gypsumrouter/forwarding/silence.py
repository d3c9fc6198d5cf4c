"""What to do about an upstream that has fallen silent while it runs a request.

A sound upstream may fall silent for a second and go on. So silence alone ends nothing: an attempt
is given up once another upstream stands ready in its place, and where none can, it goes on until
the deadline of its request.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from gypsumrouter.forwarding.const import (
    DEFAULT_PATIENCE_MS,
    MIN_RESPONSE_TIMEOUT_MS,
    RESPONSE_TIMEOUT_FACTOR,
    STREAM_PAUSE_FACTOR,
)
from gypsumrouter.forwarding.next_step import Continuation, SentPart, decide_continuation
from gypsumrouter.routing import Route


class Replaced(Exception):
    """Another run stands ready, and the present one is to be given up."""


class Awaited(StrEnum):
    """What a silent upstream owes; the values appear in the journal.

    RESPONSE is the whole of a plain response, or the head of a stream.
    """

    RESPONSE = "response"
    FIRST_EVENT = "first_event"
    NEXT_EVENT = "next_event"


class Obstacle(StrEnum):
    """Why nothing takes over from a silent upstream; the values appear in the journal."""

    ROUTE = "route"
    ATTEMPTS = "attempts"
    TIME = "time"
    SUSPECT = "suspect"
    VERSION = "version"
    UPSTREAM = "upstream"
    BUDGET = "budget"
    STOP = "stop"
    CALLER = "caller"

    @property
    def is_final(self) -> bool:
        """Return whether nothing removes it while the request lasts."""
        return self in {
            Obstacle.ROUTE,
            Obstacle.ATTEMPTS,
            Obstacle.TIME,
            Obstacle.SUSPECT,
            Obstacle.CALLER,
        }


class SilentRequest(Struct, frozen=True, kw_only=True):
    """State of a request whose upstream is silent.

    `runs` is how many upstreams may have run it, with the silent one. `sent` is what its caller
    has, None if nothing. `version_proven` is whether it is known at which version a stream began.
    """

    route: Route
    sent: SentPart | None
    runs: int
    remaining_ms: int
    version_proven: bool


def find_obstacle(request: SilentRequest) -> Obstacle | None:
    """Return what rules out that another upstream goes on with a request, None if nothing does."""
    route = request.route
    if decide_continuation(route, request.sent, version_proven=True) is Continuation.NEVER:
        return Obstacle.ROUTE
    if request.runs >= route.max_attempts:
        return Obstacle.ATTEMPTS
    if request.remaining_ms <= 0:
        return Obstacle.TIME
    if request.sent is not None and not request.version_proven:
        return Obstacle.VERSION
    return None


def get_patience_ms(route: Route, awaited: Awaited, *, remaining_ms: int) -> int:
    """Return after how much silence a replacement is looked for, in milliseconds."""
    if awaited is Awaited.NEXT_EVENT:
        expected_ms, factor = route.max_event_gap_ms, STREAM_PAUSE_FACTOR
    else:
        expected_ms, factor = route.target_latency_ms, RESPONSE_TIMEOUT_FACTOR
    patience_ms = max(MIN_RESPONSE_TIMEOUT_MS, int(expected_ms * factor))
    if not expected_ms:
        patience_ms = DEFAULT_PATIENCE_MS
    return min(patience_ms, max(MIN_RESPONSE_TIMEOUT_MS, remaining_ms // 2))
