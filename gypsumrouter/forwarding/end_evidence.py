"""Whether an answer that has neither a length nor chunks is complete, by what else is known.

Such an answer ends with its connection. A process that dies closes its connections the same way,
but all of them, and its listener too.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from enum import StrEnum
from typing import Final

from msgspec import Struct

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.forwarding.starts import OtherStart
from gypsumrouter.helpers.http_connection import ConnectFailed, HttpConnection
from gypsumrouter.journal import Journal, UnframedEnd

_LOGGER = logging.getLogger(__name__)

# The connections of a process that dies are closed within this time of each other; a loss this
# long before an end belongs to it.
SETTLE_MS: Final = 40
# Ends are kept for the answers that end within SETTLE_MS of them, with room for pauses of this
# process.
KEPT_ENDS_MS: Final = 1_000
# For a connect, and again for a question on it: a sound upstream may be silent for over a second.
# A process that is gone refuses at once.
PROBE_TIMEOUT_MS: Final = 2_000
# No upstream ends and has a successor that listens at its address within this time.
RESTART_MS: Final = 40


class EndVerdict(StrEnum):
    """What shows that an unframed answer is complete or broken off; the values are in the journal.

    OPEN: another connection that was open before the end still is. ALIVE: the upstream accepted a
    new connection after the end, and states the same start if its entry has one. DROPPED: a
    listener accepted and closed two connections. UNLISTED: the upstream states another start than
    its entry does, and that one has given the answer. REFUSED: nothing listens there. SILENT: it
    accepted a connection, and states nothing. UNREACHABLE: no connection, or no start. RESTARTED:
    another start has its address, and the listed one may have given the answer. REPLACED: a
    connection, but the entry states no start, and is gone or another upstream is listed at its
    address. UNPROVEN: a connection that another process may have accepted, as the entry states no
    start and the caller rested; or as DROPPED, beside another answer that ended with it or with a
    caller that rested. No older connection is open.
    """

    OPEN = "open"
    ALIVE = "alive"
    REFUSED = "refused"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    DROPPED = "dropped"
    UNLISTED = "unlisted"
    RESTARTED = "restarted"
    REPLACED = "replaced"
    UNPROVEN = "unproven"

    @property
    def complete(self) -> bool:
        """Return whether the answer counts as complete."""
        return self in (
            EndVerdict.OPEN,
            EndVerdict.ALIVE,
            EndVerdict.DROPPED,
            EndVerdict.UNLISTED,
        )

    @property
    def outlived(self) -> bool | None:
        """Return whether the upstream lived after the answer's end, None if that isn't known.

        What accepts connections and closes them may be a listener whose process is gone, and an
        upstream that does not answer may serve others.
        """
        if self in (EndVerdict.OPEN, EndVerdict.ALIVE, EndVerdict.UNLISTED):
            return True
        if self.shows_death or self is EndVerdict.REPLACED:
            return False
        return None

    @property
    def shows_death(self) -> bool:
        """Return whether the process is known to have ended."""
        return self in (EndVerdict.REFUSED, EndVerdict.RESTARTED)


class OtherConnection(Struct, frozen=True, kw_only=True):
    """Another open connection to the upstream of an answer (monotonic milliseconds).

    `peer_started_ms` is the start that the process at its other end stated, None if unknown.
    """

    opened_ms: int
    peer_started_ms: int | None = None


def proves_alive(
    others: Iterable[OtherConnection], *, ended_ms: int, lost_ms: int | None, started_ms: int
) -> bool:
    """Return whether the other connections of an upstream show that it outlived an answer.

    They are those that are open SETTLE_MS after `ended_ms`. One that was opened later may lead to
    another process. `lost_ms` is when a connection last ended without having announced that: the
    others may end next. `started_ms` is the start that the entry states, 0 if none.
    """
    if lost_ms is not None and lost_ms >= ended_ms - SETTLE_MS:
        return False
    return any(
        other.opened_ms < ended_ms
        and (not started_ms or other.peer_started_ms in (None, started_ms))
        for other in others
    )


def is_answer_of_other(other: OtherStart, *, opened_ms: int, ended_ms: int) -> bool:
    """Return whether a start that isn't listed has given an answer, and not the one before it.

    The answer came on a connection that was opened at `opened_ms` and open until `ended_ms`. The
    connections of a start that ends are closed before the next one listens.
    """
    if other.listens_ms < opened_ms + RESTART_MS:
        return True
    return other.listens_ms + SETTLE_MS <= ended_ms


class Probe(Struct, frozen=True, kw_only=True):
    """A question to an upstream, asked at `begun_ms` (monotonic milliseconds)."""

    begun_ms: int
    task: asyncio.Task[EndVerdict]


class EndWatch(Struct, kw_only=True):
    """An answer that ends with its connection.

    `paused_ms` is when its reading was first paused (monotonic milliseconds), 0 if it wasn't: from
    then on its end may have come unseen, since a FIN stays behind bytes for which the receive
    window has no room.
    """

    entry: Entry
    connection: HttpConnection
    paused_ms: int = 0
    task: asyncio.Task[EndVerdict] | None = None


class EndChecks:
    """Decides for each answer that ended with its connection whether it is complete."""

    __slots__ = (
        "_app",
        "_counter",
        "_directory",
        "_ended_ms",
        "_journal",
        "_pool",
        "_probes",
        "_questions",
    )

    def __init__(
        self, *, app: Application, pool: ConnectionPool, directory: Directory, journal: Journal
    ) -> None:
        self._app = app
        self._directory = directory
        self._pool = pool
        # The last question to an incarnation.
        self._probes: dict[str, Probe] = {}
        # Questions for the start that gives an answer, by incarnation.
        self._questions: dict[str, asyncio.Task[None]] = {}
        # When the last answers of each incarnation ended (monotonic milliseconds).
        self._ended_ms: dict[str, list[int]] = {}
        self._journal = journal
        self._counter = app.metrics.counter(
            "gypsumrouter_unframed_ends_total",
            "Answers without a length or chunks that ended, by the evidence of their end",
        )

    def ask_start(self, entry: Entry, connection: HttpConnection) -> None:
        """Ask which start an upstream is at while it answers without a length or chunks.

        Nothing waits for it. If the upstream has another start than the listed one, only a question
        from before the end can tell that this one has answered.
        """
        if not entry.started_ms or entry.incarnation in self._questions:
            return
        if self._pool.is_start_known(entry, connection):
            return
        other = self._pool.get_other_start(entry)
        if other is not None and other.listens_ms < connection.opened_ms:
            return
        self._questions[entry.incarnation] = self._app.async_create_task(
            self._async_ask_start(entry), "ask which start answers"
        )

    async def _async_ask_start(self, entry: Entry) -> None:
        try:
            # The connection isn't kept: one that was opened beside each answer would stand for an
            # upstream that closes its listener and its answers before its idle connections.
            await self._pool.async_confirm(entry, timeout_ms=PROBE_TIMEOUT_MS, keep=False)
        except ConnectFailed as error:
            _LOGGER.debug("Upstream %s did not confirm its start: %s", entry.incarnation, error)
        finally:
            del self._questions[entry.incarnation]

    def watch(self, entry: Entry, connection: HttpConnection) -> EndWatch:
        """Begin the check of an answer at the moment at which its connection ends.

        Its caller may read the end long after that, when the upstream may be another process.
        """
        watch = EndWatch(entry=entry, connection=connection)
        if connection.ended_ms or not connection.open:
            self._begin(watch)
            return watch
        note_end = connection.on_end

        def on_end() -> None:
            if note_end is not None:
                note_end()
            # Not if this process has closed it.
            if connection.open:
                self._begin(watch)

        def on_pause() -> None:
            watch.paused_ms = watch.paused_ms or self._app.clock.now_ms()

        connection.on_end = on_end
        connection.watch_pauses(on_pause)
        return watch

    def _begin(self, watch: EndWatch) -> asyncio.Task[EndVerdict]:
        if watch.task is None:
            watch.task = self._app.async_create_task(
                self._async_decide(watch), "check the end of an answer"
            )
        return watch.task

    async def async_check(self, watch: EndWatch, *, request_id: str) -> EndVerdict:
        """Return what is known of the end of an answer on a connection that its peer has closed.

        This takes SETTLE_MS, and the time of a connect and a question if no connection tells.
        """
        return await self._async_check(watch, request_id=request_id, is_cut=False)

    async def async_outlived(self, watch: EndWatch, *, request_id: str) -> bool | None:
        """Return whether an upstream has outlived an answer that shows its break.

        None if that isn't known. This takes as long as `async_check`, or is known by then.
        """
        verdict = await self._async_check(watch, request_id=request_id, is_cut=True)
        return verdict.outlived

    async def _async_check(self, watch: EndWatch, *, request_id: str, is_cut: bool) -> EndVerdict:
        begun_ms = self._app.clock.now_ms()
        verdict = await asyncio.shield(self._begin(watch))
        self._counter.inc(labels=(("evidence", verdict.value),))
        self._journal.record(
            UnframedEnd(
                request_id=request_id,
                upstream=watch.entry.incarnation,
                evidence=verdict.value,
                complete=verdict.complete and not is_cut,
                took_ms=self._app.clock.now_ms() - begun_ms,
            )
        )
        return verdict

    async def _async_decide(self, watch: EndWatch) -> EndVerdict:
        clock = self._app.clock
        begun_ms = clock.now_ms()
        entry = watch.entry
        seen_ms = watch.connection.ended_ms or begun_ms
        ended_ms = watch.paused_ms or seen_ms
        self._note_ended(entry, seen_ms)
        # Twice, so that what arrived during a pause of this process is read before the last part.
        for _ in range(2):
            await clock.async_sleep(SETTLE_MS // 2)
        others = self._list_others(watch)
        lost_ms = self._pool.get_lost_ms(entry)
        joint = self._count_ended(entry, seen_ms) > 1
        if not joint and proves_alive(
            others, ended_ms=ended_ms, lost_ms=lost_ms, started_ms=entry.started_ms
        ):
            return EndVerdict.OPEN
        verdict = await self._async_probe(entry, seen_ms)
        if verdict is EndVerdict.ALIVE and entry.started_ms:
            return verdict
        if verdict is EndVerdict.RESTARTED and self._is_of_other(watch, ended_ms):
            return EndVerdict.UNLISTED
        if verdict not in (EndVerdict.ALIVE, EndVerdict.DROPPED):
            return verdict
        outlived = any(other.opened_ms < ended_ms for other in self._list_others(watch))
        unsure = watch.paused_ms or (joint and verdict is EndVerdict.DROPPED)
        if unsure and not outlived:
            return EndVerdict.UNPROVEN
        return verdict

    def _is_of_other(self, watch: EndWatch, ended_ms: int) -> bool:
        """Return whether the start that an upstream states has given an answer unlisted."""
        other = self._pool.get_other_start(watch.entry)
        if other is None or self._pool.is_start_known(watch.entry, watch.connection):
            return False
        return is_answer_of_other(other, opened_ms=watch.connection.opened_ms, ended_ms=ended_ms)

    def _note_ended(self, entry: Entry, ended_ms: int) -> None:
        """Note the end of an answer, and forget the ends that can't belong to a later one."""
        past_ms = self._app.clock.now_ms() - KEPT_ENDS_MS
        self._ended_ms = {
            incarnation: ended
            for incarnation, ended in self._ended_ms.items()
            if ended[-1] >= past_ms
        }
        known = self._ended_ms.get(entry.incarnation, [])
        self._ended_ms[entry.incarnation] = [at for at in known if at >= past_ms] + [ended_ms]

    def _count_ended(self, entry: Entry, ended_ms: int) -> int:
        """Return how many answers of an upstream have ended together, at `ended_ms`."""
        ended = self._ended_ms.get(entry.incarnation, ())
        return sum(abs(at - ended_ms) <= SETTLE_MS for at in ended)

    def _list_others(self, watch: EndWatch) -> list[OtherConnection]:
        return [
            OtherConnection(opened_ms=other.opened_ms, peer_started_ms=other.peer_started_ms)
            for other in self._pool.list_open(watch.entry)
            if other is not watch.connection
        ]

    async def _async_probe(self, entry: Entry, ended_ms: int) -> EndVerdict:
        """Ask the upstream, once for all answers that ended before the question."""
        probe = self._probes.get(entry.incarnation)
        if probe is None or probe.begun_ms <= ended_ms:
            now_ms = self._app.clock.now_ms()
            self._probes = {
                incarnation: known
                for incarnation, known in self._probes.items()
                if not known.task.done() or now_ms - known.begun_ms < PROBE_TIMEOUT_MS
            }
            task = self._app.async_create_task(self._async_ask(entry), "ask whether it is alive")
            probe = self._probes[entry.incarnation] = Probe(begun_ms=now_ms, task=task)
        return await asyncio.shield(probe.task)

    async def _async_ask(self, entry: Entry, *, may_repeat: bool = True) -> EndVerdict:
        try:
            await self._pool.async_confirm(entry, timeout_ms=PROBE_TIMEOUT_MS)
        except ConnectFailed as error:
            if error.dropped and may_repeat:
                # The kernel also resets what a process that dies hasn't accepted yet. It then
                # refuses the next connection.
                await self._app.clock.async_sleep(SETTLE_MS)
                return await self._async_ask(entry, may_repeat=False)
            if error.dropped:
                return EndVerdict.DROPPED
            if error.refused:
                return EndVerdict.REFUSED
            if error.other_start:
                return EndVerdict.RESTARTED
            return EndVerdict.SILENT if error.silent else EndVerdict.UNREACHABLE
        if entry.started_ms or self._has_address(entry):
            return EndVerdict.ALIVE
        return EndVerdict.REPLACED

    def is_leaving(self, entry: Entry) -> bool:
        """Return whether an upstream is known to end by itself.

        It may remove its entry before it ends. One that has died is removed seconds after its end.
        """
        listed = self._directory.get_incarnation(entry.incarnation)
        return listed is not None and listed.state in (EntryState.LEAVING, EntryState.GONE)

    def _has_address(self, entry: Entry) -> bool:
        """Return whether an upstream is listed, and no other one is at its address."""
        listed = self._directory.get_incarnation(entry.incarnation)
        if listed is None or listed.state is EntryState.GONE:
            return False
        return not any(
            record.entry.address == entry.address
            and record.entry.incarnation != entry.incarnation
            and record.entry.state is not EntryState.GONE
            for record in self._directory.records()
        )
