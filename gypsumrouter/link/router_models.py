"""Data classes of the notices between routers that connect to upstreams directly."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class RouterLoad(Struct, frozen=True, kw_only=True):
    """Load that a router puts on an upstream: its requests, and prompt tokens not prefilled yet."""

    upstream: str
    running: int
    pending_tokens: int


class PlacedPart(Struct, frozen=True, kw_only=True):
    """A prompt part, by the low 64 bits of its id, and the upstream that a router sent it to."""

    part: int
    upstream: str


class RouterAddress(Struct, frozen=True, kw_only=True):
    """Link address of a router, and its data centre, which is empty while it is unknown."""

    address: str
    data_centre: str


class EvacuationState(Struct, frozen=True, kw_only=True):
    """Whether a data centre is being evacuated, as of a revision of the platform's store."""

    data_centre: str
    revision: int
    active: bool


class WorkspaceWork(Struct, frozen=True, kw_only=True):
    """Work of one workspace in the sender's window, in tokens: arrived, and sent to upstreams."""

    name: str
    work: float
    sent: float = 0.0


class WorkspaceUsage(Struct, frozen=True, kw_only=True):
    """Work of the largest workspaces of a router or a data centre, in tokens.

    `entries` are at most 8, the largest first. `total` is the work of all workspaces, `served` the
    part of it that was answered.
    """

    entries: tuple[WorkspaceWork, ...]
    total: float
    served: float


class RouterUpdate(Struct, frozen=True, kw_only=True):
    """Periodic update between the routers of one data centre, sent a few times a second.

    `address` is the sender's link address, and `routers` are the routers that it knows; they are
    left out if they were sent recently. `routing_version` and `list_revision` are the versions of
    the routing configuration and of the upstream list that it applies. `placed` is new since its
    last update on this link. `evacuations` is its complete list, and `refused` names upstreams that
    have just refused a connection. `data_centre` is the sender's. Updates to seeds in other data
    centres contain no loads and no placed parts. `usage` is left out if it was sent recently, and
    by routers that don't count it. `verdicts_digest` is that of its verdicts on crash suspects.
    """

    address: str
    routers: tuple[RouterAddress, ...]
    routing_version: int
    list_revision: int
    loads: tuple[RouterLoad, ...] = ()
    placed: tuple[PlacedPart, ...] = ()
    evacuations: tuple[EvacuationState, ...] = ()
    refused: tuple[str, ...] = ()
    data_centre: str = ""
    usage: WorkspaceUsage | None = None
    verdicts_digest: int = 0


class DataCentreLoads(Struct, frozen=True, kw_only=True):
    """Sum of the loads that all routers of one data centre put on the upstreams.

    `alive` is the number of routers. `routers` are their link addresses, which are left out if they
    were sent recently; so is `usage`, the sum of their workspaces' work.
    """

    data_centre: str
    alive: int
    routers: tuple[str, ...]
    loads: tuple[RouterLoad, ...]
    usage: WorkspaceUsage | None = None


class DataCentreUpdate(Struct, frozen=True, kw_only=True):
    """Periodic update on a data centre, from one of its routers to one router of another.

    The fields have the same meaning as in `RouterUpdate`.
    """

    address: str
    loads: DataCentreLoads
    routing_version: int
    list_revision: int
    placed: tuple[PlacedPart, ...] = ()
    evacuations: tuple[EvacuationState, ...] = ()
    refused: tuple[str, ...] = ()
    verdicts_digest: int = 0


class RelayedUpdate(Struct, frozen=True, kw_only=True):
    """Updates from other data centres, relayed within one; `loads` has only those just received."""

    loads: tuple[DataCentreLoads, ...]
    placed: tuple[PlacedPart, ...] = ()
    refused: tuple[str, ...] = ()


class StoreUpdate(Struct, frozen=True, kw_only=True):
    """Update from a router that watches the platform's store to routers that do not.

    `routing_version` and `list_newest` are the newest changes that it has applied. It has applied
    all changes up to the revisions `routing_as_of` and `list_as_of`, which are 0 while it cannot
    read the store. `list_as_of` is lower than `list_newest` while earlier removals are deferred.
    `list_changes` is the number of changes of the list that the process has applied. The store last
    responded to it `list_age_ms` ago as to the list, by its own monotonic clock at `sent_ms` (0 if
    it doesn't state that). `evacuations` is its complete list.
    """

    routing_version: int
    routing_as_of: int
    list_newest: int
    list_as_of: int
    list_changes: int = 0
    list_age_ms: int = 0
    sent_ms: int = 0
    evacuations: tuple[EvacuationState, ...] = ()


