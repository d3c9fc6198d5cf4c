"""Schema of the journal: each class is one event, and its fields are the fields of the line."""

from __future__ import annotations

from typing import ClassVar, Final

from msgspec import Struct


class Event(Struct, frozen=True, kw_only=True):
    """Base class of all events; `name` is the value of the line's field `event`."""

    name: ClassVar[str]
    # Essential events are never dropped by the rate limit.
    essential: ClassVar[bool] = False


class ProcessStarted(Event, frozen=True, kw_only=True):
    """The process has started; `incarnation` is unique to each start."""

    name: ClassVar[str] = "process_started"
    essential: ClassVar[bool] = True
    incarnation: int
    version: str
    addresses: dict[str, str]


class ProcessStopping(Event, frozen=True, kw_only=True):
    """A graceful shutdown has begun with `running` requests in progress."""

    name: ClassVar[str] = "process_stopping"
    essential: ClassVar[bool] = True
    running: int


class ProcessStopped(Event, frozen=True, kw_only=True):
    """The process exits; `cut` requests were aborted after the grace period."""

    name: ClassVar[str] = "process_stopped"
    essential: ClassVar[bool] = True
    cut: int
    lines_dropped: int


class SettingsReloaded(Event, frozen=True, kw_only=True):
    """The settings file was reloaded; `changed` names the sections that differ.

    Sections that are not in `applied` take effect at the next start.
    """

    name: ClassVar[str] = "settings_reloaded"
    essential: ClassVar[bool] = True
    changed: tuple[str, ...]
    applied: tuple[str, ...]
    error: str


class DependencyLost(Event, frozen=True, kw_only=True):
    """A store or a peer has become unreachable."""

    name: ClassVar[str] = "dependency_lost"
    essential: ClassVar[bool] = True
    dependency: str
    reason: str


class DependencyRegained(Event, frozen=True, kw_only=True):
    """A store or a peer is reachable again after `lost_ms`."""

    name: ClassVar[str] = "dependency_regained"
    essential: ClassVar[bool] = True
    dependency: str
    lost_ms: int


class ConfigurationAccepted(Event, frozen=True, kw_only=True):
    """A new version of the configuration has taken effect."""

    name: ClassVar[str] = "configuration_accepted"
    essential: ClassVar[bool] = True
    version: int
    previous: int
    source: str
    routes: int
    workspaces: int


class UpstreamChanged(Event, frozen=True, kw_only=True):
    """An upstream's entry in the published list has changed at `revision`."""

    name: ClassVar[str] = "upstream_changed"
    essential: ClassVar[bool] = True
    upstream: str
    service: str
    address: str
    state: str
    version: str
    revision: int
    source: str


class ChangeDeferred(Event, frozen=True, kw_only=True):
    """A change of an upstream's entry waits for the end of the grace period."""

    name: ClassVar[str] = "change_deferred"
    essential: ClassVar[bool] = True
    upstream: str
    state: str
    revision: int
    source: str


class GracePeriodChanged(Event, frozen=True, kw_only=True):
    """A grace period after an outage or a restore of the store has begun or ended.

    At its end, `lasted_ms` is its duration, and `deferred` changes waited for it.
    """

    name: ClassVar[str] = "grace_period_changed"
    essential: ClassVar[bool] = True
    active: bool
    reason: str
    lasted_ms: int
    deferred: int


class DataCentreEvacuated(Event, frozen=True, kw_only=True):
    """The evacuation of a data centre has started or ended at `revision` of the store."""

    name: ClassVar[str] = "data_centre_evacuated"
    essential: ClassVar[bool] = True
    data_centre: str
    active: bool
    revision: int
    source: str


class StoreRestored(Event, frozen=True, kw_only=True):
    """The platform's store was restored from a backup and lost the writes made since.

    `epoch` counts the restorations; `revision` is the first one received in the new epoch.
    """

    name: ClassVar[str] = "store_restored"
    essential: ClassVar[bool] = True
    epoch: int
    previous: int
    revision: int
    source: str


class UpstreamWarming(Event, frozen=True, kw_only=True):
    """The slow start of an upstream, with `left_ms` remaining, has begun or ended.

    `reason` is what triggered the change.
    """

    name: ClassVar[str] = "upstream_warming"
    upstream: str
    warming: bool
    reason: str
    left_ms: int


