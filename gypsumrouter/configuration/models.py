"""Model of the configuration document, which is versioned and held by every process."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from gypsumrouter.const import UpstreamKind
from gypsumrouter.util.validation import (
    MAX_FLOAT,
    DocumentStruct,
    Name,
    NonNegativeInt,
    PositiveFloat,
    PositiveInt,
)

Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Version = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._+-]{0,62}$")]
NotNegative = Annotated[float, Meta(ge=0, le=MAX_FLOAT)]

DEFAULT_FIRST_TOKEN_MS = 330
DEFAULT_ANSWER_MS = 60_000
DEFAULT_CAP = 1.25
DEFAULT_FLOOR = 4
DEFAULT_SLOTS = 16
DEFAULT_QUEUE = 64
DEFAULT_REPEAT_WINDOW_MS = 600_000
DEFAULT_REMEMBERED_CALLS = 100_000
DEFAULT_REMEMBERED_BYTES = 16 * 1024 * 1024
DEFAULT_MODEL_VERSION = "1"
DEFAULT_CHANGE_SHARE = 0.25
DEFAULT_SETTLE_MS = 30_000
DEFAULT_LOAD_MS = 600_000


class OrderCheck(StrEnum):
    """How an upstream checks the orders that are sent to it."""

    FENCING = "fencing"
    NOTHING = "nothing"


class OpaqueKeys(StrEnum):
    """Handling of idempotency keys that do not contain their creation time."""

    WINDOW = "window"
    REFUSE = "refuse"


class Workspace(DocumentStruct, frozen=True, kw_only=True):
    """A customer: SHA-256 digests of its callers' keys, its guaranteed share and its limits.

    `share` is relative to the shares of the other workspaces. Limits apply to the whole fleet.
    """

    name: Name
    key_digests: tuple[Digest, ...] = ()
    share: PositiveFloat = 1.0
    requests_per_s: PositiveFloat | None = None
    concurrent: PositiveInt | None = None
    default_class: Name | None = None


class CallerClass(DocumentStruct, frozen=True, kw_only=True):
    """A class of callers: latency targets in milliseconds and the monetary penalty for a miss."""

    name: Name
    first_token_ms: PositiveInt = DEFAULT_FIRST_TOKEN_MS
    answer_ms: PositiveInt = DEFAULT_ANSWER_MS
    penalty: NotNegative = 1.0
    batch: bool = False


class CallPattern(DocumentStruct, frozen=True, kw_only=True):
    """Calls of a service, by method (or `*`) and path prefix below the service."""

    method: Annotated[str, Meta(pattern=r"^(\*|[A-Z]{1,16})$")] = "*"
    path_prefix: Annotated[str, Meta(pattern=r"^/")] = "/"


class AtMostOnce(DocumentStruct, frozen=True, kw_only=True):
    """Calls that run at most once, and how many of them are stored for how long."""

    calls: tuple[CallPattern, ...]
    window_ms: PositiveInt = DEFAULT_REPEAT_WINDOW_MS
    opaque_keys: OpaqueKeys = OpaqueKeys.WINDOW
    remembered_calls: PositiveInt = DEFAULT_REMEMBERED_CALLS
    remembered_bytes: PositiveInt = DEFAULT_REMEMBERED_BYTES


class OrderedAdapter(DocumentStruct, frozen=True, kw_only=True):
    """An adapter that is loaded on every engine that holds its model."""

    name: Name
    version: Version = DEFAULT_MODEL_VERSION


class OrderedModel(DocumentStruct, frozen=True, kw_only=True):
    """A model that is loaded on at least `min_engines` engines, and on more by demand."""

    name: Name
    version: Version = DEFAULT_MODEL_VERSION
    min_engines: NonNegativeInt = 1
    adapters: tuple[OrderedAdapter, ...] = ()


class PoolOrders(DocumentStruct, frozen=True, kw_only=True):
    """The models that the engines of a pool are ordered to load, and the limits on changes.

    At most `change_share` of a model's engines change their version at once. A difference between
    the desired and the actual models is acted on once it has lasted for `settle_ms`. A load that
    takes longer than `load_ms` is cancelled. `store_loads_per_s` is the rate of loads from the
    weight store that this pool may use.
    """

    models: tuple[OrderedModel, ...]
    store_loads_per_s: PositiveFloat
    models_per_engine: PositiveInt = 1
    role: Name | None = None
    change_share: Annotated[float, Meta(gt=0, le=1)] = DEFAULT_CHANGE_SHARE
    settle_ms: PositiveInt = DEFAULT_SETTLE_MS
    load_ms: PositiveInt = DEFAULT_LOAD_MS


class Pool(DocumentStruct, frozen=True, kw_only=True):
    """A group of interchangeable upstreams.

    `cap` limits the load of each upstream to this multiple of the pool's mean load; it applies
    above `floor` requests at one upstream. `slots` is the number of concurrent requests of an
    upstream of weight 1, `queue` the number that may wait for it. Without `orders` the router
    does not manage the models of the engines.
    """

    name: Name
    kind: UpstreamKind
    models: tuple[Name, ...] = ()
    cap: Annotated[float, Meta(gt=1, le=MAX_FLOAT)] = DEFAULT_CAP
    floor: PositiveInt = DEFAULT_FLOOR
    slots: PositiveInt = DEFAULT_SLOTS
    queue: NonNegativeInt = DEFAULT_QUEUE
    at_most_once: AtMostOnce | None = None
    order_check: OrderCheck = OrderCheck.FENCING
    orders: PoolOrders | None = None


class When(DocumentStruct, frozen=True, kw_only=True):
    """Conditions of a rule; all that are set must hold, and none set matches every request."""

    workspace: tuple[Name, ...] | None = None
    caller_class: tuple[Name, ...] | None = None
    model: tuple[Name, ...] | None = None
    service: tuple[Name, ...] | None = None
    method: tuple[str, ...] | None = None
    path_prefix: str | None = None
    data_centre: tuple[Name, ...] | None = None
    returning: bool | None = None
    min_bytes: NonNegativeInt | None = None
    max_bytes: NonNegativeInt | None = None
    from_minute: Annotated[int, Meta(ge=0, lt=1440)] | None = None
    to_minute: Annotated[int, Meta(ge=0, lt=1440)] | None = None
    weekdays: tuple[Annotated[int, Meta(ge=0, le=6)], ...] | None = None


class Then(DocumentStruct, frozen=True, kw_only=True):
    """Effects of a matching rule; settings that are not set keep their defaults."""

    caller_class: Name | None = None
    pool: Name | None = None
    next_pool: Name | None = None
    max_output_tokens: PositiveInt | None = None
    concurrent: PositiveInt | None = None
    requests_per_s: PositiveFloat | None = None
    deadline_ms: PositiveInt | None = None
    refuse: str | None = None
    retry_after_ms: PositiveInt | None = None


class Rule(DocumentStruct, frozen=True, kw_only=True):
    """A rule with conditions and effects; only the first matching rule applies to a request."""

    name: Name
    when: When = When()
    then: Then = Then()


class Configuration(DocumentStruct, frozen=True, kw_only=True):
    """The configuration document; only a higher version replaces the one in force."""

    version: NonNegativeInt
    workspaces: tuple[Workspace, ...] = ()
    classes: tuple[CallerClass, ...] = ()
    pools: tuple[Pool, ...] = ()
    rules: tuple[Rule, ...] = ()
    default_class: Name | None = None
