"""Data classes of the messages between processes, one for each kind of frame."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.link.router_models import (
    BegunStreams,
    CatchUpRequest,
    DataCentreUpdate,
    InventoryRequest,
    InventoryUpdate,
    ListedUpstreams,
    OriginReply,
    OriginRequest,
    RelayedUpdate,
    RouterUpdate,
    RoutingDocument,
    StoreUpdate,
    SuspectEvidence,
    SuspectVerdicts,
)
from gypsumrouter.outcomes import Failure

Headers = tuple[tuple[str, str], ...]


class Hello(Struct, frozen=True, kw_only=True):
    """Identity of the process at one end of a link; both ends send theirs in the handshake."""

    name: str
    role: Role
    incarnation: int


class PoolLoad(Struct, frozen=True, kw_only=True):
    """A router's estimate of a pool's load: the mean per unit of weight, and its age.

    `known` is the number of instances with a known load, over which the mean is taken; `members` is
    the number of instances in the router's view of the pool.
    """

    mean: float
    known: int
    members: int
    age_ms: int


class Open(Struct, frozen=True, kw_only=True):
    """Asks a side to run one request at its upstream.

    `sequence` identifies the exchange on its link; it increases with each request of a router
    incarnation. `deadline_ms` is the time left until the caller's deadline, `waited_ms` the time
    that the request has spent in the router. `path` is the path at the upstream with its query
    string. `digest` is equal for requests with the same content and serves to detect requests that
    crash upstreams. `idempotency_key` is set only for calls that must not be repeated.
    `prompt_bytes` and `max_output_tokens` are the size of the request. `holders` names the
    instances that may have the chat's prefix cached: the first and the second choice for the chat,
    then the one named in the caller's hint. `parts` are digests of the parts of the prompt that
    other requests may have too.
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
    parts: tuple[int, ...] = ()


class Head(Struct, frozen=True, kw_only=True):
    """Status and headers of an answer; `replayed` marks a stored answer that is sent again."""

    status: int
    headers: Headers
    replayed: bool = False


class Data(Struct, frozen=True, kw_only=True):
    """A chunk of an answer's body that starts at byte `offset`."""

    offset: int
    body: bytes


class End(Struct, frozen=True, kw_only=True):
    """The end of a complete answer: its length in bytes and its XXH3-64 checksum."""

    length: int
    checksum: int


class Status(Struct, frozen=True, kw_only=True):
    """Load and state of a side; sent when it changes, at a bounded rate.

    `load` is the number of running requests and of interactive requests that are queued for the
    upstream, `running` the number of running ones, `batch_waiting` the number of batch requests
    that are queued for spare capacity. `leaving` is set while the side drains.
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
    """Announces the configuration version that the sender applies, and its manifest's digest."""

    version: int
    digest: int


class ConfigurationPartsRequest(Struct, frozen=True, kw_only=True):
    """Requests parts of a configuration version by digest; without parts, its manifest."""

    version: int
    parts: tuple[int, ...] = ()


class ConfigurationParts(Struct, frozen=True, kw_only=True):
    """Compressed parts of a configuration version, or its manifest: the parts' digests in order."""

    version: int
    manifest: tuple[int, ...] = ()
    parts: tuple[bytes, ...] = ()


class PrefixAnnouncement(Struct, frozen=True, kw_only=True):
    """Announces that a chat ran on another instance than its first choice and is cached there.

    `chat` is the digest of the chat's name.
    """

    chat: int
    prompt_bytes: int


class SuspectAnnouncement(Struct, frozen=True, kw_only=True):
    """Announces the digest of a request that was running when an upstream crashed.

    `implication` is unique to that crash, so that a crash is counted once. `alone` says that no
    other request was running.
    """

    digest: int
    implication: int
    alone: bool


class ModelStatus(Struct, frozen=True, kw_only=True):
    """A model or adapter of an engine: `version` is loaded, `next_version` is to be loaded.

    One of them may be empty. `serving` says that new requests for the model are accepted. `load` is
    the smoothed number of its requests, `failures` the number of consecutive failed attempts to
    load it.
    """

    name: str
    version: str = ""
    next_version: str = ""
    serving: bool = True
    load: float = 0.0
    failures: int = 0


class EngineStatus(Struct, frozen=True, kw_only=True):
    """Status of a side's engine and of its models; a higher `stamp_ms` replaces a lower one.

    `engine` is the engine's address for other sides, as `host:port`. `up` says that the engine
    responds. A model that is being unloaded is not listed.
    """

    name: str
    stamp_ms: int
    engine: str
    up: bool
    role: str = ""
    models: tuple[ModelStatus, ...] = ()


class PoolStatus(Struct, frozen=True, kw_only=True):
    """Status of the engines of a pool, as far as the sender has updates for the receiver."""

    pool: str
    entries: tuple[EngineStatus, ...]


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
    | BegunStreams
    | OriginRequest
    | OriginReply
    | SuspectEvidence
    | SuspectVerdicts
)
AnswerEvent = Head | Data | End | Failure
