"""What membership adds to the state dump and to the metrics."""

from __future__ import annotations

from gypsumrouter.fleet.evidence import EvidenceBook, Standing
from gypsumrouter.fleet.view import View
from gypsumrouter.helpers.metrics import Labels
from gypsumrouter.instances import Instance

LABEL_STANDING = "standing"


def count_standings(view: View, evidence: EvidenceBook) -> dict[Labels, float]:
    """Return the number of instances for each standing."""
    counts: dict[Labels, float] = {_label(standing): 0.0 for standing in Standing}
    for instance in view.list_all():
        counts[_label(evidence.get_standing(instance))] += 1
    return counts


def dump_instance(instance: Instance, evidence: EvidenceBook, now_ms: int) -> dict[str, object]:
    """Return one instance as plain JSON data."""
    entry = evidence.get(instance.name)
    return {
        "name": instance.name,
        "role": instance.role.value,
        "pool": instance.pool,
        "address": str(instance.address),
        "state": instance.state.value,
        "standing": evidence.get_standing(instance).name.lower(),
        "reachable": entry.reachable,
        "penalty": round(entry.get_penalty(now_ms), 1),
    }


def _label(standing: Standing) -> Labels:
    return ((LABEL_STANDING, standing.name.lower()),)