class CatchUpRequest(Struct, frozen=True, kw_only=True):
    """Requests the routing configuration or the upstream list that a router applies.

    Only entries of the list that changed after the revision `since` are requested. If `confirm` is
    not 0, the router asks the store for changes before it answers, with that number.
    """

    routing: bool
    upstreams: bool
    since: int = 0
    confirm: int = 0


class RoutingDocument(Struct, frozen=True, kw_only=True):
    """A version of the routing configuration as published, and the known evacuations."""

    version: int
    document: bytes
    evacuations: tuple[EvacuationState, ...] = ()


class ListedUpstream(Struct, frozen=True, kw_only=True):
    """An entry of the upstream list as of a revision; removed entries have no `address`."""

    revision: int
    upstream: str
    state: str
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 1
    started_ms: int = 0
    warm_up_ms: int = 0
    version: str = ""


class ListedUpstreams(Struct, frozen=True, kw_only=True):
    """Entries of the upstream list; they include all changes up to the revision `as_of`.

    If `complete`, upstreams that are not among them were removed by then. `changes` is the number
    of changes of the list that the sending process has applied. If `confirms` is the number of a
    request, they include all that the store had when the request arrived.
    """

    entries: tuple[ListedUpstream, ...]
    as_of: int = 0
    complete: bool = False
    changes: int = 0
    confirms: int = 0


class InventoryRequest(Struct, frozen=True, kw_only=True):
    """Requests a router's inventory: the cache listings of all engines."""


class EngineListing(Struct, frozen=True, kw_only=True):
    """Prompt parts that one incarnation of an engine has cached."""

    upstream: str
    parts: tuple[int, ...]


class InventoryUpdate(Struct, frozen=True, kw_only=True):
    """Cache listings of the engines that a router has listings of.

    `complete` is set if these are all engines; otherwise further listings may follow.
    """

    complete: bool
    engines: tuple[EngineListing, ...]


class BegunStream(Struct, frozen=True, kw_only=True):
    """A stream that began at a router, and its origin (service and version), as digests."""

    stream: int
    origin: int


class BegunStreams(Struct, frozen=True, kw_only=True):
    """Tells a router of streams that began at the sender."""

    streams: tuple[BegunStream, ...]


class OriginRequest(Struct, frozen=True, kw_only=True):
    """Asks a router what it knows of a stream, or else of the versions of its service."""

    stream: int
    service: str


class OriginKnowledge(IntEnum):
    """What a router knows of a stream: its origin, or else which versions its service has had.

    UNPROVEN: it can't tell whether the service has had other versions than the present ones.
    """

    UNPROVEN = 0
    KNOWN = 1
    ONE_VERSION = 2
    SEVERAL_VERSIONS = 3


class OriginReply(Struct, frozen=True, kw_only=True):
    """Reply to an OriginRequest; `origin` is 0 unless an origin or the only version is known.

    The store last responded to the sender `list_age_ms` ago as to the list, which it knows up to
    the revision `list_as_of`.
    """

    stream: int
    knowledge: OriginKnowledge
    origin: int = 0
    list_age_ms: int = 0
    list_as_of: int = 0


class ImplicationNotice(Struct, frozen=True, kw_only=True):
    """A subject that ran in a crash, and the workspace of the request; see `SuspectImplication`."""

    subject: int
    workspace: int
    content: int
    companions: tuple[int, ...] = ()


class CrashReport(Struct, frozen=True, kw_only=True):
    """The subjects that may have caused a crash which the sender saw `age_ms` ago."""

    upstream: str
    age_ms: int
    implications: tuple[ImplicationNotice, ...]


class SurvivalNotice(Struct, frozen=True, kw_only=True):
    """A subject that an upstream served and survived `age_ms` ago."""

    subject: int
    workspace: int
    age_ms: int


class SuspectEvidence(Struct, frozen=True, kw_only=True):
    """What a router has seen of subjects that the receiver judges."""

    crashes: tuple[CrashReport, ...] = ()
    survivals: tuple[SurvivalNotice, ...] = ()


class CrashNotice(Struct, frozen=True, kw_only=True):
    """A crash that a verdict names: the upstream, the router that saw it, and its age."""

    upstream: str
    router: str
    age_ms: int


class VerdictNotice(Struct, frozen=True, kw_only=True):
    """A verdict on a crash suspect, with ages in place of times; see `Verdict`."""

    subject: int
    generation: int
    state: int
    workspace: int
    age_ms: int
    known: bool
    trials: int
    implications: int
    origin: str
    crashes: tuple[CrashNotice, ...] = ()


class SuspectVerdicts(Struct, frozen=True, kw_only=True):
    """Verdicts that are new to the sender, or all of them; `data_centre` is the sender's."""

    data_centre: str
    verdicts: tuple[VerdictNotice, ...]
