"""Answers that end with their connection, and the questions that are asked behind their ends."""

from __future__ import annotations

import asyncio
from typing import Final

from msgspec import Struct

from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.ends.timing import EndTiming, read_timing
from gypsumrouter.forwarding.ends.verdicts import EndVerdict
from gypsumrouter.helpers.arrivals import Arrivals
from gypsumrouter.helpers.http_connection import HttpConnection

# The connections of a start that ends are closed within this time of each other.
SETTLE_MS: Final = 40
# The same where something that stands before the start passes the ends on, one after the other.
LOSS_MS: Final = 500


class Probe(Struct, frozen=True, kw_only=True):
    """A question to an upstream, asked at `begun_ms` (monotonic milliseconds).

    `number` is its place among all questions and all ends that were noticed.
    """

    begun_ms: int
    number: int
    task: asyncio.Task[EndVerdict]

    def was_asked_after(self, watch: EndWatch, *, ended_ms: int) -> bool:
        """Return whether it was asked after the end of an answer, at `ended_ms` by the clock."""
        return self.begun_ms > ended_ms or self.number > watch.number


class EndWatch(Struct, kw_only=True, eq=False):
    """An answer that ends with its connection.

    `is_of_listed` is whether it was proven, when the watch began, that the listed start gives it;
    another start that is met later has come after that one. `paused_ms` is when its reading was
    first paused (monotonic milliseconds), 0 if it wasn't: from then on its end may have come
    unseen, since a FIN stays behind bytes for which the receive window has no room. `number` is
    the place of the end among all ends and questions, as `Probe.number`. `others` are the
    connections to the upstream that were open beside it at its end. `arrivals` are those of its
    parts since the watch began. `is_text`: it is no stream of events.
    """

    entry: Entry
    connection: HttpConnection
    is_of_listed: bool
    arrivals: Arrivals
    is_text: bool = True
    paused_ms: int = 0
    number: int = 0
    others: tuple[HttpConnection, ...] = ()
    task: asyncio.Task[EndVerdict] | None = None

    @property
    def is_under_way(self) -> bool:
        """Return whether its connection has not ended on either side."""
        return not self.connection.ended_ms and self.connection.open

    @property
    def alive_ms(self) -> int:
        """Return when its last part arrived that can't have waited for its reader, 0 for none."""
        last_ms = self.arrivals.last_ms
        return min(last_ms, self.paused_ms) if self.paused_ms else last_ms

    @property
    def timing(self) -> EndTiming:
        """Return when it has ended, UNKNOWN before."""
        ended_ms = self.connection.ended_ms
        if not ended_ms:
            return EndTiming.UNKNOWN
        return read_timing(
            self.arrivals,
            ended_ms=ended_ms,
            was_paused=bool(self.paused_ms),
            is_text=self.is_text,
        )

    def has_lost_others(self) -> bool:
        """Return whether the peer has ended all other connections, and at least one, beside it."""
        last_ms = self.connection.ended_ms + LOSS_MS
        return bool(self.others) and all(
            other.ended_by_peer and other.ended_ms <= last_ms for other in self.others
        )
