"""Journal events of single requests."""

from __future__ import annotations

from typing import ClassVar

from gypsumrouter.journal.journal import Event


class RequestPlaced(Event, frozen=True, kw_only=True):
    """An upstream was selected for a request, with the load data that was used.

    `peers_age_ms` is the age of the load data from peers. `prompt` is the id of the last shared
    part of the prompt, in hexadecimal.
    """

    name: ClassVar[str] = "request_placed"
    request_id: str
    route: str
    service: str
    upstream: str
    version: str
    attempt: int
    load: int
    mean_load: float
    prompt: str
    missing_tokens: int
    fetch_from: str
    candidates: int
    peers_age_ms: int
    list_revision: int
    configuration: int


class AttemptSent(Event, frozen=True, kw_only=True):
    """A request was sent to an upstream; `kept_connection` means on a reused connection.

    `start_known_by` is how it is known which start of the upstream the connection leads to: its
    "entry" in the list, another "connection" that is open, its own "answer", or "" if that doesn't
    matter. The store last responded `list_age_ms` ago as to the list.
    """

    name: ClassVar[str] = "attempt_sent"
    request_id: str
    upstream: str
    attempt: int
    kept_connection: bool
    deadline_ms: int
    start_known_by: str
    list_age_ms: int


class AttemptEnded(Event, frozen=True, kw_only=True):
    """An attempt has ended; `ran` is whether the upstream may have executed the request.

    `answer_ms` is how long after the request was sent the end of its answer came, -1 without one.
    """

    name: ClassVar[str] = "attempt_ended"
    request_id: str
    upstream: str
    attempt: int
    outcome: str
    ran: bool
    status: int
    after_ms: int
    answer_ms: int
    next_step: str


class AttemptSilent(Event, frozen=True, kw_only=True):
    """The upstream of an attempt has sent nothing for `silent_ms`, more than `patience_ms`.

    `awaited` is what it owes: the "response", the "first_event" or the "next_event". Another
    upstream takes over if `replaced_by` names one; `obstacle` is why nothing does, and the attempt
    goes on.
    """

    name: ClassVar[str] = "attempt_silent"
    request_id: str
    upstream: str
    attempt: int
    awaited: str
    patience_ms: int
    silent_ms: int
    obstacle: str
    replaced_by: str


class StreamEnded(Event, frozen=True, kw_only=True):
    """A stream from an upstream has ended.

    `framing` is how the response states its end, `events` the number of events that were relayed
    for the request so far, and `partial_bytes` the size of an incomplete event at the end. `reason`
    is why it counts as broken, if it does. `format` is "events" or "plain"; the caller has
    `bytes_out` of all parts so far, up to the event with the id `last_event`.
    """

    name: ClassVar[str] = "stream_ended"
    request_id: str
    upstream: str
    result: str
    framing: str
    events: int
    partial_bytes: int
    reason: str
    format: str
    bytes_out: int
    last_event: str


class UnframedEnd(Event, frozen=True, kw_only=True):
    """An answer without a length or chunks has ended, and it is decided whether it is `complete`.

    `evidence` is what decided that (see `EndVerdict`), which took `took_ms`. The connection was
    found reset `reset_ms` behind its end, -1 if it wasn't. `leaving` is whether the upstream was
    known to end by itself, `timing` when the end came (see `EndTiming`).
    """

    name: ClassVar[str] = "unframed_end"
    request_id: str
    upstream: str
    evidence: str
    complete: bool
    took_ms: int
    reset_ms: int
    leaving: bool
    timing: str


class DeadlineEnd(Event, frozen=True, kw_only=True):
    """An answer without a length has ended in order, but may be cut short.

    Its end came `answer_ms` after the request was sent, and the upstream had to stop `deadline_ms`
    after it got the request.
    """

    name: ClassVar[str] = "deadline_end"
    request_id: str
    upstream: str
    deadline_ms: int
    answer_ms: int


class StreamTakenUp(Event, frozen=True, kw_only=True):
    """A caller takes up a stream that the request `began_as` began, after its event `last_event`.

    `last_event` is -1 if the caller names none with a number. Finding out at which version it
    began took `took_ms`; `goes_on` is false if that is unknown, and the request is refused.
    `voices` is what this router and others said, each with the age of its list in that moment and
    after how long it came, and `unanswered` are those that were asked and said nothing. `doubt` is
    why it is refused, empty if it goes on.
    """

    name: ClassVar[str] = "stream_taken_up"
    request_id: str
    began_as: str
    last_event: int
    service: str
    version: str
    goes_on: bool
    took_ms: int
    voices: tuple[str, ...] = ()
    unanswered: tuple[str, ...] = ()
    doubt: str = ""


class StreamResumed(Event, frozen=True, kw_only=True):
    """The first event has arrived of a run that has to go on after the event `last_event`.

    Its id is `first_event`; both are -1 without a number. `fault` is why it does not go on, empty
    if it does.
    """

    name: ClassVar[str] = "stream_resumed"
    request_id: str
    upstream: str
    last_event: int
    first_event: int
    fault: str


class RetryDecided(Event, frozen=True, kw_only=True):
    """A retry was granted or denied by the retry budget.

    `available` is how many retries to the service this process had left before that, `capacity`
    the most that it can have, and `routers` the number of routers that share the slack.
    """

    name: ClassVar[str] = "retry_decided"
    request_id: str
    service: str
    granted: bool
    available: float
    capacity: float
    routers: int


