"""Holds the routing configuration in effect; its version never decreases within a process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumrouter.core import Application, Remove
from gypsumrouter.journal import ConfigurationAccepted, Journal
from gypsumrouter.routing.models import CallerLimits, RoutingConfiguration
from gypsumrouter.routing.table import RoutingTable

Listener = Callable[[RoutingTable], None]


class RoutingStore:
    """The highest version received, from the platform or from a peer."""

    __slots__ = ("_journal", "_listeners", "ready", "table")

    def __init__(self, *, app: Application, journal: Journal) -> None:
        self._journal = journal
        self._listeners: list[Listener] = []
        self.table: RoutingTable | None = None
        self.ready = asyncio.Event()
        app.add_dump_section("routing", self._dump)

    @property
    def version(self) -> int:
        """Return the version in effect; 0 before the first."""
        return 0 if self.table is None else self.table.configuration.version

    @property
    def limits(self) -> CallerLimits:
        """Return the limits for callers; the defaults before the first version."""
        return CallerLimits() if self.table is None else self.table.configuration.limits

    def offer(self, configuration: RoutingConfiguration, *, source: str) -> bool:
        """Apply a configuration if its version is higher; return whether it was applied."""
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
        """Call `listener` with every new routing table."""
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
