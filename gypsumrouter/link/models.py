"""The messages between processes of the system, one data class for each kind."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.outcomes import Failure

Headers = tuple[tuple[str, str], ...]


class Hello(Struct, frozen=True, kw_only=True):
    """Who stands at one end of a link; both ends say it in the handshake."""

    name: str
    role: Role
    incarnation: int


class PoolLoad(Struct, frozen=True, kw_only=True):
    """What a router believes of a pool's load: the mean for each unit of weight, and its age.

    `known` is the number of instances that the mean is taken over, `members` the number that the
    router believes in.
    """

    mean: float
    known: int
    members: int
    age_ms: int


class Open(Struct, frozen=True, kw_only=True):
    """Ask a side to run one request at its upstream.

    `sequence` grows with each request of one router incarnation on one link and names the
    exchange with it. `deadline_ms` is what is left of the caller's time, `waited_ms` what the
    request has already spent in the router. `path` is the path at the upstream with its query.
    `digest` identifies requests of the same content, for suspicion. `idempotency_key` is set
    only for calls that must not be repeated. `prompt_bytes` and `max_output_tokens` are the size.
    `holders` names the instances that may hold the chat's prefix: the first and the second of its
    own order, then the one that its caller's hint names.
    """

    sequence: int
    request_id: str
    kind: UpstreamKind
    pool: str
    workspace: str
    caller_class: str
    method: str
    path: str
    headers: Headers
    body: bytes
    stream: bool
    deadline_ms: int
    waited_ms: int
    digest: int
    model: str = ""
    chat: str = ""
    returning: bool = False
    idempotency_key: str = ""
    attempt: int = 1
    prompt_bytes: int = 0
    max_output_tokens: int = 0
    configuration_version: int = 0
    pool_load: PoolLoad | None = None
    holders: tuple[str, ...] = ()


class Head(Struct, frozen=True, kw_only=True):
    """The beginning of an answer; `replayed` marks an answer from memory."""

    status: int
    headers: Headers
    replayed: bool = False


class Data(Struct, frozen=True, kw_only=True):
    """A part of an answer's body that begins at byte `offset`."""

    offset: int
    body: bytes


class End(Struct, frozen=True, kw_only=True):
    """The end of a whole answer: its length in bytes and its XXH3-64 checksum."""

    length: int
    checksum: int


class Status(Struct, frozen=True, kw_only=True):
    """What a side says of itself; sent when it changes, at a bounded rate.

    `load` counts the requests that run and the interactive ones that wait for the upstream,
    `running` those that run, `batch_waiting` batch work that waits for a gap.
    """

    load: int
    running: int
    weight: float
    leaving: bool
    ready: bool
    models: tuple[str, ...] = ()
    pool_load: PoolLoad | None = None
    batch_waiting: int = 0


class ConfigurationAnnouncement(Struct, frozen=True, kw_only=True):
    """A configuration version that the sender has in force, with the digest of its manifest."""

    version: int
    digest: int


class ConfigurationPartsRequest(Struct, frozen=True, kw_only=True):
    """Ask for parts of a configuration version by their digests; none asks for the manifest."""

    version: int
    parts: tuple[int, ...] = ()


class ConfigurationParts(Struct, frozen=True, kw_only=True):
    """Parts of a configuration version; `parts` are compressed bodies, `manifest` their order."""

    version: int
    manifest: tuple[int, ...] = ()
    parts: tuple[bytes, ...] = ()


class PrefixAnnouncement(Struct, frozen=True, kw_only=True):
    """A chat, by the digest of its name, that ran away from its first place and is cached there."""

    chat: int
    prompt_bytes: int


class SuspectAnnouncement(Struct, frozen=True, kw_only=True):
    """A request digest that was running when an upstream died.

    `strike` is a number unique to that death, so that the same death is counted once.
    """

    digest: int
    strike: int
    alone: bool


class ModelStatus(Struct, frozen=True, kw_only=True):
    """A model or adapter of an engine: `version` is held, `next_version` is to be loaded.

    One of them may be empty. `serving` says that new requests are taken for it. `load` is the
    smoothed number of its requests, `failures` counts the loads that failed one after the other.
    """

    name: str
    version: str = ""
    next_version: str = ""
    serving: bool = True
    load: float = 0.0
    failures: int = 0


class EngineStatus(Struct, frozen=True, kw_only=True):
    """What one side says of its engine; a higher `stamp_ms` replaces a lower one.

    `engine` is where neighbours reach the engine, as `host:port`. `up` says that it answers. A
    model that is being dropped is not listed any more.
    """

    name: str
    stamp_ms: int
    engine: str
    up: bool
    role: str = ""
    models: tuple[ModelStatus, ...] = ()


class PoolStatus(Struct, frozen=True, kw_only=True):
    """What the engines of a pool hold, as far as the sender has news of them."""

    pool: str
    entries: tuple[EngineStatus, ...]


class RouterLoad(Struct, frozen=True, kw_only=True):
    """What one router has at an upstream: its requests, and prompt tokens not read yet."""

    upstream: str
    running: int
    pending_tokens: int


class PlacedPart(Struct, frozen=True, kw_only=True):
    """A part of a prompt that a router sent to an upstream, by the low 64 bits of its id."""

    part: int
    upstream: str


