"""Settings of a process: a JSON document that is validated completely before start-up."""

from __future__ import annotations

import os
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Final

from msgspec import Meta, field

from gypsumrouter.const import MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES, UpstreamKind
from gypsumrouter.exceptions import DocumentInvalid, FieldError, SettingsInvalid
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.util.heartbeats import DEFAULT_HEARTBEAT_MS
from gypsumrouter.util.validation import (
    DocumentStruct,
    Name,
    NonNegativeInt,
    PositiveFloat,
    PositiveInt,
    validate_ip,
    validate_json,
)

MIN_LINK_KEY_BYTES = 16
LOOPBACK: Final = "127.0.0.1"


Port = Annotated[int, Meta(ge=0, le=65535)]
HttpOrigin = Annotated[
    str, Meta(pattern=r"^https?://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d+$")
]
Endpoint = Annotated[str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]


class LogFormat(StrEnum):
    """Format of log lines."""

    JSON = "json"
    TEXT = "text"


class LogLevel(StrEnum):
    """Lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Tls(DocumentStruct, frozen=True, kw_only=True):
    """TLS files of a listener or link, as PEM; they are reloaded when they change.

    With `client_ca_file`, a listener requires client certificates issued by that authority.
    """

    certificate_file: str
    key_file: str
    ca_file: str | None = None
    client_ca_file: str | None = None


class Listener(DocumentStruct, frozen=True, kw_only=True):
    """Address of a listener; with port 0 the system chooses a free port."""

    host: str = LOOPBACK
    port: Port = 0
    tls: Tls | None = None

    def __post_init__(self) -> None:
        validate_ip(host=self.host)


class Operators(DocumentStruct, frozen=True, kw_only=True):
    """Operator endpoint; a token is required unless it is bound to loopback."""

    host: str = LOOPBACK
    port: Port = 0
    tls: Tls | None = None
    token_file: str | None = None

    def __post_init__(self) -> None:
        validate_ip(host=self.host)


class Identity(DocumentStruct, frozen=True, kw_only=True):
    """Name and location of this process."""

    name: Name
    data_centre: Name
    region: Name


class Link(DocumentStruct, frozen=True, kw_only=True):
    """Listener and shared key of the links between processes.

    The key is read from `key_file` or from the environment variable named by `key_env`. The
    process listens on `host` and `port`; `advertised_host` and `advertised_port` are its address
    in the instance list if that differs. Times are in milliseconds, sizes in bytes.
    """

    host: str = LOOPBACK
    port: Port = 0
    advertised_host: str | None = None
    advertised_port: Port | None = None
    tls: Tls | None = None
    key_file: str | None = None
    key_env: str | None = None
    heartbeat_ms: PositiveInt = 800
    silence_ms: PositiveInt = 2_400
    idle_close_ms: PositiveInt = 60_000
    connect_ms: PositiveInt = 1_000
    resume_ms: PositiveInt = 8_000
    window_bytes: PositiveInt = 256 * 1024

    def __post_init__(self) -> None:
        validate_ip(host=self.host, advertised_host=self.advertised_host)


class Platform(DocumentStruct, frozen=True, kw_only=True):
    """HTTP origins at which the platform publishes the configuration and the instance list.

    A side runs at-most-once calls only while its list is younger than `list_lease_ms`.
    `clock_skew_ms` is the largest difference between the wall clocks of two processes.
    """

    configuration: tuple[HttpOrigin, ...] = ()
    instances: tuple[HttpOrigin, ...] = ()
    list_poll_ms: PositiveInt = 1_000
    list_lease_ms: PositiveInt = 15_000
    clock_skew_ms: NonNegativeInt = 1_000


class Upstream(DocumentStruct, frozen=True, kw_only=True):
    """The upstream of a side; `silence_ms` is the timeout between parts of an answer."""

    pool: Name
    kind: UpstreamKind
    host: str = LOOPBACK
    port: Port
    tls: Tls | None = None
    weight: PositiveFloat = 1.0
    connect_ms: PositiveInt = 1_000
    silence_ms: PositiveInt = 2_400
    load_poll_ms: PositiveInt = 500

    def __post_init__(self) -> None:
        validate_ip(host=self.host)


class Limits(DocumentStruct, frozen=True, kw_only=True):
    """Resource limits of a process; times are in milliseconds, sizes in bytes."""

    max_head_bytes: PositiveInt = MAX_HEAD_BYTES
    max_body_bytes: PositiveInt = MAX_REQUEST_BODY_BYTES
    max_streams: PositiveInt = 4_096
    caller_idle_ms: PositiveInt = 15_000
    default_deadline_ms: PositiveInt = 120_000
    drain_ms: PositiveInt = 120_000
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    max_attempts: PositiveInt = 4
    answer_memory_bytes: PositiveInt = 16 * 1024 * 1024


class Log(DocumentStruct, frozen=True, kw_only=True):
    """Log level and format."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TEXT


class RouterSettings(DocumentStruct, frozen=True, kw_only=True):
    """Settings of a router."""

    instance: Identity
    callers: Listener = field(default_factory=Listener)
    operators: Operators = field(default_factory=Operators)
    link: Link
    platform: Platform
    limits: Limits = field(default_factory=Limits)
    log: Log = field(default_factory=Log)


class SideSettings(DocumentStruct, frozen=True, kw_only=True):
    """Settings of a side."""

    instance: Identity
    operators: Operators = field(default_factory=Operators)
    link: Link
    platform: Platform
    upstream: Upstream
    limits: Limits = field(default_factory=Limits)
    log: Log = field(default_factory=Log)


