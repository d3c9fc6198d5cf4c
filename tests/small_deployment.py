"""Small deployment for tests, and settings with which its processes become ready quickly."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from gypsumrouter.configuration.models import CallerClass
from gypsumrouter.demo.local_fleet import LocalFleet
from gypsumrouter.standins import Deployment, WorkspacePlan

StartLocalFleet = Callable[..., Awaitable[LocalFleet]]

# New sides accept calls with idempotency keys after this lease, as all clocks are the same.
LIST_LEASE_MS = 500
FAST_SETTINGS: dict[str, Any] = {
    "platform": {"list_lease_ms": LIST_LEASE_MS, "clock_skew_ms": 0, "list_poll_ms": 50},
}


def make_small_deployment(*, model: str = "chat-model") -> Deployment:
    return Deployment(
        name="small",
        region="here",
        data_centres=("here-a", "here-b"),
        data_centre_latency_ms=0.0,
        client_latency_ms=0.0,
        model=model,
        engine_pool="models",
        engines=2,
        service_pool="records",
        services=2,
        at_most_once=("/defects",),
        workspaces=(WorkspacePlan(name="plant"), WorkspacePlan(name="office")),
        interactive=(CallerClass(name="inspector", first_token_ms=5_000),),
    )
