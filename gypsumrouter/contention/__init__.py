"""Order and admission of requests while upstreams lack capacity."""

from __future__ import annotations

from gypsumrouter.contention.control import ContentionControl
from gypsumrouter.contention.decision import get_hold_ms
from gypsumrouter.contention.models import (
    Admitted,
    Claim,
    Expected,
    Refused,
    Return,
    ReturnSchedule,
    ServiceWork,
    WorkspaceShares,
)

__all__ = [
    "Admitted",
    "Claim",
    "ContentionControl",
    "Expected",
    "Refused",
    "Return",
    "ReturnSchedule",
    "ServiceWork",
    "WorkspaceShares",
    "get_hold_ms",
]
