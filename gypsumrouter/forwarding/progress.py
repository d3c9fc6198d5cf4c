"""State of one request while it is forwarded, and the time that it has left."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from gypsumrouter.forwarding.const import RESPONSE_MARGIN_MS
from gypsumrouter.forwarding.models import CallerRequest, CompleteResponse
from gypsumrouter.routing import Route
from gypsumrouter.util.clock import Clock

# Outcome of a request that got an upstream's whole answer.
OUTCOME_ANSWERED: Final = "answered"
# Outcome of a request that may have run, without a byte of an answer at the end of a stop.
OUTCOME_STOPPED: Final = "stopped"
# Outcome of a request that an exception of this process ended; its type follows.
OUTCOME_ERROR: Final = "error: "


class Progress(Struct, kw_only=True):
    """Mutable state that the attempts of a request share.

    `unreachable` and `rejections` count attempts in which the request did not run.
    `possibly_ran_on` lists the upstreams that may have run it, `excluded_upstreams` those that must
    not be tried again. `in_flight` is true while an attempt waits for a response.
    `fallback_response` is a server error that is returned if no other attempt succeeds.
    `met_silence` is true if an upstream did not answer a question before the request was sent.
    `first_byte_ms` is -1 until the first byte was sent to the caller. `events` counts the relayed
    events of a stream, `first_events` those that came with its first part, and `status` is that of
    its response, 0 before it began. `longest_pause_ms` is the longest wait for the next part of a
    stream that had begun, its end included.
    """

    arrived_ms: int
    deadline_at_ms: int
    attempts: int = 0
    unreachable: int = 0
    rejections: int = 0
    possibly_ran_on: list[str] = field(default_factory=list)
    excluded_upstreams: set[str] = field(default_factory=set)
    upstream: str = ""
    first_byte_ms: int = -1
    bytes_out: int = 0
    events: int = 0
    first_events: int = 0
    longest_pause_ms: int = 0
    status: int = 0
    outcome: str = ""
    in_flight: bool = False
    fallback_response: CompleteResponse | None = None
    met_silence: bool = False

    @property
    def is_ended_by_router(self) -> bool:
        """Return whether this process has ended the request for a reason of its own."""
        return self.outcome.startswith((OUTCOME_STOPPED, OUTCOME_ERROR))

    def note_possible_run(self, upstream: str) -> None:
        """Record that an upstream may have run the request, which another one may still do."""
        self.possibly_ran_on.append(upstream)
        self.excluded_upstreams.add(upstream)

    def forgive_upstreams(self) -> None:
        """Let the upstreams that could not take the request be tried again."""
        self.unreachable = self.rejections = 0
        self.excluded_upstreams = set(self.possibly_ran_on)


class TimeLimits:
    """The times that the attempts of a request may take, in milliseconds."""

    __slots__ = ("_clock", "_progress", "_route")

    def __init__(self, *, clock: Clock, route: Route, progress: Progress) -> None:
        self._clock = clock
        self._route = route
        self._progress = progress

    @property
    def remaining_ms(self) -> int:
        """Return the time left to the deadline, less the margin for the response."""
        return self._progress.deadline_at_ms - self._clock.now_ms() - RESPONSE_MARGIN_MS

    @property
    def target_ms(self) -> int:
        """Return the time left to the target latency, or to the deadline if that has passed."""
        target_ms = self._route.target_latency_ms
        waited_ms = self._clock.now_ms() - self._progress.arrived_ms
        if waited_ms >= target_ms:
            return self.remaining_ms
        return min(self.remaining_ms, target_ms - waited_ms)


def get_time_limit_ms(caller_request: CallerRequest, route: Route) -> int:
    """Return the time limit of a request: its deadline, bounded by the route's timeout."""
    if caller_request.deadline_ms is None:
        return route.timeout_ms
    return min(caller_request.deadline_ms, route.timeout_ms + RESPONSE_MARGIN_MS)
