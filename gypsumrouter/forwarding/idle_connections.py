"""Connections to upstreams that are kept for later requests, and for how long."""

from __future__ import annotations

from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.forwarding.const import MAX_IDLE_PER_UPSTREAM
from gypsumrouter.forwarding.open_connections import OpenConnections
from gypsumrouter.helpers.http_connection import HttpConnection
from gypsumrouter.helpers.socket_state import has_peer_ended
from gypsumrouter.util.clock import Clock

# Used if the upstream announces no keep-alive timeout; servers usually keep idle connections for
# five seconds or more.
DEFAULT_KEEP_ALIVE_MS: Final = 4_000
# As above, for requests that must not be repeated.
DEFAULT_NON_REPEATABLE_IDLE_MS: Final = 1_500
# Connections are discarded this long before the upstream closes them, to allow for network delay
# and for pauses of this process.
KEEP_ALIVE_MARGIN_MS: Final = 1_000
# Requests that must not be repeated use a connection only within this part of the announced time.
# A path that fell silent is found by the kernel's probes within three seconds.
NON_REPEATABLE_IDLE_RATIO: Final = 0.5


class IdleConnections:
    """Idle connections by incarnation; the most recently used one is reused first."""

    __slots__ = ("_clock", "_idle", "_open")

    def __init__(self, *, app: Application, open_connections: OpenConnections) -> None:
        self._clock: Clock = app.clock
        self._open = open_connections
        self._idle: dict[str, list[HttpConnection]] = {}
        app.metrics.gauge(
            "gypsumrouter_upstream_connections_idle",
            "Connections to upstreams that are kept for later",
            lambda: {(): float(sum(len(idle) for idle in self._idle.values()))},
        )

    def take(self, incarnation: str, *, repeatable: bool) -> HttpConnection | None:
        """Return an idle connection to an upstream for a request, None if none can be reused."""
        now_ms = self._clock.now_ms()
        idle = self._idle.get(incarnation)
        while idle:
            connection = idle.pop()
            if has_peer_ended(connection.transport):
                # Its end is read later, as this process stood still or is busy.
                self._open.note_lost(incarnation)
                continue
            if not _is_usable(connection, now_ms):
                connection.close()
                continue
            if not _is_usable(connection, now_ms, repeatable=repeatable):
                idle.append(connection)
                break
            return connection
        return None

    def put(self, incarnation: str, connection: HttpConnection) -> None:
        """Keep a connection to an upstream; it is closed if it cannot be reused."""
        idle = self._idle.setdefault(incarnation, [])
        if not connection.reusable or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.idle_since_ms = self._clock.now_ms()
        idle.append(connection)

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        now_ms = self._clock.now_ms()
        for incarnation, idle in tuple(self._idle.items()):
            kept = [connection for connection in idle if _is_usable(connection, now_ms)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            self._idle[incarnation] = kept
            if not kept:
                del self._idle[incarnation]

    def close(self, incarnation: str) -> None:
        """Close all idle connections to an upstream."""
        for connection in self._idle.pop(incarnation, ()):
            connection.close()

    def close_all(self) -> None:
        """Close all idle connections."""
        for incarnation in tuple(self._idle):
            self.close(incarnation)


def _is_usable(connection: HttpConnection, now_ms: int, *, repeatable: bool = True) -> bool:
    max_idle_ms = get_max_idle_ms(connection.keep_alive_ms, repeatable=repeatable)
    return connection.reusable and now_ms - connection.idle_since_ms < max_idle_ms


def get_max_idle_ms(announced_ms: int | None, *, repeatable: bool) -> int:
    """Return how long a connection may have been idle to be reused for a request.

    `announced_ms` is the keep-alive timeout that the upstream announced, None if it did not.
    """
    if announced_ms is None:
        return DEFAULT_KEEP_ALIVE_MS if repeatable else DEFAULT_NON_REPEATABLE_IDLE_MS
    kept_ms = max(0, announced_ms - KEEP_ALIVE_MARGIN_MS)
    return kept_ms if repeatable else min(kept_ms, int(announced_ms * NON_REPEATABLE_IDLE_RATIO))
