"""State dump and metrics of the membership."""

from __future__ import annotations

from gypsumrouter.fleet.health import HealthStatus, HealthTracker
from gypsumrouter.fleet.view import MembershipView
from gypsumrouter.helpers.metrics import Labels
from gypsumrouter.instances import Instance

LABEL_STANDING = "standing"


def count_by_status(view: MembershipView, health: HealthTracker) -> dict[Labels, float]:
    """Return the number of instances for each health status."""
    counts: dict[Labels, float] = {_label(status): 0.0 for status in HealthStatus}
    for instance in view.list_all():
        counts[_label(health.get_status(instance))] += 1
    return counts


def dump_instance(instance: Instance, health: HealthTracker, now_ms: int) -> dict[str, object]:
    """Return one instance as plain JSON data."""
    entry = health.get(instance.name)
    return {
        "name": instance.name,
        "role": instance.role.value,
        "pool": instance.pool,
        "address": str(instance.address),
        "state": instance.state.value,
        "standing": health.get_status(instance).name.lower(),
        "reachable": entry.reachable,
        "penalty": round(entry.get_penalty(now_ms), 1),
    }


def _label(status: HealthStatus) -> Labels:
    return ((LABEL_STANDING, status.name.lower()),)
