"""The routing configuration in force; within one process its version only goes up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumrouter.core import Application, Remove
from gypsumrouter.journal import ConfigurationAccepted, Journal
from gypsumrouter.routing.models import CallerLimits, RoutingConfiguration
from gypsumrouter.routing.table import RoutingTable

Listener = Callable[[RoutingTable], None]


class RoutingStore:
    """Holds the newest version that was seen, from the platform or from a peer."""

    __slots__ = ("_journal", "_listeners", "ready", "table")

    def __init__(self, *, app: Application, journal: Journal) -> None:
        self._journal = journal
        self._listeners: list[Listener] = []
        self.table: RoutingTable | None = None
        self.ready = asyncio.Event()
        app.add_dump_section("routing", self._dump)

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return 0 if self.table is None else self.table.configuration.version

    @property
    def limits(self) -> CallerLimits:
        """Return what callers may send; defaults before the first version."""
        return CallerLimits() if self.table is None else self.table.configuration.limits

    def offer(self, configuration: RoutingConfiguration, *, source: str) -> bool:
        """Put a version in force if it is newer; return whether it was."""
        if configuration.version <= self.version:
            return False
        previous = self.version
        self.table = RoutingTable(configuration=configuration)
        self._journal.record(
            ConfigurationAccepted(
                version=configuration.version,
                previous=previous,
                source=source,
                routes=len(configuration.routes),
                workspaces=len(configuration.workspaces),
            )
        )
        for listener in tuple(self._listeners):
            listener(self.table)
        self.ready.set()
        return True

    def on_change(self, listener: Listener) -> Remove:
        """Call `listener` with each table that comes into force."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _dump(self) -> object:
        if self.table is None:
            return {"version": 0}
        configuration = self.table.configuration
        return {
            "version": configuration.version,
            "routes": len(configuration.routes),
            "services": [service.name for service in configuration.services],
            "workspaces": [workspace.name for workspace in configuration.workspaces],
        }