HexId = Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,64}$")]


class Probes(DocumentStruct, frozen=True, kw_only=True):
    """Addresses of the readiness probe for load balancers and of the metrics endpoint.

    The metrics endpoint requires no token; it exposes no secrets.
    """

    ready: Endpoint = "127.0.0.1:0"
    ready_path: Annotated[str, Meta(pattern=r"^/\S*$")] = "/readyz"
    metrics: Endpoint = "127.0.0.1:0"


class Processor(DocumentStruct, frozen=True, kw_only=True):
    """CPU of a process: its share of a core, and the core's speed relative to a reference core."""

    share: PositiveFloat = 1.0
    speed: PositiveFloat = 1.0


class Bounds(DocumentStruct, frozen=True, kw_only=True):
    """Limits that a forwarder observes towards upstreams and callers; times are in milliseconds.

    An upstream gets at most `cap_factor` times the mean load of its service plus `cap_slack`
    concurrent requests. All forwarders together retry at most the share `retry_ratio` of the
    requests within any `retry_window_ms`, plus `retry_slack` requests. A warming upstream gets at
    most `warm_up_factor` times its published request rate per second plus `warm_up_slack`
    requests. An evacuated data centre gets no requests after `evacuation_ms`. A stop takes at most
    `stop_ms`.
    """

    cap_factor: PositiveFloat = 2.0
    cap_slack: PositiveFloat = 2.0
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.2
    retry_slack: Annotated[float, Meta(ge=0)] = 50.0
    retry_window_ms: PositiveInt = 10_000
    warm_up_factor: PositiveFloat = 1.0
    warm_up_slack: Annotated[float, Meta(ge=0)] = 0.0
    evacuation_ms: NonNegativeInt = 0
    stop_ms: PositiveInt = 8_000


class Contention(DocumentStruct, frozen=True, kw_only=True):
    """Decisions of a forwarder while upstreams have too little room for all requests.

    At most `max_waiting` requests wait in the router for each service. The usage of
    `tracked_workspaces` workspaces is counted exactly, that of the others as one.
    `max_reservations` refused requests keep their place for a retry.
    """

    max_waiting: PositiveInt = 512
    tracked_workspaces: PositiveInt = 256
    max_reservations: PositiveInt = 4_096


class ForwarderSettings(DocumentStruct, frozen=True, kw_only=True):
    """Settings of a forwarder; addresses are IP:PORT.

    `callers` and `link_address` are listen addresses; `link_address` overrides the one in `link`.
    `seeds` are link addresses of a few other forwarders, `store` is the platform's store, where
    upstreams renew their entries every `heartbeat_ms`.
    `first_start` means that no router ran before: it skips reading the cache inventory of the
    upstreams and lets retries use the slack at once. With `contention`, requests wait, yield and
    are refused in an order while upstreams have too little room; without it they are sent at once.
    `without` disables mechanisms for a measurement. Prompts are not refused for `allowed_parts`, in
    hexadecimal, even if engines have crashed on them.
    """

    instance: Identity
    first_start: bool = True
    callers: Endpoint = "127.0.0.1:0"
    probes: Probes = field(default_factory=Probes)
    link_address: Endpoint = "127.0.0.1:0"
    link: Link
    seeds: tuple[Endpoint, ...] = ()
    store: Endpoint
    heartbeat_ms: PositiveInt = DEFAULT_HEARTBEAT_MS
    processor: Processor = field(default_factory=Processor)
    bounds: Bounds = field(default_factory=Bounds)
    limits: Limits = field(default_factory=Limits)
    contention: Contention | None = None
    log: Log = field(default_factory=Log)
    without: frozenset[Mechanism] = frozenset()
    allowed_parts: tuple[HexId, ...] = ()


LinkedSettings = RouterSettings | SideSettings
Settings = LinkedSettings | ForwarderSettings


def check_forwarder_settings(document: bytes | str) -> ForwarderSettings:
    """Return the validated settings of a forwarder; raises SettingsInvalid."""
    try:
        return validate_json(kind=ForwarderSettings, document=document)
    except DocumentInvalid as error:
        raise SettingsInvalid(error.errors) from None


def check_router_settings(document: bytes | str) -> RouterSettings:
    """Return the validated settings of a router; raises SettingsInvalid."""
    try:
        return validate_json(kind=RouterSettings, document=document)
    except DocumentInvalid as error:
        raise SettingsInvalid(error.errors) from None


def check_side_settings(document: bytes | str) -> SideSettings:
    """Return the validated settings of a side; raises SettingsInvalid."""
    try:
        return validate_json(kind=SideSettings, document=document)
    except DocumentInvalid as error:
        raise SettingsInvalid(error.errors) from None


def read_link_key(link: Link) -> bytes:
    """Return the shared key of the links; raises SettingsInvalid if it is missing or too short."""
    if link.key_file is not None:
        return _check_link_key(_read_secret_file(link.key_file, "$.link.key_file"))
    if link.key_env is not None:
        return _check_link_key(os.environ.get(link.key_env, "").encode())
    raise SettingsInvalid((FieldError(path="$.link", message="key_file or key_env is needed"),))


def _read_secret_file(path: str, field_path: str) -> bytes:
    try:
        return Path(path).read_bytes().strip()
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
        raise SettingsInvalid((FieldError(path=field_path, message=message),)) from None


def _check_link_key(key: bytes) -> bytes:
    if len(key) < MIN_LINK_KEY_BYTES:
        message = f"the key needs at least {MIN_LINK_KEY_BYTES} bytes"
        raise SettingsInvalid((FieldError(path="$.link", message=message),))
    return key
