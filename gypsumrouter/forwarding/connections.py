"""Kept connections to upstreams, by incarnation: a new start never gets an old connection."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.core import Application
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.const import CONNECT_MS, MAX_IDLE_PER_UPSTREAM
from gypsumrouter.forwarding.keeping import get_max_idle_ms
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    HttpConnection,
    async_connect,
)


class Leased(Struct, frozen=True, kw_only=True):
    """A connection for one exchange; `kept` ones carried an exchange before."""

    connection: HttpConnection
    kept: bool


class UpstreamConnections:
    """The idle connections of this process, newest first."""

    __slots__ = ("_app", "_idle", "_kept_for_all", "_opened")

    def __init__(self, *, app: Application, kept_for_all: bool = True) -> None:
        self._app = app
        self._kept_for_all = kept_for_all
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

    async def async_lease(self, entry: Entry, *, repeatable: bool, timeout_ms: int) -> Leased:
        """Return a connection; raises ConnectFailed.

        A request that must not be repeated gets a kept connection only if that was used a moment
        ago: its upstream may be closing it.
        """
        now_ms = self._app.clock.now_ms()
        idle = self._idle.get(entry.incarnation)
        while idle and (repeatable or self._kept_for_all):
            connection = idle.pop()
            if not _is_usable(connection, now_ms):
                connection.close()
                continue
            if not _is_usable(connection, now_ms, repeatable=repeatable):
                idle.append(connection)
                break
            return Leased(connection=connection, kept=True)
        if entry.address is None:
            raise ConnectFailed("the upstream has no address")
        connection = await async_connect(
            address=entry.address, timeout_ms=min(CONNECT_MS, max(1, timeout_ms))
        )
        self._opened.inc()
        return Leased(connection=connection, kept=False)

    def give_back(self, entry: Entry, connection: HttpConnection) -> None:
        """Keep a connection whose exchange is over, or close it."""
        connection.finish()
        idle = self._idle.setdefault(entry.incarnation, [])
        if not connection.reusable or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.idle_since_ms = self._app.clock.now_ms()
        idle.append(connection)

    def sweep(self) -> None:
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

    def forget(self, upstream: str) -> None:
        """Close the idle connections to an upstream that ends."""
        for connection in self._idle.pop(upstream, ()):
            connection.close()

    async def _async_stop(self) -> None:
        for upstream in tuple(self._idle):
            self.forget(upstream)


def _is_usable(connection: HttpConnection, now_ms: int, *, repeatable: bool = True) -> bool:
    max_idle_ms = get_max_idle_ms(connection.keep_alive_ms, repeatable=repeatable)
    return connection.reusable and now_ms - connection.idle_since_ms < max_idle_ms
