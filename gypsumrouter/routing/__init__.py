"""Routing: which service answers a request, who may ask, and the version that is in force."""

from __future__ import annotations

from gypsumrouter.routing.models import (
    CallerLimits,
    EngineTraits,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    SlowStart,
    Target,
    WorkspaceKeys,
)
from gypsumrouter.routing.store import RoutingStore
from gypsumrouter.routing.table import NoRoute, Routed, RoutingTable, WrongKey

__all__ = [
    "CallerLimits",
    "EngineTraits",
    "NoRoute",
    "Route",
    "RouteKind",
    "Routed",
    "RoutingConfiguration",
    "RoutingStore",
    "RoutingTable",
    "Service",
    "SlowStart",
    "Target",
    "WorkspaceKeys",
    "WrongKey",
]
