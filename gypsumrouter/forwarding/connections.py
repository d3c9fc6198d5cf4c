"""Pool of connections to upstreams.

Connections are kept by incarnation, so that a restarted upstream never gets a request on a
connection to its predecessor. With many routers and upstreams, each pair exchanges a request only
every few seconds: a new connection costs a round trip and a handshake, but an idle one may be
closed by its upstream at the moment of reuse, and a request that must not be repeated then fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import Final

from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.const import CONNECT_TIMEOUT_MS, MAX_IDLE_PER_UPSTREAM
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    StartSource,
    async_connect,
)

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

NOT_STATED: Final = 0
# Returns when the upstream at the other end started (Unix time), NOT_STATED if it doesn't say.
ReadStart = Callable[[HttpConnection], Awaitable[int]]


class StartCheck(Enum):
    """How far the start of an upstream that its entry states is trusted for a request.

    An upstream that has started anew under its id may not be listed yet. IF_LOST: trusted unless a
    connection to the upstream was lost since; ALWAYS: not trusted, unless another connection is
    still open; CONFIRMED: the upstream itself has to state it.
    """

    NEVER = auto()
    IF_LOST = auto()
    ALWAYS = auto()
    CONFIRMED = auto()


class PooledConnection(Struct, frozen=True, kw_only=True):
    """A connection for one exchange; `reused` is true if it carried an earlier one."""

    connection: HttpConnection
    reused: bool


class ConnectionPool:
    """Idle connections of this process; the most recently used one is reused first.

    Requests that must not be repeated always get a new connection if `reuse_for_all` is false.
    """

    __slots__ = ("_app", "_idle", "_lost", "_open", "_opened", "_read_start", "_reuse_for_all")

    def __init__(
        self, *, app: Application, read_start: ReadStart, reuse_for_all: bool = True
    ) -> None:
        self._app = app
        self._read_start = read_start
        self._reuse_for_all = reuse_for_all
        self._idle: dict[str, list[HttpConnection]] = {}
        # All open connections by incarnation, and the incarnations that lost one unexpectedly.
        self._open: dict[str, list[HttpConnection]] = {}
        self._lost: set[str] = set()
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
        self,
        entry: Entry,
        *,
        repeatable: bool,
        timeout_ms: int,
        start_check: StartCheck = StartCheck.NEVER,
    ) -> PooledConnection:
        """Return an idle or a new connection; raises ConnectFailed.

        The upstream may be closing a connection that has been idle for long. A request that must
        not be repeated therefore gets only a connection that was used recently.

        With a `start_check`, the connection leads to the start of the upstream that its entry
        states, if it states one.
        """
        pooled = await self._async_acquire(entry, repeatable=repeatable, timeout_ms=timeout_ms)
        if entry.started_ms and self._needs_check(entry, pooled.connection, start_check):
            await self._async_verify_start(entry, pooled.connection, timeout_ms=timeout_ms)
        return pooled

    def _needs_check(
        self, entry: Entry, connection: HttpConnection, start_check: StartCheck
    ) -> bool:
        """Return whether it has to be verified which start a connection leads to.

        All connections break when an upstream ends. So a new one leads to the same start as one
        that is still open.
        """
        if (
            start_check is StartCheck.CONFIRMED
            and connection.start_source is not StartSource.ANSWER
        ):
            connection.peer_started_ms = None
            return True
        if connection.peer_started_ms is not None:
            return connection.peer_started_ms != entry.started_ms
        others = self._list_open(entry.incarnation)
        if any(other.peer_started_ms == entry.started_ms for other in others):
            connection.peer_started_ms = entry.started_ms
            connection.start_source = StartSource.CONNECTION
            return False
        match start_check:
            case StartCheck.NEVER:
                return False
            case StartCheck.IF_LOST if entry.incarnation not in self._lost:
                connection.peer_started_ms = entry.started_ms
                connection.start_source = StartSource.ENTRY
                return False
        return True

    def _list_open(self, incarnation: str) -> list[HttpConnection]:
        """Return the open connections to an incarnation, and note whether others were lost."""
        known = self._open.get(incarnation, [])
        if any(connection.lost_unexpectedly for connection in known):
            self._lost.add(incarnation)
        still_open = [connection for connection in known if connection.open]
        self._open[incarnation] = still_open
        return still_open

    async def _async_verify_start(
        self, entry: Entry, connection: HttpConnection, *, timeout_ms: int
    ) -> None:
        """Ask for the upstream's start, once for each connection; raises ConnectFailed."""
        if connection.peer_started_ms is None:
            try:
                async with asyncio.timeout(min(CONNECT_TIMEOUT_MS, max(1, timeout_ms)) / MS_PER_S):
                    connection.peer_started_ms = await self._read_start(connection)
            except (ConnectionBroken, TimeoutError) as error:
                connection.close()
                raise ConnectFailed(f"the upstream does not state its start: {error}") from error
            except BaseException:
                connection.close()
                raise
            connection.start_source = StartSource.ANSWER
            connection.finish()
        if connection.peer_started_ms not in (NOT_STATED, entry.started_ms):
            connection.close()
            raise ConnectFailed("another start of the upstream has its address")
        self._lost.discard(entry.incarnation)

    async def _async_acquire(
        self, entry: Entry, *, repeatable: bool, timeout_ms: int
    ) -> PooledConnection:
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
        self._list_open(entry.incarnation).append(connection)
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
        for incarnation in tuple(self._open):
            if not self._list_open(incarnation):
                del self._open[incarnation]
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


def get_max_idle_ms(announced_ms: int | None, *, repeatable: bool) -> int:
    """Return how long a connection may have been idle to be reused for a request.

    `announced_ms` is the keep-alive timeout that the upstream announced, None if it did not.
    """
    if announced_ms is None:
        return DEFAULT_KEEP_ALIVE_MS if repeatable else DEFAULT_NON_REPEATABLE_IDLE_MS
    kept_ms = max(0, announced_ms - KEEP_ALIVE_MARGIN_MS)
    return kept_ms if repeatable else min(kept_ms, int(announced_ms * NON_REPEATABLE_IDLE_RATIO))
