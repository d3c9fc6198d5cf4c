"""HTTP endpoint for operators: health, metrics and the state dump.

The servers are imported lazily, since each role uses only one of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from gypsumrouter.operators.access import (
    ATTR_DUMP_VERSION,
    ATTR_INCARNATION,
    ATTR_INSTANCE,
    ATTR_READY,
    ATTR_ROLE,
    ATTR_SECTIONS,
    ATTR_STATE,
    ATTR_VERSION,
    DUMP_VERSION,
    PATH_ALIVE,
    PATH_DUMP,
    PATH_METRICS,
    PATH_READY,
    Access,
    check_access,
)

if TYPE_CHECKING:
    from gypsumrouter.operators.probes import ProbesServer
    from gypsumrouter.operators.server import OperatorsServer

__all__ = [
    "ATTR_DUMP_VERSION",
    "ATTR_INCARNATION",
    "ATTR_INSTANCE",
    "ATTR_READY",
    "ATTR_ROLE",
    "ATTR_SECTIONS",
    "ATTR_STATE",
    "ATTR_VERSION",
    "DUMP_VERSION",
    "PATH_ALIVE",
    "PATH_DUMP",
    "PATH_METRICS",
    "PATH_READY",
    "Access",
    "OperatorsServer",
    "ProbesServer",
    "check_access",
]


def __getattr__(name: str) -> Any:
    match name:
        case "OperatorsServer":
            from gypsumrouter.operators.server import OperatorsServer

            return OperatorsServer
        case "ProbesServer":
            from gypsumrouter.operators.probes import ProbesServer

            return ProbesServer
    raise AttributeError(name)