class Strike(Struct, frozen=True, kw_only=True):
    """An upstream that broke off while it ran a request of this content."""

    digest: int
    upstream: str


class RouterAddress(Struct, frozen=True, kw_only=True):
    """Where a router's link listens, and its data centre; empty where that is not known yet."""

    address: str
    data_centre: str


class EvacuationState(Struct, frozen=True, kw_only=True):
    """Whether a data centre is evacuated, as of a revision of the platform's store."""

    data_centre: str
    revision: int
    active: bool


class RouterUpdate(Struct, frozen=True, kw_only=True):
    """What routers of one data centre tell each other a few times a second.

    `address` is where the sender's link listens and `routers` the links that it knows. The two
    versions are those of the configuration and of the list of upstreams that it acts on. `placed`
    and `strikes` are what is new since its last news on this link. `routers` is empty where they
    were told a moment ago. `evacuations` is all that it knows of them, `refused` names upstreams
    that refused a connection a moment ago. `data_centre` is the sender's; to seeds elsewhere it
    tells no loads and nothing that was placed.
    """

    address: str
    routers: tuple[RouterAddress, ...]
    routing_version: int
    list_revision: int
    loads: tuple[RouterLoad, ...] = ()
    placed: tuple[PlacedPart, ...] = ()
    strikes: tuple[Strike, ...] = ()
    evacuations: tuple[EvacuationState, ...] = ()
    refused: tuple[str, ...] = ()
    data_centre: str = ""


class DataCentreLoads(Struct, frozen=True, kw_only=True):
    """What all routers of one data centre have at the upstreams, added up.

    `alive` is the number of routers, and `routers` their links; empty where they were told a moment
    ago.
    """

    data_centre: str
    alive: int
    routers: tuple[str, ...]
    loads: tuple[RouterLoad, ...]


class DataCentreUpdate(Struct, frozen=True, kw_only=True):
    """What one router tells of its data centre to one router of another.

    The fields are those of `RouterUpdate`.
    """

    address: str
    loads: DataCentreLoads
    routing_version: int
    list_revision: int
    placed: tuple[PlacedPart, ...] = ()
    strikes: tuple[Strike, ...] = ()
    evacuations: tuple[EvacuationState, ...] = ()
    refused: tuple[str, ...] = ()


class RelayedUpdate(Struct, frozen=True, kw_only=True):
    """News of other data centres, handed on within one; `loads` has those heard of just now."""

    loads: tuple[DataCentreLoads, ...]
    placed: tuple[PlacedPart, ...] = ()
    strikes: tuple[Strike, ...] = ()
    refused: tuple[str, ...] = ()


class StoreUpdate(Struct, frozen=True, kw_only=True):
    """What a router that watches the platform's store knows, for those that do not.

    `routing_version` and `list_newest` are the newest changes that it acts on; it knows all changes
    up to the two revisions `routing_as_of` and `list_as_of`, which are 0 where it cannot read the
    store now. All that it knows of evacuations is told as it is.
    """

    routing_version: int
    routing_as_of: int
    list_newest: int
    list_as_of: int
    evacuations: tuple[EvacuationState, ...] = ()


class CatchUpRequest(Struct, frozen=True, kw_only=True):
    """Ask a router for the configuration or the list that it acts on.

    Of the list only what changed after the revision `since` is wanted.
    """

    routing: bool
    upstreams: bool
    since: int = 0


class RoutingDocument(Struct, frozen=True, kw_only=True):
    """A version of the routing configuration, as it was published, and known evacuations."""

    version: int
    document: bytes
    evacuations: tuple[EvacuationState, ...] = ()


class ListedUpstream(Struct, frozen=True, kw_only=True):
    """One entry of the list of upstreams, as of a revision; `address` is empty where it is gone."""

    revision: int
    upstream: str
    state: str
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 1
    born_ms: int = 0
    cold_ms: int = 0


class ListedUpstreams(Struct, frozen=True, kw_only=True):
    """Entries of the list of upstreams; all changes up to the revision `as_of` are in them."""

    entries: tuple[ListedUpstream, ...]
    as_of: int = 0


class InventoryRequest(Struct, frozen=True, kw_only=True):
    """Ask a router what all engines hold in their caches."""


class EngineListing(Struct, frozen=True, kw_only=True):
    """Parts of prompts in the cache of one incarnation of an engine."""

    upstream: str
    parts: tuple[int, ...]


class InventoryUpdate(Struct, frozen=True, kw_only=True):
    """What engines hold, as far as a router knows.

    `complete` says that it knows of all engines; without it the rest may follow later.
    """

    complete: bool
    engines: tuple[EngineListing, ...]


Notice = (
    Status
    | ConfigurationAnnouncement
    | ConfigurationPartsRequest
    | ConfigurationParts
    | SuspectAnnouncement
    | PoolStatus
    | PrefixAnnouncement
    | RouterUpdate
    | DataCentreUpdate
    | RelayedUpdate
    | StoreUpdate
    | CatchUpRequest
    | RoutingDocument
    | ListedUpstreams
    | InventoryRequest
    | InventoryUpdate
)
AnswerEvent = Head | Data | End | Failure
