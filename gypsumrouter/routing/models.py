"""What operators publish of routes, services and workspaces, as values."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Target(Struct, frozen=True, kw_only=True):
    """One service that a route may use, and its share of the traffic."""

    service: str
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """One route: requests to `host` whose path begins with `prefix`.

    `timeout_ms` bounds the whole answer and `target_latency_ms` is the latency objective; for streams it
    is met by the first event, with no later pause above `max_event_gap_ms`. `max_attempts` counts the
    upstreams that may run one request. Rank 0 is the most urgent `priority`.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    target_latency_ms: int
    max_event_gap_ms: int
    priority: int
    max_attempts: int
    public: bool
    resumable: bool
    targets: tuple[Target, ...]

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run a second time, or go on at another upstream."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streamed(self) -> bool:
        """Return whether answers come as a series of events."""
        return self.kind is RouteKind.STREAMING


class EngineCapacity(Struct, frozen=True, kw_only=True):
    """What is published of a service's model engines: its batch and its cache, in tokens."""

    slots: int
    cache_tokens: int


class SlowStart(Struct, frozen=True, kw_only=True):
    """What an upstream bears while it warms up: so many requests a second, for so long."""

    duration_ms: int
    requests_per_s: float


class Service(Struct, frozen=True, kw_only=True):
    """A group of upstreams that can stand in for one another.

    `max_connections` is what one upstream accepts from all routers together. `engine` is None for
    a plain service, `slow_start` where upstreams need no time to warm up.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None = None
    slow_start: SlowStart | None = None


class WorkspaceKeys(Struct, frozen=True, kw_only=True):
    """A workspace with the keys of its callers; its priority, if set, goes before the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(Struct, frozen=True, kw_only=True):
    """What callers may send, and how long they may take; bytes and milliseconds."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutingConfiguration(Struct, frozen=True, kw_only=True):
    """One published version, whole; `document` is the text that it was read from."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[WorkspaceKeys, ...]
    limits: CallerLimits
    document: bytes
