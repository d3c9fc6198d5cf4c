"""The lookup from a request's host, path and key to its route and workspace."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.routing.models import Route, RoutingConfiguration, Service, WorkspaceKeys


class RouteMatch(Struct, frozen=True, kw_only=True):
    """The route of an authorized request; `workspace` is empty without a valid key."""

    route: Route
    workspace: str
    priority: int


class NoRoute(Struct, frozen=True, kw_only=True):
    """No route matches the host and path."""


class InvalidKey(Struct, frozen=True, kw_only=True):
    """The route requires an API key, and the request has none or an unknown one."""

    route: Route


class RoutingTable:
    """One version of the configuration, indexed for lookups."""

    __slots__ = ("_by_host", "_has_workspaces", "_keys", "_services", "configuration")

    def __init__(self, *, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self._keys: dict[str, WorkspaceKeys] = {
            key: workspace for workspace in configuration.workspaces for key in workspace.keys
        }
        self._has_workspaces = bool(configuration.workspaces)
        self._services = {service.name: service for service in configuration.services}

    def find(self, *, host: str, path: str, key: str | None) -> RouteMatch | NoRoute | InvalidKey:
        """Match a request to its route and workspace; `path` has no query string."""
        route = self._match(host, path)
        if route is None:
            return NoRoute()
        workspace = None if key is None else self._keys.get(key)
        if workspace is None:
            if self._has_workspaces and not route.public:
                return InvalidKey(route=route)
            return RouteMatch(route=route, workspace="", priority=route.priority)
        priority = route.priority if workspace.priority is None else workspace.priority
        return RouteMatch(route=route, workspace=workspace.name, priority=priority)

    def get_service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)

    def _match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix; prefixes begin and end with a slash."""
        routes = self._by_host.get(host.lower())
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None
