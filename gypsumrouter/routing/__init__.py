"""Routes, services and workspaces, and the routing configuration that is in effect."""

from __future__ import annotations

from gypsumrouter.routing.models import (
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
from gypsumrouter.routing.store import RoutingStore
from gypsumrouter.routing.table import InvalidKey, NoRoute, RouteMatch, RoutingTable

__all__ = [
    "DEFAULT_HEALTH_PATH",
    "CallerLimits",
    "EngineCapacity",
    "InvalidKey",
    "NoRoute",
    "Route",
    "RouteKind",
    "RouteMatch",
    "RoutingConfiguration",
    "RoutingStore",
    "RoutingTable",
    "Service",
    "SlowStart",
    "Target",
    "WorkspaceKeys",
]