class UpstreamResting(Event, frozen=True, kw_only=True):
    """An upstream rejected a request and receives none from this process for `rest_ms`."""

    name: ClassVar[str] = "upstream_resting"
    upstream: str
    rest_ms: int


class UpstreamHealth(Event, frozen=True, kw_only=True):
    """The health of an upstream, judged by its responses, changed; `failing` is its error rate."""

    name: ClassVar[str] = "upstream_health"
    upstream: str
    healthy: bool
    failing: float
    reason: str
    observations: int


class PeerNews(Event, frozen=True, kw_only=True):
    """A peer answered a catch-up request with `told` items, of which `taken` were new.

    `known` is the version or revision before the answer was merged, and `version` the one after.
    """

    name: ClassVar[str] = "peer_news"
    peer: str
    subject: str
    version: int
    known: int
    told: int
    taken: int


class HeldPartsTold(Event, frozen=True, kw_only=True):
    """A peer sent the cached prompt parts of engines; `complete` means of all engines."""

    name: ClassVar[str] = "held_parts_told"
    peer: str
    engines: int
    parts: int
    complete: bool


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
    """A request was sent to an upstream; `kept_connection` means on a reused connection."""

    name: ClassVar[str] = "attempt_sent"
    request_id: str
    upstream: str
    attempt: int
    kept_connection: bool
    deadline_ms: int


class AttemptEnded(Event, frozen=True, kw_only=True):
    """An attempt has ended; `ran` is whether the upstream may have executed the request."""

    name: ClassVar[str] = "attempt_ended"
    request_id: str
    upstream: str
    attempt: int
    outcome: str
    ran: bool
    status: int
    after_ms: int
    next_step: str


class StreamEnded(Event, frozen=True, kw_only=True):
    """A stream from an upstream has ended.

    `framing` is how the response states its end, `events` the number of events that were relayed
    for the request so far, and `partial_bytes` the size of an incomplete event at the end. `reason`
    is why it counts as broken, if it does.
    """

    name: ClassVar[str] = "stream_ended"
    request_id: str
    upstream: str
    result: str
    framing: str
    events: int
    partial_bytes: int
    reason: str


class StreamTakenUp(Event, frozen=True, kw_only=True):
    """A caller takes up a stream that the request `began_as` began, after its event `last_event`.

    `last_event` is -1 if the caller names none with a number. Finding out at which version it
    began took `took_ms`; `goes_on` is false if that is unknown, and the request is refused.
    """

    name: ClassVar[str] = "stream_taken_up"
    request_id: str
    began_as: str
    last_event: int
    service: str
    version: str
    goes_on: bool
    took_ms: int


class StreamResumed(Event, frozen=True, kw_only=True):
    """A stream was resumed on another upstream after its event `last_event`."""

    name: ClassVar[str] = "stream_resumed"
    request_id: str
    upstream: str
    last_event: int


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


class SuspectNoted(Event, frozen=True, kw_only=True):
    """A request content was running on several upstreams that broke off; `strikes` counts them."""

    name: ClassVar[str] = "suspect_noted"
    digest: int
    strikes: int
    upstream: str
    source: str


class LinesDropped(Event, frozen=True, kw_only=True):
    """Lines were dropped by the rate limit since the last event of this kind."""

    name: ClassVar[str] = "lines_dropped"
    essential: ClassVar[bool] = True
    dropped: int
    period_ms: int


EVENTS: Final[tuple[type[Event], ...]] = (
    ProcessStarted,
    ProcessStopping,
    ProcessStopped,
    SettingsReloaded,
    DependencyLost,
    DependencyRegained,
    ChangeDeferred,
    ConfigurationAccepted,
    UpstreamChanged,
    DataCentreEvacuated,
    UpstreamWarming,
    UpstreamResting,
    UpstreamHealth,
    PeerNews,
    StoreRestored,
    GracePeriodChanged,
    HeldPartsTold,
    RequestPlaced,
    RequestQueued,
    RequestReleased,
    AttemptSent,
    AttemptEnded,
    StreamEnded,
    StreamTakenUp,
    StreamResumed,
    RetryDecided,
    RequestRefused,
    RequestEnded,
    SuspectNoted,
    LinesDropped,
)
