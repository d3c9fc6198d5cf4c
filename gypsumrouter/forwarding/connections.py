"""Pool of connections to upstreams.

Connections are kept by incarnation, so that a restarted upstream never gets a request on a
connection to its predecessor. With many routers and upstreams, each pair exchanges a request only
every few seconds: a new connection costs a round trip and a handshake, but an idle one may be
closed by its upstream at the moment of reuse, and a request that must not be repeated then fails.
"""

from __future__ import annotations

import asyncio
import logging
from functools import partial

from msgspec import Struct

from gypsumrouter.core import Application
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.const import CONNECT_TIMEOUT_MS
from gypsumrouter.forwarding.ends.starts import OtherStart, StartProof, UpstreamStarts
from gypsumrouter.forwarding.health.questions import NOT_STATED, ReadStart, UpstreamQuestions
from gypsumrouter.forwarding.health.start_check import StartCheck, StartChecker
from gypsumrouter.forwarding.idle_connections import IdleConnections
from gypsumrouter.forwarding.open_connections import OpenConnections
from gypsumrouter.forwarding.responders import ReadResponder
from gypsumrouter.helpers.http_connection import ConnectFailed, HttpConnection, async_connect

__all__ = ["ConnectionPool", "PooledConnection", "StartCheck"]

_LOGGER = logging.getLogger(__name__)


class PooledConnection(Struct, frozen=True, kw_only=True):
    """A connection for one exchange; `reused` is true if it carried an earlier one."""

    connection: HttpConnection
    reused: bool


