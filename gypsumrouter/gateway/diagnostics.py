"""The section of the gateway in the state dump; it contains no bodies and no keys."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from gypsumrouter.gateway.budget import RetryBudget
from gypsumrouter.gateway.limits import FleetLimits
from gypsumrouter.gateway.readiness import Readiness
from gypsumrouter.gateway.running import RunningRequest, RunningRequests


def dump_gateway(
    *,
    readiness: Readiness,
    running: RunningRequests,
    retries: RetryBudget,
    limits: FleetLimits,
    buffered_bytes: Mapping[str, int],
    aborted_callers: int,
    now_ms: int,
) -> dict[str, object]:
    """Return the state of the gateway as plain JSON data."""
    policy = readiness.policy
    return {
        "ready": readiness.ready,
        "leaving": readiness.draining,
        "closed": readiness.closed,
        "configuration_version": 0 if policy is None else policy.configuration.version,
        "running": dump_running(running, now_ms=now_ms),
        "held_bytes": dict(buffered_bytes),
        "callers_cut": aborted_callers,
        "retries": {"left": retries.available, "spent": retries.spent, "starved": retries.denied},
        "limits": {
            "routers": limits.share.routers,
            "position": limits.share.position,
            "running": limits.count_running(),
        },
    }


def dump_running(running: Iterable[RunningRequest], *, now_ms: int) -> list[dict[str, object]]:
    """Return the running requests, oldest first."""
    return [
        {
            "request_id": request.request_id,
            "workspace": request.workspace,
            "class": None if request.caller_class is None else request.caller_class.name,
            "age_ms": now_ms - request.arrived_ms,
            "tried": list(request.attempts.tried),
        }
        for request in running
    ]