class RequestQueued(Event, frozen=True, kw_only=True):
    """A request waits in the router because the upstreams of its service lack capacity.

    `position` is how many waiting requests go before it. `room` is this router's share of the
    service's capacity; it depends on the running requests of this router and of its peers,
    `own_demand` and `peers_demand`. `expected_ms` is the expected time to the first event or the
    response if the request were sent now, `longest_ms` the longest wait.
    """

    name: ClassVar[str] = "request_queued"
    request_id: str
    service: str
    position: int
    room: float
    own_demand: int
    peers_demand: int
    peers_age_ms: int
    expected_ms: int
    longest_ms: int


class RequestReleased(Event, frozen=True, kw_only=True):
    """A waiting request is sent; `excess` is by how much its workspace exceeds its share."""

    name: ClassVar[str] = "request_released"
    request_id: str
    service: str
    waited_ms: int
    excess: float


class RequestRefused(Event, frozen=True, kw_only=True):
    """A request was rejected before any upstream executed it.

    `return_position` is the number of refused requests that return before it, -1 if unknown.
    Capacity for it is expected in `room_in_ms`, 0 if unknown. `excess` is by how much its workspace
    exceeds its share, where that determined the decision.
    """

    name: ClassVar[str] = "request_refused"
    request_id: str
    route: str
    reason: str
    status: int
    retry_after_ms: int
    waited_ms: int
    configuration: int
    list_revision: int
    return_position: int = -1
    room_in_ms: int = 0
    excess: float = 0.0


class RequestUnread(Event, frozen=True, kw_only=True):
    """A request has ended before its body had arrived whole; nothing of it was sent on.

    `expected_bytes` is the length that its head states, -1 if none. `status` is 0 without a
    response.
    """

    name: ClassVar[str] = "request_unread"
    request_id: str
    received_bytes: int
    expected_bytes: int
    after_ms: int
    outcome: str
    status: int


class RequestCut(Event, frozen=True, kw_only=True):
    """This router leaves the response to a request incomplete; times are in milliseconds.

    `reason` is why its process ends, or how the request failed before that. Its caller has a
    response of `status` (0: none has begun) with `bytes_out` bytes of its body, less `unsent_bytes`
    that are still in the process. `arriving` is whether its body had not arrived whole. The
    upstream had sent nothing for `silent_ms`, -1 without an attempt, and `longest_pause_ms` is the
    longest wait for a part of the response before that. `obstacle` is what last kept
    another upstream from taking over, "" if nothing did. Of a response that was complete only the
    unsent bytes are known.
    """

    name: ClassVar[str] = "request_cut"
    essential: ClassVar[bool] = True
    request_id: str
    reason: str
    upstream: str
    status: int
    bytes_out: int
    unsent_bytes: int
    events: int
    arriving: bool
    after_ms: int
    silent_ms: int
    longest_pause_ms: int
    obstacle: str
    draining: bool


class ResponseUntaken(Event, frozen=True, kw_only=True):
    """A process ends, and a caller has not taken `untaken_bytes` of a complete response.

    The kernel goes on to send them, and resets the connection if the caller sends more before that.
    """

    name: ClassVar[str] = "response_untaken"
    essential: ClassVar[bool] = True
    request_id: str
    upstream: str
    untaken_bytes: int


class RequestEnded(Event, frozen=True, kw_only=True):
    """A request has ended; `status` is 0 if the caller left or the response was aborted."""

    name: ClassVar[str] = "request_ended"
    request_id: str
    route: str
    workspace: str
    outcome: str
    status: int
    upstream: str
    attempts: int
    first_byte_ms: int
    total_ms: int
    bytes_out: int


class RunBroken(Event, frozen=True, kw_only=True):
    """An upstream lost its connection while it ran a request, as in a crash of the upstream.

    `parts` are the shared parts of the prompt, in hexadecimal; `events` is how many events of the
    stream had arrived, from all upstreams if it was resumed, and `after_ms` the time since the
    request was sent.
    """

    name: ClassVar[str] = "run_broken"
    request_id: str
    upstream: str
    workspace: str
    parts: tuple[str, ...]
    events: int
    after_ms: int


class SuspectChanged(Event, frozen=True, kw_only=True):
    """What the routers hold of a prompt part or request content that ran in crashes has changed.

    `subject` is the id of the part or the digest of the content, in hexadecimal. `crashes` names
    the first of them: the upstream, the router that saw it, and how long ago. `source` is "own", or
    the router that told.
    """

    name: ClassVar[str] = "suspect_changed"
    subject: str
    state: str
    generation: int
    implications: int
    known: bool
    trials: int
    crashes: tuple[str, ...]
    decided_by: str
    source: str


class SuspectRefused(Event, frozen=True, kw_only=True):
    """A request is refused since a part of its prompt, or its content, crashes upstreams.

    `part` is that part, in hexadecimal, or else `digest` the digest of the content.
    """

    name: ClassVar[str] = "suspect_refused"
    request_id: str
    part: str
    digest: int
    implications: int
    crashes: tuple[str, ...]
    decided_by: str
    decided_ms_ago: int
    trials: int
    trial_in_ms: int
