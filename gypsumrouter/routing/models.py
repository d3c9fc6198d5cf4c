"""Value types of the published routing configuration."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import xxhash
from msgspec import Struct


class RouteKind(StrEnum):
    """Whether requests of a route may be retried, and whether responses are streamed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Target(Struct, frozen=True, kw_only=True):
    """A service that a route sends to, and its weight in the traffic split."""

    service: str
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """A route for requests to `host` whose path begins with `prefix`.

    `timeout_ms` limits the complete response, `target_latency_ms` is the latency objective. For
    streams the objective applies to the first event, and `max_event_gap_ms` to the time between
    events. `max_attempts` limits the upstreams that may execute one request. `priority` 0 is the
    highest.
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
        """Return whether a request may be executed again, or resumed at another upstream."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streamed(self) -> bool:
        """Return whether responses are event streams."""
        return self.kind is RouteKind.STREAMING

    def choose_service(self, seed: bytes) -> str:
        """Return the service for a request, empty if there is none; equal seeds have the same."""
        if not self.targets:
            return ""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh3_64_intdigest(seed) / 2**64 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


class EngineCapacity(Struct, frozen=True, kw_only=True):
    """Capacity of a service's model engines: concurrent requests, and the cache in tokens."""

    slots: int
    cache_tokens: int


# Where a service names none.
DEFAULT_HEALTH_PATH: Final = "/health"


class SlowStart(Struct, frozen=True, kw_only=True):
    """Rate limit of an upstream while it warms up, and the duration of the warm-up."""

    duration_ms: int
    requests_per_s: float


class Service(Struct, frozen=True, kw_only=True):
    """A group of interchangeable upstreams.

    `max_connections` is the limit of one upstream for the connections of all routers together. A
    GET request to `health_path` is answered with the upstream's id. `engine` is None for a plain
    service, `slow_start` is None if upstreams need no warm-up.
    """

    name: str
    max_connections: int
    health_path: str = DEFAULT_HEALTH_PATH
    engine: EngineCapacity | None = None
    slow_start: SlowStart | None = None


class WorkspaceKeys(Struct, frozen=True, kw_only=True):
    """A workspace and the API keys of its callers; its priority overrides the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(Struct, frozen=True, kw_only=True):
    """Limits on the size and duration of callers' requests."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutingConfiguration(Struct, frozen=True, kw_only=True):
    """One complete published version; `document` is its encoded form."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[WorkspaceKeys, ...]
    limits: CallerLimits
    document: bytes
