"""Pool of connections to upstreams.

Connections are kept by incarnation, so that a restarted upstream never gets a request on a
connection to its predecessor.
"""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.core import Application
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.const import CONNECT_TIMEOUT_MS, MAX_IDLE_PER_UPSTREAM
from gypsumrouter.forwarding.keeping import get_max_idle_ms
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    HttpConnection,
    async_connect,
)


class PooledConnection(Struct, frozen=True, kw_only=True):
    """A connection for one exchange; `reused` is true if it carried an earlier one."""

    connection: HttpConnection
    reused: bool


class ConnectionPool:
    """Idle connections of this process; the most recently used one is reused first.

    Requests that must not be repeated always get a new connection if `reuse_for_all` is false.
    """

    __slots__ = ("_app", "_idle", "_opened", "_reuse_for_all")

    def __init__(self, *, app: Application, reuse_for_all: bool = True) -> None:
        self._app = app
        self._reuse_for_all = reuse_for_all
        self._idle: dict[str, list[HttpConnection]] = {}
        self._opened = app.metrics.counter(
            "gypsumrouter_upstream_connections_total", "Connections opened to upstreams"
        )
        app.metrics.gauge(
            "gypsumrouter_upstream_connections_idle",
            "Connections to upstreams that are kept for later",
            lambda: {(): float(sum(len(idle) for idle in self._idle.values()))},
        )
        app.on_stop(self._async_stop)

    async def async_acquire(
        self, entry: Entry, *, repeatable: bool, timeout_ms: int
    ) -> PooledConnection:
        """Return an idle or a new connection; raises ConnectFailed.

        The upstream may be closing a connection that has been idle for long. A request that must
        not be repeated therefore gets only a connection that was used recently.
        """
        now_ms = self._app.clock.now_ms()
        idle = self._idle.get(entry.incarnation)
        while idle and (repeatable or self._reuse_for_all):
            connection = idle.pop()
            if not _is_usable(connection, now_ms):
                connection.close()
                continue
            if not _is_usable(connection, now_ms, repeatable=repeatable):
                idle.append(connection)
                break
            return PooledConnection(connection=connection, reused=True)
        if entry.address is None:
            raise ConnectFailed("the upstream has no address")
        connection = await async_connect(
            address=entry.address, timeout_ms=min(CONNECT_TIMEOUT_MS, max(1, timeout_ms))
        )
        self._opened.inc()
        return PooledConnection(connection=connection, reused=False)

    def release(self, entry: Entry, connection: HttpConnection) -> None:
        """Return a connection after an exchange; it is closed if it cannot be reused."""
        connection.finish()
        idle = self._idle.setdefault(entry.incarnation, [])
        if not connection.reusable or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.idle_since_ms = self._app.clock.now_ms()
        idle.append(connection)

    def close_expired(self) -> None:
        """Close connections that were idle for too long; to be called about once a second."""
        now_ms = self._app.clock.now_ms()
        for upstream, idle in tuple(self._idle.items()):
            kept = [connection for connection in idle if _is_usable(connection, now_ms)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            self._idle[upstream] = kept
            if not kept:
                del self._idle[upstream]

    def close_idle(self, upstream: str) -> None:
        """Close all idle connections to an upstream."""
        for connection in self._idle.pop(upstream, ()):
            connection.close()

    async def _async_stop(self) -> None:
        for upstream in tuple(self._idle):
            self.close_idle(upstream)


def _is_usable(connection: HttpConnection, now_ms: int, *, repeatable: bool = True) -> bool:
    max_idle_ms = get_max_idle_ms(connection.keep_alive_ms, repeatable=repeatable)
    return connection.reusable and now_ms - connection.idle_since_ms < max_idle_ms
