"""State dump section and gauges of admission."""

from __future__ import annotations

from gypsumrouter.admission.capacity import Capacity
from gypsumrouter.admission.const import MAX_DUMPED_WORKSPACES
from gypsumrouter.admission.load import PoolEstimate
from gypsumrouter.admission.scheduler import Scheduler
from gypsumrouter.admission.shares import WorkspaceUsage
from gypsumrouter.core import Application
from gypsumrouter.helpers.metrics import NO_LABELS, Labels


def register_diagnostics(
    *, app: Application, name: str, capacity: Capacity, scheduler: Scheduler
) -> None:
    """Register the dump section and the gauges of one upstream's admission."""

    def read_limit() -> dict[Labels, float]:
        limit = capacity.load_limit
        return {} if limit is None else {NO_LABELS: limit}

    def read_mean() -> dict[Labels, float]:
        pool_estimate = capacity.pool_estimate
        return {} if pool_estimate is None else {NO_LABELS: pool_estimate.mean}

    app.add_dump_section("admission", lambda: make_dump(name, capacity, scheduler))
    app.metrics.gauge(
        "gypsumrouter_admission_load",
        "Requests that run or wait",
        lambda: {NO_LABELS: scheduler.load},
    )
    app.metrics.gauge(
        "gypsumrouter_admission_running",
        "Requests that run",
        lambda: {NO_LABELS: scheduler.running},
    )
    app.metrics.gauge(
        "gypsumrouter_admission_load_limit", "Highest load that the cap allows now", read_limit
    )
    app.metrics.gauge(
        "gypsumrouter_admission_pool_mean", "Estimated mean load of the other members", read_mean
    )


def make_dump(name: str, capacity: Capacity, scheduler: Scheduler) -> dict[str, object]:
    """Return the admission state as JSON-compatible data."""
    limits = capacity.limits
    active = scheduler.shares.list_active()[:MAX_DUMPED_WORKSPACES]
    return {
        "name": name,
        "load": scheduler.load,
        "running": scheduler.running,
        "waiting": scheduler.queue.size,
        "load_limit": capacity.load_limit,
        "slots": limits.slots if limits else None,
        "queue": limits.queue if limits else None,
        "pool": _dump_pool_estimate(capacity.pool_estimate),
        "workspaces": [_dump_usage(usage) for usage in active],
        "service_times": scheduler.estimates.dump(),
    }


def _dump_pool_estimate(pool_estimate: PoolEstimate | None) -> dict[str, object] | None:
    if pool_estimate is None:
        return None
    return {
        "mean": round(pool_estimate.mean, 3),
        "members": pool_estimate.members,
        "age_ms": pool_estimate.age_ms,
    }


def _dump_usage(usage: WorkspaceUsage) -> dict[str, object]:
    return {
        "name": usage.name,
        "running": usage.running,
        "batch": usage.batch_running,
        "waiting": usage.waiting,
        "share": usage.share,
    }
