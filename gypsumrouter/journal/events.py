"""Journal events of the process and its surroundings; the fields are those of the line."""

from __future__ import annotations

from typing import ClassVar, Final

from gypsumrouter.journal.journal import Event, LinesDropped
from gypsumrouter.journal.request_events import (
    AttemptEnded,
    AttemptSent,
    AttemptSilent,
    DeadlineEnd,
    RequestCut,
    RequestEnded,
    RequestPlaced,
    RequestQueued,
    RequestRefused,
    RequestReleased,
    RequestUnread,
    ResponseUntaken,
    RetryDecided,
    RunBroken,
    StreamEnded,
    StreamResumed,
    StreamTakenUp,
    SuspectChanged,
    SuspectRefused,
)


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


class StopSignalRepeated(Event, frozen=True, kw_only=True):
    """A stop signal came again `after_ms` after the first one."""

    name: ClassVar[str] = "stop_signal_repeated"
    essential: ClassVar[bool] = True
    signal: str
    after_ms: int


class DrainEnded(Event, frozen=True, kw_only=True):
    """The drain of a planned stop has ended; times are in milliseconds.

    `reason` is "done" or "out_of_time". `running` requests were in the process when it
    began and `cut` when it ended.
    """

    name: ClassVar[str] = "drain_ended"
    essential: ClassVar[bool] = True
    reason: str
    lasted_ms: int
    running: int
    cut: int


class ConnectionsClosing(Event, frozen=True, kw_only=True):
    """The callers' connections are closed for `reason`; counts them by what they are doing.

    `head`, `body`: a part of a request has arrived. `answering`: a request has arrived whole.
    `discarding`: the rest of a body is read whose request was answered.
    """

    name: ClassVar[str] = "connections_closing"
    essential: ClassVar[bool] = True
    reason: str
    idle: int
    head: int
    body: int
    answering: int
    discarding: int


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


class ProcessPaused(Event, frozen=True, kw_only=True):
    """This process has not run for `paused_ms`: it was suspended, or had no processor."""

    name: ClassVar[str] = "process_paused"
    essential: ClassVar[bool] = True
    paused_ms: int


class ListOutdated(Event, frozen=True, kw_only=True):
    """Nothing was heard from the store as to the list of upstreams for `list_age_ms`."""

    name: ClassVar[str] = "list_outdated"
    essential: ClassVar[bool] = True
    list_age_ms: int


class ListRefreshed(Event, frozen=True, kw_only=True):
    """The store responds again as to the list, `lasted_ms` after its last response before."""

    name: ClassVar[str] = "list_refreshed"
    essential: ClassVar[bool] = True
    list_age_ms: int
    lasted_ms: int


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


EVENTS: Final[tuple[type[Event], ...]] = (
    ProcessStarted,
    ProcessStopping,
    ProcessStopped,
    StopSignalRepeated,
    DrainEnded,
    ConnectionsClosing,
    SettingsReloaded,
    DependencyLost,
    DependencyRegained,
    ProcessPaused,
    ListOutdated,
    ListRefreshed,
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
    AttemptSilent,
    AttemptEnded,
    StreamEnded,
    DeadlineEnd,
    StreamTakenUp,
    StreamResumed,
    RetryDecided,
    RequestRefused,
    RequestUnread,
    RequestEnded,
    RequestCut,
    ResponseUntaken,
    RunBroken,
    SuspectChanged,
    SuspectRefused,
    LinesDropped,
)
