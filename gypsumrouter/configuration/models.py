"""The fleet's configuration: one versioned document that every process holds."""

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
    """What an upstream checks of an order it is given."""

    FENCING = "fencing"
    NOTHING = "nothing"


class OpaqueKeys(StrEnum):
    """What to do with idempotency keys that do not carry their creation time."""

    WINDOW = "window"
    REFUSE = "refuse"


class Workspace(DocumentStruct, frozen=True, kw_only=True):
    """A customer: its callers' keys as SHA-256 digests, its guaranteed share and its limits.

    `share` is relative to the other workspaces' shares. Limits hold for the whole fleet.
    """

    name: Name
    key_digests: tuple[Digest, ...] = ()
    share: PositiveFloat = 1.0
    requests_per_s: PositiveFloat | None = None
    concurrent: PositiveInt | None = None
    default_class: Name | None = None


class CallerClass(DocumentStruct, frozen=True, kw_only=True):
    """A class of callers: targets in milliseconds and the penalty for a miss, in money."""

    name: Name
    first_token_ms: PositiveInt = DEFAULT_FIRST_TOKEN_MS
    answer_ms: PositiveInt = DEFAULT_ANSWER_MS
    penalty: NotNegative = 1.0
    batch: bool = False


class CallPattern(DocumentStruct, frozen=True, kw_only=True):
    """Calls of a service: a method (or `*`) and the beginning of a path below the service."""

    method: Annotated[str, Meta(pattern=r"^(\*|[A-Z]{1,16})$")] = "*"
    path_prefix: Annotated[str, Meta(pattern=r"^/")] = "/"


class AtMostOnce(DocumentStruct, frozen=True, kw_only=True):
    """Which calls must not be repeated, and how long and how many of them are remembered."""

    calls: tuple[CallPattern, ...]
    window_ms: PositiveInt = DEFAULT_REPEAT_WINDOW_MS
    opaque_keys: OpaqueKeys = OpaqueKeys.WINDOW
    remembered_calls: PositiveInt = DEFAULT_REMEMBERED_CALLS
    remembered_bytes: PositiveInt = DEFAULT_REMEMBERED_BYTES


class OrderedAdapter(DocumentStruct, frozen=True, kw_only=True):
    """An adapter that every engine with its model is ordered to hold."""

    name: Name
    version: Version = DEFAULT_MODEL_VERSION


class OrderedModel(DocumentStruct, frozen=True, kw_only=True):
    """A model that engines are ordered to hold: at least `min_engines`, more by demand."""

    name: Name
    version: Version = DEFAULT_MODEL_VERSION
    min_engines: NonNegativeInt = 1
    adapters: tuple[OrderedAdapter, ...] = ()


class PoolOrders(DocumentStruct, frozen=True, kw_only=True):
    """What the engines of a pool are ordered to hold, and how fast that may change.

    At most `change_share` of a model's engines change their version at once. A difference is
    acted on once it has lasted for `settle_ms`. A load that takes longer than `load_ms` is
    cancelled. `store_loads_per_s` is this pool's part of the weight store's rate.
    """

    models: tuple[OrderedModel, ...]
    store_loads_per_s: PositiveFloat
    models_per_engine: PositiveInt = 1
    role: Name | None = None
    change_share: Annotated[float, Meta(gt=0, le=1)] = DEFAULT_CHANGE_SHARE
    settle_ms: PositiveInt = DEFAULT_SETTLE_MS
    load_ms: PositiveInt = DEFAULT_LOAD_MS


class Pool(DocumentStruct, frozen=True, kw_only=True):
    """Upstreams that can stand in for one another.

    `cap` is the multiple of the pool's mean load that none may exceed; it binds above `floor`
    requests at one upstream. `slots` is what one upstream of weight 1 runs at once, `queue`
    what may wait before it. Without `orders` the engines are never given any.
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
    """Conditions of a rule; all that are given must hold, and an empty one always does."""

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
    """What follows where a rule matches; what is not set stays as it would be without it."""

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
    """One when-then rule; for each request only the first rule that matches counts."""

    name: Name
    when: When = When()
    then: Then = Then()


class Configuration(DocumentStruct, frozen=True, kw_only=True):
    """The whole document; a higher version always replaces a lower one, never the reverse."""

    version: NonNegativeInt
    workspaces: tuple[Workspace, ...] = ()
    classes: tuple[CallerClass, ...] = ()
    pools: tuple[Pool, ...] = ()
    rules: tuple[Rule, ...] = ()
    default_class: Name | None = None
