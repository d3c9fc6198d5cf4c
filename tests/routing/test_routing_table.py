"""Matching of routes and API keys, and the order of configuration versions."""

from __future__ import annotations

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.journal import Journal
from gypsumrouter.routing import (
    CallerLimits,
    InvalidKey,
    NoRoute,
    Route,
    RouteKind,
    RouteMatch,
    RoutingConfiguration,
    RoutingStore,
    RoutingTable,
    Target,
    WorkspaceKeys,
)
from gypsumrouter.util.clock import ManualClock


def make_route(prefix: str, **more: object) -> Route:
    values: dict[str, object] = {
        "name": prefix,
        "host": "api.example",
        "prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "timeout_ms": 1_000,
        "target_latency_ms": 100,
        "max_event_gap_ms": 0,
        "priority": 3,
        "max_attempts": 2,
        "public": False,
        "resumable": False,
        "targets": (Target(service="records", weight=1.0),),
        **more,
    }
    return Route(**values)  # type: ignore[arg-type]


def make_configuration(version: int, *routes: Route) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=version,
        routes=routes,
        services=(),
        workspaces=(
            WorkspaceKeys(name="plant", keys=("k1", "k2"), priority=1),
            WorkspaceKeys(name="school", keys=("k3",)),
        ),
        limits=CallerLimits(),
        document=b"",
    )


def find(table: RoutingTable, path: str, key: str | None = "k1") -> object:
    return table.find(host="API.example", path=path, key=key)


def test_longest_prefix_wins_and_only_whole_segments_match() -> None:
    short, long = make_route("/a/"), make_route("/a/b/")
    table = RoutingTable(configuration=make_configuration(1, short, long))
    assert find(table, "/a/b/c") == RouteMatch(route=long, workspace="plant", priority=1)
    assert find(table, "/a/bc") == RouteMatch(route=short, workspace="plant", priority=1)
    assert find(table, "/a/") == RouteMatch(route=short, workspace="plant", priority=1)
    assert find(table, "/a") == NoRoute()
    assert find(table, "/") == NoRoute()


def test_routes_are_matched_per_host() -> None:
    table = RoutingTable(configuration=make_configuration(1, make_route("/a/")))
    assert table.find(host="else.example", path="/a/", key="k1") == NoRoute()


def test_key_selects_workspace_and_invalid_key_is_reported() -> None:
    route = make_route("/a/")
    table = RoutingTable(configuration=make_configuration(1, route))
    assert find(table, "/a/", "k3") == RouteMatch(route=route, workspace="school", priority=3)
    assert find(table, "/a/", "k9") == InvalidKey(route=route)
    assert find(table, "/a/", None) == InvalidKey(route=route)


def test_public_route_needs_no_key() -> None:
    route = make_route("/a/", public=True)
    table = RoutingTable(configuration=make_configuration(1, route))
    assert find(table, "/a/", None) == RouteMatch(route=route, workspace="", priority=3)


def test_lower_or_equal_version_is_ignored() -> None:
    app = Application(
        name="entry-1", role=Role.FORWARDER, data_centre="a", region="r", clock=ManualClock()
    )
    store = RoutingStore(app=app, journal=Journal(app=app))
    assert store.offer(make_configuration(4, make_route("/a/")), source="platform")
    assert not store.offer(make_configuration(4), source="entry-2")
    assert not store.offer(make_configuration(3), source="platform")
    assert store.version == 4
    assert store.table is not None
    assert store.table.configuration.routes
