"""Checks that a connection leads to the start of an upstream that its entry states."""

from __future__ import annotations

from enum import Enum, auto

from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.ends.starts import OtherStart, UpstreamStarts
from gypsumrouter.forwarding.health.questions import NOT_STATED, UpstreamQuestions
from gypsumrouter.forwarding.open_connections import OpenConnections
from gypsumrouter.helpers.http_connection import ConnectFailed, HttpConnection, StartSource
from gypsumrouter.util.clock import Clock


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


class StartChecker:
    """Decides whether an upstream has to be asked for its start, and verifies its answer."""

    __slots__ = ("_clock", "_open", "_questions", "_starts")

    def __init__(
        self,
        *,
        clock: Clock,
        starts: UpstreamStarts,
        open_connections: OpenConnections,
        questions: UpstreamQuestions,
    ) -> None:
        self._clock = clock
        self._starts = starts
        self._open = open_connections
        self._questions = questions

    def is_known(self, entry: Entry, connection: HttpConnection) -> bool:
        """Return whether a connection is known to lead to the listed start of an upstream."""
        if self._starts.is_open_proven(entry, connection):
            return True
        others = self._open.list_others(connection, entry.incarnation)
        return any(self._vouches(other, entry) for other in others)

    def needs_check(
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
        source = self._find_source(entry, connection, start_check)
        if source is None:
            connection.peer_started_ms = None
            return True
        connection.peer_started_ms = entry.started_ms
        connection.start_source = source
        return False

    async def async_verify(
        self, entry: Entry, connection: HttpConnection, *, timeout_ms: int
    ) -> None:
        """Ask for the upstream's start, once for each connection; raises ConnectFailed."""
        if connection.peer_started_ms is None:
            connection.peer_started_ms = await self._questions.async_read_start(
                connection, timeout_ms=timeout_ms
            )
            connection.start_source = StartSource.ANSWER
        if entry.started_ms and connection.peer_started_ms not in (NOT_STATED, entry.started_ms):
            connection.close()
            other = OtherStart(
                started_ms=connection.peer_started_ms or NOT_STATED,
                listens_ms=connection.opened_ms,
                stated_ms=self._clock.now_ms(),
            )
            self._starts.note_contradicted(entry, other)
            raise ConnectFailed("another start of the upstream has its address", other_start=True)
        self._open.note_verified(entry.incarnation)

    def _find_source(
        self, entry: Entry, connection: HttpConnection, start_check: StartCheck
    ) -> StartSource | None:
        """Return how the start of a connection is known or taken for known, None if neither."""
        others = self._open.list_others(connection, entry.incarnation)
        if self._starts.is_open_proven(entry, connection):
            return StartSource.LIST
        if any(self._vouches(other, entry) for other in others):
            return StartSource.CONNECTION
        if start_check is not StartCheck.IF_LOST or self._starts.is_contradicted(entry):
            return None
        return None if self._open.has_lost(entry.incarnation) else StartSource.ENTRY

    def _vouches(self, other: HttpConnection, entry: Entry) -> bool:
        """Return whether an open connection is known to lead to the start of an entry."""
        if other.may_have_ended() or other.peer_started_ms not in (None, entry.started_ms):
            return False
        return self._starts.is_open_proven(entry, other)
