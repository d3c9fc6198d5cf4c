"""Which start of an upstream a connection leads to, how that is known, and how old that is.

An upstream that starts again under its id is listed late, at times with another version of its
software. Until then its entry describes a start that has ended.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from typing import Final

from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.directory import Directory, Entry
from gypsumrouter.helpers.http_connection import (
    HttpConnection,
    StartSource,
)
from gypsumrouter.util.clock import Clock
from gypsumrouter.util.heartbeats import DEFAULT_HEARTBEAT_MS
from gypsumrouter.util.token_bucket import TokenBucket

# An entry that its upstream does not renew is removed after three heartbeats; the half allows for
# the way of the removal to this router.
UNRENEWED_INTERVALS: Final = 3.5
# An upstream that runs for so long has written its entry, unless it is cut off from the store.
REGISTRATION_INTERVALS: Final = 1.5
# Bound on the questions about starts that are not asked ahead of a request.
QUESTION_BURST: Final = 8.0
QUESTIONS_PER_S: Final = 0.02


class ListTimes(Struct, frozen=True, kw_only=True):
    """How soon the list shows a new start, in milliseconds.

    A start that runs is listed after `registration_ms`. The entry of a start that has ended is
    removed after `expiry_ms` at the latest.
    """

    registration_ms: int
    expiry_ms: int


def is_start_proven(
    *,
    source: StartSource,
    opened_ms: int,
    alive_ms: int,
    stated_ms: int | None,
    listed_ms: int | None,
    times: ListTimes,
) -> bool:
    """Return whether a connection is known to lead to the listed start of an upstream.

    The upstream was at that start at `stated_ms`, and the list showed it as of `listed_ms` (None if
    unknown). Starts follow each other, so a connection opened before leads to that start, too. Had
    it led to a later one, which ran until `alive_ms`, the list would show that by now.
    """
    if source in (StartSource.ANSWER, StartSource.LIST):
        return True
    if stated_ms is not None and opened_ms <= stated_ms:
        return True
    if listed_ms is None:
        return False
    if opened_ms + times.expiry_ms <= listed_ms:
        return True
    return opened_ms + times.registration_ms <= min(listed_ms, alive_ms)


class OtherStart(Struct, frozen=True, kw_only=True):
    """A start that an upstream has stated and that isn't the listed one.

    A connection to it was first known to be open at `listens_ms`, and it first stated itself at
    `stated_ms` (monotonic milliseconds): what listens for it may have listened before it was there.
    """

    started_ms: int
    listens_ms: int
    stated_ms: int


class UpstreamStarts:
    """Keeps when upstreams were known to be at their listed start, and bounds questions."""

    __slots__ = (
        "_clock",
        "_contradicted",
        "_directory",
        "_filled_ms",
        "_get_list_age_ms",
        "_questions",
        "_stated_ms",
        "_times",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        directory: Directory,
        get_list_age_ms: Callable[[], int],
        heartbeat_ms: int = DEFAULT_HEARTBEAT_MS,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._get_list_age_ms = get_list_age_ms
        self._times = ListTimes(
            registration_ms=int(heartbeat_ms * REGISTRATION_INTERVALS),
            expiry_ms=int(heartbeat_ms * UNRENEWED_INTERVALS),
        )
        self._stated_ms: dict[str, int] = {}
        # The other start that the upstream of a listed one has stated last.
        self._contradicted: dict[str, OtherStart] = {}
        self._questions = TokenBucket(capacity=QUESTION_BURST, tokens=QUESTION_BURST)
        self._filled_ms = clock.now_ms()

    def is_open_proven(self, entry: Entry, connection: HttpConnection) -> bool:
        """Return whether an open connection is known to lead to the start that an entry states."""
        return self.is_proven(
            entry,
            source=connection.start_source,
            opened_ms=connection.opened_ms,
            alive_ms=self._clock.now_ms(),
        )

    def is_proven(
        self, entry: Entry, *, source: StartSource, opened_ms: int, alive_ms: int
    ) -> bool:
        """Return whether a connection is known to lead to the start that an entry states.

        It was opened at `opened_ms`, and the upstream ran at `alive_ms` (monotonic milliseconds).
        """
        if not entry.started_ms:
            # Each start has an id of its own, and another one rejects the request.
            return True
        return is_start_proven(
            source=source,
            opened_ms=opened_ms,
            alive_ms=alive_ms,
            stated_ms=self._stated_ms.get(entry.incarnation),
            listed_ms=self._get_listed_ms(entry),
            times=self._times,
        )

    def note_stated(self, entry: Entry, *, at_ms: int) -> None:
        """Record that an upstream was at the start that its entry states."""
        self._stated_ms[entry.incarnation] = max(at_ms, self._stated_ms.get(entry.incarnation, 0))

    def note_contradicted(self, entry: Entry, other: OtherStart) -> None:
        """Record that an upstream has stated another start than its entry."""
        known = self._contradicted.get(entry.incarnation)
        if known is not None and known.started_ms == other.started_ms:
            other = OtherStart(
                started_ms=other.started_ms,
                listens_ms=min(known.listens_ms, other.listens_ms),
                stated_ms=min(known.stated_ms, other.stated_ms),
            )
        self._contradicted[entry.incarnation] = other

    def get_other(self, entry: Entry) -> OtherStart | None:
        """Return the start that an upstream has stated last in place of the listed one."""
        return self._contradicted.get(entry.incarnation)

    def is_contradicted(self, entry: Entry) -> bool:
        """Return whether an upstream has stated another start than its entry."""
        return entry.incarnation in self._contradicted

    def may_ask(self) -> bool:
        """Return whether to ask an upstream for its start beside its requests; takes one token."""
        now_ms = self._clock.now_ms()
        self._questions.add((now_ms - self._filled_ms) * QUESTIONS_PER_S / MS_PER_S)
        self._filled_ms = now_ms
        return self._questions.try_take()

    def sweep(self, *, connected: Collection[str]) -> None:
        """Drop what is known of upstreams that are gone; call this about once a second.

        The other start of a listed one is kept while its incarnation is `connected`: an answer that
        it gives may end long after the list shows it.
        """
        for incarnation in tuple(self._stated_ms):
            if self._directory.get_incarnation(incarnation) is None:
                del self._stated_ms[incarnation]
        self._contradicted = {
            incarnation: other
            for incarnation, other in self._contradicted.items()
            if incarnation in connected or self._directory.get_incarnation(incarnation) is not None
        }

    def _get_listed_ms(self, entry: Entry) -> int | None:
        """Return as of when the list shows an entry; None if it doesn't, or may be incomplete."""
        if self._directory.in_grace_period or self.is_contradicted(entry):
            return None
        if self._directory.get_incarnation(entry.incarnation) is None:
            return None
        return self._clock.now_ms() - self._get_list_age_ms()


class StartProof:
    """Whether the start at which a stream began is proven, now or by what is learned later.

    It outlives the stream, and keeps neither its connection nor its request.
    """

    __slots__ = ("_alive_ms", "_ask", "_entry", "_held", "_opened_ms", "_source", "_starts")

    def __init__(
        self,
        *,
        starts: UpstreamStarts,
        entry: Entry,
        connection: HttpConnection,
        ask: Callable[[], Awaitable[None]],
    ) -> None:
        self._starts = starts
        self._entry = entry
        self._source = connection.start_source
        self._opened_ms = connection.opened_ms
        self._alive_ms = connection.opened_ms
        self._ask = ask
        self._held = False

    def note_alive(self, now_ms: int) -> None:
        """Record that the upstream has sent something on the connection."""
        self._alive_ms = now_ms

    async def async_settle(self) -> None:
        """Ask the upstream, unless the start is proven."""
        if not self.holds():
            await self._ask()

    def holds(self) -> bool:
        """Return whether the start is proven; once it is, that stays so."""
        self._held = self._held or self._starts.is_proven(
            self._entry, source=self._source, opened_ms=self._opened_ms, alive_ms=self._alive_ms
        )
        return self._held
