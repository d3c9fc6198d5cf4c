"""Kept connections to upstreams, by incarnation: a new start never gets an old connection."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.core import Application
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.const import CONNECT_TIMEOUT_MS, MAX_IDLE_PER_UPSTREAM
from gypsumrouter.forwarding.keep_alive import get_max_idle_ms
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    HttpConnection,
    async_connect,
)


class PooledConnection(Struct, frozen=True, kw_only=True):
    """A connection for one exchange; `kept` ones carried an exchange before."""

    connection: HttpConnection
    reused: bool


class ConnectionPool:
    """The idle connections of this process, newest first."""

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
        """Return a connection; raises ConnectFailed.

        A request that must not be repeated gets a kept connection only if that was used a moment
        ago: its upstream may be closing it.
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
        """Keep a connection whose exchange is over, or close it."""
        connection.finish()
        idle = self._idle.setdefault(entry.incarnation, [])
        if not connection.reusable or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.idle_since_ms = self._app.clock.now_ms()
        idle.append(connection)

    def close_expired(self) -> None:
        """Close what was idle for too long; call it about once a second."""
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
        """Close the idle connections to an upstream that ends."""
        for connection in self._idle.pop(upstream, ()):
            connection.close()

    async def _async_stop(self) -> None:
        for upstream in tuple(self._idle):
            self.close_idle(upstream)


def _is_usable(connection: HttpConnection, now_ms: int, *, repeatable: bool = True) -> bool:
    max_idle_ms = get_max_idle_ms(connection.keep_ms, repeatable=repeatable)
    return connection.reusable and now_ms - connection.idle_since_ms < max_idle_ms
