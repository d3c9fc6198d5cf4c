"""Pool of connections to upstreams.

Connections are kept by incarnation, so that a restarted upstream never gets a request on a
connection to its predecessor. With many routers and upstreams, each pair exchanges a request only
every few seconds: a new connection costs a round trip and a handshake, but an idle one may be
closed by its upstream at the moment of reuse, and a request that must not be repeated then fails.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from functools import partial
from typing import Final, TypeVar

from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.const import CONNECT_TIMEOUT_MS, MAX_IDLE_PER_UPSTREAM
from gypsumrouter.forwarding.ends.starts import OtherStart, StartProof, UpstreamStarts
from gypsumrouter.forwarding.responders import ReadResponder, Responder
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    HttpConnection,
    StartSource,
    async_connect,
)
from gypsumrouter.helpers.http_response import (
    ConnectionBroken,
)
from gypsumrouter.helpers.socket_state import has_peer_ended

_LOGGER = logging.getLogger(__name__)

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

Answered = TypeVar("Answered")

NOT_STATED: Final = 0
# Returns when the upstream at the other end started (Unix time), NOT_STATED if it doesn't say.
ReadStart = Callable[[HttpConnection], Awaitable[int]]


class StartCheck(Enum):
    """How far the start of an upstream that its entry states is trusted for a request.

    An upstream that has started anew under its id may not be listed yet. IF_LOST: trusted unless a
    connection to the upstream was lost since, or led to another start; ALWAYS: not trusted, unless
    it is proven (see `is_start_proven`); CONFIRMED: the upstream itself has to state it; NOW: it
    has to respond to that question at this moment, also if its entry states no start.
    """

    NEVER = auto()
    IF_LOST = auto()
    ALWAYS = auto()
    CONFIRMED = auto()
    NOW = auto()


class PooledConnection(Struct, frozen=True, kw_only=True):
    """A connection for one exchange; `reused` is true if it carried an earlier one."""

    connection: HttpConnection
    reused: bool


class ConnectionPool:
    """Idle connections of this process; the most recently used one is reused first.

    Requests that must not be repeated always get a new connection if `reuse_for_all` is false.
    """

    __slots__ = (
        "_app",
        "_idle",
        "_lost",
        "_open",
        "_opened",
        "_questions",
        "_read_responder",
        "_read_start",
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
        self._read_responder = read_responder
        self._read_start = read_start
        self._reuse_for_all = reuse_for_all
        self._idle: dict[str, list[HttpConnection]] = {}
        # All open connections by incarnation, and the incarnations that lost one unexpectedly.
        self._open: dict[str, list[HttpConnection]] = {}
        self._lost: set[str] = set()
        # Questions for the start of an incarnation, beside requests.
        self._questions: dict[str, asyncio.Task[None]] = {}
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
        states, if it states one. With `StartCheck.NOW`, the upstream has answered on it a moment
        ago in any case: a listener that outlives its process accepts connections, too.
        """
        pooled = await self._async_acquire(entry, repeatable=repeatable, timeout_ms=timeout_ms)
        if self._needs_check(entry, pooled.connection, start_check):
            await self._async_verify_start(
                entry, pooled.connection, timeout_ms=min(CONNECT_TIMEOUT_MS, timeout_ms)
            )
        return pooled

    def prove_start(self, entry: Entry, connection: HttpConnection) -> StartProof:
        """Return the proof that a connection leads to the listed start of an upstream.

        If it isn't proven yet, the upstream is asked on another connection, within a bound.
        """
        is_known = (
            self._starts.is_open_proven(entry, connection) or entry.incarnation in self._questions
        )
        if not is_known and self._starts.may_ask():
            self._ask_start(entry)

        async def async_ask() -> None:
            await asyncio.wait((self._ask_start(entry),))

        return StartProof(starts=self._starts, entry=entry, connection=connection, ask=async_ask)

    def _ask_start(self, entry: Entry) -> asyncio.Task[None]:
        """Return the question for the start of an upstream, a new one unless one is under way."""
        question = self._questions.get(entry.incarnation)
        if question is None:
            question = self._app.async_create_task(self._async_ask_start(entry), "ask for a start")
            self._questions[entry.incarnation] = question
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
            del self._questions[entry.incarnation]
        self._starts.note_stated(entry, at_ms=asked_ms)
        self.release(entry, pooled.connection)

    def is_start_proven(self, entry: Entry, connection: HttpConnection) -> bool:
        """Return whether an open connection is proven to lead to an upstream's listed start."""
        return self._starts.is_open_proven(entry, connection)

    def is_start_known(self, entry: Entry, connection: HttpConnection) -> bool:
        """Return whether a connection is known to lead to the listed start of an upstream."""
        if self._starts.is_open_proven(entry, connection):
            return True
        others = self._list_open(entry.incarnation)
        return any(self._vouches(other, entry) for other in others if other is not connection)

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
            await self._async_verify_start(entry, connection, timeout_ms=timeout_ms)
            if connection.peer_started_ms == NOT_STATED:
                connection.close()
                raise ConnectFailed("the upstream does not state its start", unnamed=True)
            self._starts.note_stated(entry, at_ms=asked_ms)
        else:
            await self._async_verify_id(entry, connection, path=health_path, timeout_ms=timeout_ms)
        if keep:
            self.release(entry, connection)
        else:
            connection.close()

    def _needs_check(
        self, entry: Entry, connection: HttpConnection, start_check: StartCheck
    ) -> bool:
        """Return whether the upstream has to be asked which start a connection leads to.

        A new connection is taken to lead to the same start as one that is still open, if the start
        of that one is known and not only taken from its entry. That is no proof: see `StartSource`.
        """
        if start_check is StartCheck.NEVER:
            return False
        if start_check is StartCheck.NOW:
            connection.peer_started_ms = None
            return True
        if not entry.started_ms:
            return False
        if connection.start_source is StartSource.ANSWER:
            return connection.peer_started_ms != entry.started_ms
        if start_check is StartCheck.CONFIRMED:
            connection.peer_started_ms = None
            return True
        if connection.start_source in (StartSource.CONNECTION, StartSource.LIST):
            return connection.peer_started_ms != entry.started_ms
        source = self._find_start_source(entry, connection, start_check)
        if source is None:
            connection.peer_started_ms = None
            return True
        connection.peer_started_ms = entry.started_ms
        connection.start_source = source
        return False

    def _find_start_source(
        self, entry: Entry, connection: HttpConnection, start_check: StartCheck
    ) -> StartSource | None:
        """Return how the start of a connection is known or taken for known, None if neither."""
        others = self._list_open(entry.incarnation)
        if self._starts.is_open_proven(entry, connection):
            return StartSource.LIST
        if any(self._vouches(other, entry) for other in others if other is not connection):
            return StartSource.CONNECTION
        if start_check is not StartCheck.IF_LOST or self._starts.is_contradicted(entry):
            return None
        return None if entry.incarnation in self._lost else StartSource.ENTRY

    def _vouches(self, other: HttpConnection, entry: Entry) -> bool:
        """Return whether an open connection is known to lead to the start of an entry."""
        if other.may_have_ended() or other.peer_started_ms not in (None, entry.started_ms):
            return False
        return self._starts.is_open_proven(entry, other)

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
            connection.peer_started_ms = await _async_ask(
                connection, self._read_start(connection), timeout_ms=timeout_ms
            )
            connection.start_source = StartSource.ANSWER
        if entry.started_ms and connection.peer_started_ms not in (NOT_STATED, entry.started_ms):
            connection.close()
            other = OtherStart(
                started_ms=connection.peer_started_ms or NOT_STATED,
                listens_ms=connection.opened_ms,
                stated_ms=self._app.clock.now_ms(),
            )
            self._starts.note_contradicted(entry, other)
            raise ConnectFailed("another start of the upstream has its address", other_start=True)
        self._lost.discard(entry.incarnation)

    async def _async_verify_id(
        self, entry: Entry, connection: HttpConnection, *, path: str, timeout_ms: int
    ) -> None:
        """Ask for the upstream's id; raises ConnectFailed."""
        question = self._read_responder(connection, path=path, upstream=entry.upstream)
        match await _async_ask(connection, question, timeout_ms=timeout_ms):
            case Responder.OTHER:
                connection.close()
                raise ConnectFailed("another upstream has its address", other_start=True)
            case Responder.UNKNOWN:
                connection.close()
                raise ConnectFailed("the answer names no upstream", unnamed=True)

    async def _async_acquire(
        self, entry: Entry, *, repeatable: bool, timeout_ms: int
    ) -> PooledConnection:
        now_ms = self._app.clock.now_ms()
        idle = self._idle.get(entry.incarnation)
        while idle and (repeatable or self._reuse_for_all):
            connection = idle.pop()
            if has_peer_ended(connection.transport):
                # Its end is read later, as this process stood still or is busy.
                self._lost.add(entry.incarnation)
                continue
            if not _is_usable(connection, now_ms):
                connection.close()
                continue
            if not _is_usable(connection, now_ms, repeatable=repeatable):
                idle.append(connection)
                break
            return PooledConnection(connection=connection, reused=True)
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
        self._list_open(entry.incarnation).append(connection)
        return connection

    def _note_end(self, connection: HttpConnection) -> None:
        connection.ended_ms = self._app.clock.now_ms()

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
        idle = self._idle.setdefault(entry.incarnation, [])
        if not connection.reusable or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.idle_since_ms = self._app.clock.now_ms()
        idle.append(connection)

    def close_expired(self) -> None:
        """Close connections that were idle for too long; to be called about once a second."""
        self._starts.sweep(connected=self._open.keys())
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


async def _async_ask(
    connection: HttpConnection, question: Awaitable[Answered], *, timeout_ms: int
) -> Answered:
    """Return the answer to a question on a connection, which is closed without one.

    Raises ConnectFailed.
    """
    asking = asyncio.ensure_future(question)
    try:
        # In halves: after a pause of this process that is longer than the timeout, an answer that
        # arrived meanwhile is still read in the second one.
        for _ in range(2):
            if not asking.done():
                await asyncio.wait((asking,), timeout=max(1, timeout_ms) / 2 / MS_PER_S)
        if not asking.done():
            raise TimeoutError
        answer = asking.result()
    except (ConnectionBroken, TimeoutError) as error:
        dropped = not connection.open
        connection.close()
        silent = isinstance(error, TimeoutError)
        message = f"the upstream does not say who it is: {error}"
        raise ConnectFailed(message, silent=silent, dropped=dropped) from error
    except BaseException:
        connection.close()
        raise
    finally:
        asking.cancel()
    connection.finish()
    return answer


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
