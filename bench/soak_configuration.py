"""The configuration that the soak publishes: routes of each kind, services and callers."""

from __future__ import annotations

from typing import Any, Final

CALLER_KEY: Final = "key-of-plant"
WORKSPACE: Final = "plant"
HOST: Final = "api.example"
TARGETS: Final = {"target_latency_ms": 150, "target_gap_ms": 150}


def make_configuration(
    version: int, *, timeout_ms: int = 2_500, **engine_options: float
) -> dict[str, Any]:
    """Return a version of the configuration; the options are those of the engines' service."""
    kinds = {"lookup": "idempotent", "reserve": "non_idempotent"}
    limit = {"timeout_ms": timeout_ms, "max_attempts": 2, **TARGETS}
    routes = [make_route(name, kind, "records", **limit) for name, kind in kinds.items()]
    routes.append(make_route("draft", "streaming", "models", **limit))
    routes.append(make_route("quote", "streaming", "models", resumable=True, **limit))
    models = {"name": "models", "engine": {"slots": 64}, **engine_options}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "records"}, models],
        "tenants": [{"name": WORKSPACE, "api_keys": [CALLER_KEY]}],
    }


def make_route(name: str, kind: str, service: str, **options: Any) -> dict[str, Any]:
    """Return a route at the prefix of its name."""
    route = {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "service": service}
    return {**route, **options}