class ConnectionPool:
    """Connections of this process to all upstreams.

    Requests that must not be repeated always get a new connection if `reuse_for_all` is false.
    """

    __slots__ = (
        "_app",
        "_asking",
        "_checker",
        "_idle",
        "_open",
        "_opened",
        "_questions",
        "_reuse_for_all",
        "_starts",
    )

    def __init__(
        self,
        *,
        app: Application,
        read_start: ReadStart,
        read_responder: ReadResponder,
        starts: UpstreamStarts,
        reuse_for_all: bool = True,
    ) -> None:
        self._app = app
        self._starts = starts
        self._reuse_for_all = reuse_for_all
        self._open = OpenConnections()
        self._questions = UpstreamQuestions(read_start=read_start, read_responder=read_responder)
        self._checker = StartChecker(
            clock=app.clock,
            starts=starts,
            open_connections=self._open,
            questions=self._questions,
        )
        # Questions under way for the start of an incarnation, beside requests.
        self._asking: dict[str, asyncio.Task[None]] = {}
        self._opened = app.metrics.counter(
            "gypsumrouter_upstream_connections_total", "Connections opened to upstreams"
        )
        self._idle = IdleConnections(app=app, open_connections=self._open)
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
        states, if it states one. With `StartCheck.NOW`, the upstream has answered on it a moment
        ago in any case: a listener that outlives its process accepts connections, too.
        """
        pooled = await self._async_acquire(entry, repeatable=repeatable, timeout_ms=timeout_ms)
        if self._checker.needs_check(entry, pooled.connection, start_check):
            await self._checker.async_verify(
                entry, pooled.connection, timeout_ms=min(CONNECT_TIMEOUT_MS, timeout_ms)
            )
        return pooled

    def prove_start(self, entry: Entry, connection: HttpConnection) -> StartProof:
        """Return the proof that a connection leads to the listed start of an upstream.

        If it isn't proven yet, the upstream is asked on another connection, within a bound.
        """
        is_known = (
            self._starts.is_open_proven(entry, connection) or entry.incarnation in self._asking
        )
        if not is_known and self._starts.may_ask():
            self._ask_start(entry)

        async def async_ask() -> None:
            await asyncio.wait((self._ask_start(entry),))

        return StartProof(starts=self._starts, entry=entry, connection=connection, ask=async_ask)

    def _ask_start(self, entry: Entry) -> asyncio.Task[None]:
        """Return the question for the start of an upstream, a new one unless one is under way."""
        question = self._asking.get(entry.incarnation)
        if question is None:
            question = self._app.async_create_task(self._async_ask_start(entry), "ask for a start")
            self._asking[entry.incarnation] = question
        return question

    async def _async_ask_start(self, entry: Entry) -> None:
        asked_ms = self._app.clock.now_ms()
        try:
            pooled = await self.async_acquire(
                entry,
                repeatable=True,
                timeout_ms=CONNECT_TIMEOUT_MS,
                start_check=StartCheck.CONFIRMED,
            )
        except ConnectFailed as error:
            _LOGGER.debug("Upstream %s did not confirm its start: %s", entry.incarnation, error)
            return
        finally:
            del self._asking[entry.incarnation]
        self._starts.note_stated(entry, at_ms=asked_ms)
        self.release(entry, pooled.connection)

    def is_start_proven(self, entry: Entry, connection: HttpConnection) -> bool:
        """Return whether an open connection is proven to lead to an upstream's listed start."""
        return self._starts.is_open_proven(entry, connection)

    def is_start_known(self, entry: Entry, connection: HttpConnection) -> bool:
        """Return whether a connection is known to lead to the listed start of an upstream."""
        return self._checker.is_known(entry, connection)

    def list_others(self, entry: Entry, connection: HttpConnection) -> tuple[HttpConnection, ...]:
        """Return the other open connections to an upstream."""
        return tuple(self._open.list_others(connection, entry.incarnation))

    def has_open(self, entry: Entry) -> bool:
        """Return whether there is an open connection to an upstream."""
        return bool(self._open.list_open(entry.incarnation))

    def now_ms(self) -> int:
        """Return the time by which connections are opened (monotonic milliseconds)."""
        return self._app.clock.now_ms()

    def get_other_start(self, entry: Entry) -> OtherStart | None:
        """Return the start that an upstream has stated last in place of the listed one."""
        return self._starts.get_other(entry)

    async def async_confirm(
        self,
        entry: Entry,
        *,
        health_path: str,
        timeout_ms: int,
        keep: bool = True,
    ) -> None:
        """Make an upstream say that it is the one that an entry describes; raises ConnectFailed.

        It states its start if its entry does, else its id, which no other start has. A connection
        is opened for that within `timeout_ms`; the answer may take `timeout_ms` more. The
        connection is kept for later requests, or closed unless `keep`.
        """
        asked_ms = self._app.clock.now_ms()
        connection = await self._async_open(entry, timeout_ms=timeout_ms)
        if entry.started_ms:
            await self._checker.async_verify(entry, connection, timeout_ms=timeout_ms)
            if connection.peer_started_ms == NOT_STATED:
                connection.close()
                raise ConnectFailed("the upstream does not state its start", unnamed=True)
            self._starts.note_stated(entry, at_ms=asked_ms)
        else:
            await self._questions.async_verify_id(
                entry, connection, path=health_path, timeout_ms=timeout_ms
            )
        if keep:
            self.release(entry, connection)
        else:
            connection.close()

    async def _async_acquire(
        self, entry: Entry, *, repeatable: bool, timeout_ms: int
    ) -> PooledConnection:
        if repeatable or self._reuse_for_all:
            kept = self._idle.take(entry.incarnation, repeatable=repeatable)
            if kept is not None:
                return PooledConnection(connection=kept, reused=True)
        connection = await self._async_open(
            entry, timeout_ms=min(CONNECT_TIMEOUT_MS, max(1, timeout_ms))
        )
        return PooledConnection(connection=connection, reused=False)

    async def _async_open(self, entry: Entry, *, timeout_ms: int) -> HttpConnection:
        if entry.address is None:
            raise ConnectFailed("the upstream has no address")
        connection = await async_connect(address=entry.address, timeout_ms=timeout_ms)
        connection.opened_ms = self._app.clock.now_ms()
        connection.on_end = partial(self._note_end, connection)
        if not connection.open:
            # Lost between its connect and this line.
            self._note_end(connection)
        self._opened.inc()
        self._open.add(entry.incarnation, connection)
        return connection

    def _note_end(self, connection: HttpConnection) -> None:
        connection.ended_ms = self._app.clock.now_ms()
        connection.ended_by_peer = connection.open or connection.lost_unexpectedly

    def note_answered(self, entry: Entry, connection: HttpConnection, *, sent_ms: int) -> None:
        """Record that a request that was sent at `sent_ms` was answered on a connection.

        If that leads to the listed start, the upstream was still at it then. Further bytes of an
        answer show less: the kernel of a process that has ended goes on to send what it wrote.
        """
        if entry.started_ms and self._starts.is_open_proven(entry, connection):
            self._starts.note_stated(entry, at_ms=sent_ms)

    def release(self, entry: Entry, connection: HttpConnection) -> None:
        """Return a connection after an exchange; it is closed if it cannot be reused."""
        connection.finish()
        self._idle.put(entry.incarnation, connection)

    def close_expired(self) -> None:
        """Close connections that were idle for too long; to be called about once a second."""
        self._starts.sweep(connected=self._open.incarnations)
        self._open.sweep()
        self._idle.close_expired()

    def close_idle(self, upstream: str) -> None:
        """Close all idle connections to an upstream."""
        self._idle.close(upstream)

    async def _async_stop(self) -> None:
        self._idle.close_all()
