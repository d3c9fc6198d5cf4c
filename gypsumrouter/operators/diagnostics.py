"""Versioned state dump of a process."""

from __future__ import annotations

from gypsumrouter.const import VERSION
from gypsumrouter.core import Application
from gypsumrouter.operators.access import (
    ATTR_DUMP_VERSION,
    ATTR_INCARNATION,
    ATTR_INSTANCE,
    ATTR_READY,
    ATTR_ROLE,
    ATTR_SECTIONS,
    ATTR_STARTED_WALL_MS,
    ATTR_STATE,
    ATTR_VERSION,
    ATTR_WALL_MS,
    DUMP_VERSION,
)


def make_dump(*, app: Application, ready: bool) -> dict[str, object]:
    """Return the state of a process as plain JSON data."""
    return {
        ATTR_DUMP_VERSION: DUMP_VERSION,
        ATTR_INSTANCE: app.name,
        ATTR_ROLE: app.role.value,
        ATTR_INCARNATION: app.incarnation,
        ATTR_STATE: app.state.value,
        ATTR_READY: ready,
        ATTR_VERSION: VERSION,
        ATTR_WALL_MS: app.clock.wall_ms(),
        ATTR_STARTED_WALL_MS: app.started_wall_ms,
        ATTR_SECTIONS: app.dump(),
    }
