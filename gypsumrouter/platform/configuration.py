"""Decodes the operator's configuration document into the router's routing configuration."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from gypsumrouter.const import MS_PER_S
from gypsumrouter.exceptions import ConfigurationInvalid, DocumentInvalid
from gypsumrouter.routing import (
    DEFAULT_HEALTH_PATH,
    CallerLimits,
    EngineCapacity,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    SlowStart,
    Target,
    WorkspaceKeys,
)
from gypsumrouter.util.validation import HeaderText, JsonCount, JsonInteger, validate_json

Milliseconds = Annotated[float, Meta(ge=0, le=1e12)]
Weight = Annotated[float, Meta(ge=0, le=1e12)]


class WireSplit(Struct, frozen=True, kw_only=True):
    """One service of a weighted traffic split."""

    service: str
    weight: Weight


class WireRoute(Struct, frozen=True, kw_only=True):
    """A route as published, with either `service` or `split`."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0.0
    target_gap_ms: Milliseconds = 0.0
    priority: JsonInteger = 0
    max_attempts: JsonInteger = 1
    public: bool = False
    resumable: bool = False
    service: str | None = None
    split: tuple[WireSplit, ...] = ()


class WireEngine(Struct, frozen=True, kw_only=True):
    """The capacity of a service's engines, as published."""

    slots: JsonInteger = 1
    # Total cache size of one engine, in tokens.
    kv_tokens: JsonInteger = 0


class WireService(Struct, frozen=True, kw_only=True):
    """A service as published."""

    name: str
    max_connections: JsonInteger = 0
    health_path: str = DEFAULT_HEALTH_PATH
    # Duration of an upstream's slow start, and its request rate limit meanwhile.
    cold_start_s: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    cold_per_s: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    engine: WireEngine | None = None


class WireTenant(Struct, frozen=True, kw_only=True):
    """A workspace as published."""

    name: HeaderText
    api_keys: tuple[str, ...] = ()
    priority: JsonInteger | None = None


class WireLimits(Struct, frozen=True, kw_only=True):
    """Limits for callers, as published."""

    max_header_bytes: JsonInteger = 16 * 1024
    max_body_bytes: JsonInteger = 4 * 1024 * 1024
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000


class WireConfiguration(Struct, frozen=True, kw_only=True):
    """The complete document; unknown fields are ignored."""

    version: JsonCount
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    tenants: tuple[WireTenant, ...] = ()
    limits: WireLimits = field(default_factory=WireLimits)


def decode_configuration(document: bytes) -> RoutingConfiguration:
    """Decode a configuration document; raises ConfigurationInvalid."""
    try:
        wire = validate_json(kind=WireConfiguration, document=document, strict=False)
    except DocumentInvalid as error:
        raise ConfigurationInvalid(error.errors) from None
    return RoutingConfiguration(
        version=wire.version,
        routes=tuple(_make_route(route) for route in wire.routes),
        services=tuple(_make_service(service) for service in wire.services),
        workspaces=tuple(
            WorkspaceKeys(name=tenant.name, keys=tenant.api_keys, priority=tenant.priority)
            for tenant in wire.tenants
        ),
        limits=_make_limits(wire.limits),
        document=document,
    )


def _make_route(route: WireRoute) -> Route:
    targets = tuple(Target(service=s.service, weight=s.weight) for s in route.split)
    if route.service is not None:
        targets = (Target(service=route.service, weight=1.0),)
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=route.kind,
        timeout_ms=int(route.timeout_ms),
        target_latency_ms=int(route.target_latency_ms),
        max_event_gap_ms=int(route.target_gap_ms),
        priority=route.priority,
        max_attempts=route.max_attempts,
        public=route.public,
        resumable=route.resumable,
        targets=targets,
    )


def _make_service(service: WireService) -> Service:
    engine = None
    if service.engine is not None:
        engine = EngineCapacity(slots=service.engine.slots, cache_tokens=service.engine.kv_tokens)
    return Service(
        name=service.name,
        max_connections=service.max_connections,
        health_path=service.health_path,
        engine=engine,
        slow_start=_make_slow_start(service),
    )


def _make_slow_start(service: WireService) -> SlowStart | None:
    if not (service.cold_start_s and service.cold_per_s):
        return None
    return SlowStart(
        duration_ms=int(service.cold_start_s * MS_PER_S), requests_per_s=service.cold_per_s
    )


def _make_limits(limits: WireLimits) -> CallerLimits:
    return CallerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_ms=int(limits.header_timeout_ms),
        idle_timeout_ms=int(limits.idle_timeout_ms),
    )
