"""Open connections to upstreams, and which upstreams lost one unexpectedly."""

from __future__ import annotations

from collections.abc import Collection

from gypsumrouter.helpers.http_connection import HttpConnection


class OpenConnections:
    """All open connections by incarnation, and the incarnations that lost one unexpectedly."""

    __slots__ = ("_lost", "_open")

    def __init__(self) -> None:
        self._open: dict[str, list[HttpConnection]] = {}
        self._lost: set[str] = set()

    @property
    def incarnations(self) -> Collection[str]:
        """Return the incarnations that had open connections at the last sweep or since."""
        return self._open.keys()

    def add(self, incarnation: str, connection: HttpConnection) -> None:
        """Record a new connection to an incarnation."""
        self.list_open(incarnation).append(connection)

    def list_open(self, incarnation: str) -> list[HttpConnection]:
        """Return the open connections to an incarnation, and note whether others were lost."""
        known = self._open.get(incarnation, [])
        if any(connection.lost_unexpectedly for connection in known):
            self._lost.add(incarnation)
        still_open = [connection for connection in known if connection.open]
        self._open[incarnation] = still_open
        return still_open

    def list_others(self, connection: HttpConnection, incarnation: str) -> list[HttpConnection]:
        """Return the open connections to an incarnation beside one of them."""
        return [other for other in self.list_open(incarnation) if other is not connection]

    def note_lost(self, incarnation: str) -> None:
        """Record that an incarnation has lost a connection unexpectedly."""
        self._lost.add(incarnation)

    def has_lost(self, incarnation: str) -> bool:
        """Return whether an incarnation has lost a connection since its start was verified."""
        return incarnation in self._lost

    def note_verified(self, incarnation: str) -> None:
        """Record that the start of an incarnation was verified after what it has lost."""
        self._lost.discard(incarnation)

    def sweep(self) -> None:
        """Drop incarnations without open connections."""
        for incarnation in tuple(self._open):
            if not self.list_open(incarnation):
                del self._open[incarnation]
