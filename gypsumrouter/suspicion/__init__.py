"""Detection, isolation and refusal of requests that crash their upstream."""

from __future__ import annotations

from gypsumrouter.suspicion.gate import RunPermit
from gypsumrouter.suspicion.isolation import select_isolation_instances
from gypsumrouter.suspicion.outcomes import Clear, Suspect, Verdict
from gypsumrouter.suspicion.tracker import SuspectTracker

__all__ = [
    "Clear",
    "RunPermit",
    "Suspect",
    "SuspectTracker",
    "Verdict",
    "select_isolation_instances",
]
