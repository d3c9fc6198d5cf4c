"""Constants of the operator endpoint."""

from __future__ import annotations

from typing import Final

DUMP_VERSION: Final = 1

PATH_ALIVE: Final = "/healthz"
PATH_READY: Final = "/readyz"
PATH_METRICS: Final = "/metrics"
PATH_DUMP: Final = "/dump"

ATTR_DUMP_VERSION: Final = "dump_version"
ATTR_INSTANCE: Final = "instance"
ATTR_ROLE: Final = "role"
ATTR_INCARNATION: Final = "incarnation"
ATTR_STATE: Final = "state"
ATTR_READY: Final = "ready"
ATTR_VERSION: Final = "version"
ATTR_WALL_MS: Final = "wall_ms"
ATTR_STARTED_WALL_MS: Final = "started_wall_ms"
ATTR_SECTIONS: Final = "sections"

CONTENT_TYPE_METRICS: Final = "text/plain; version=0.0.4; charset=utf-8"
