"""Decisions of the forwarder while upstreams lack capacity for all requests."""

from __future__ import annotations

from gypsumrouter.contention.control import ContentionControl
from gypsumrouter.contention.decision import get_hold_ms
from gypsumrouter.contention.models import Admitted, Claim, Expected, Refused, ServiceWork
from gypsumrouter.contention.peer_usage import MAX_ENTRIES
from gypsumrouter.contention.return_lane import FleetPosition
from gypsumrouter.contention.returns import Return, ReturnSchedule
from gypsumrouter.contention.workspaces import WorkspaceShares

__all__ = [
    "MAX_ENTRIES",
    "Admitted",
    "Claim",
    "ContentionControl",
    "Expected",
    "FleetPosition",
    "Refused",
    "Return",
    "ReturnSchedule",
    "ServiceWork",
    "WorkspaceShares",
    "get_hold_ms",
]
