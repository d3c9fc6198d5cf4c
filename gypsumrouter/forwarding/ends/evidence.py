"""Whether an answer that has neither a length nor chunks is complete, by what its upstream says.

Such an answer ends with its connection. A process that dies closes its connections the same way,
and what stands before it, or comes after it, may go on to accept connections in its place. Only a
response of the process itself, to a question that was asked after the end, shows that it lives.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import Final

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.forwarding.ends.leaving import RefusedEnds
from gypsumrouter.forwarding.ends.resets import async_find_reset
from gypsumrouter.forwarding.ends.starts import OtherStart
from gypsumrouter.forwarding.ends.verdicts import EndVerdict
from gypsumrouter.forwarding.ends.watches import SETTLE_MS, EndWatch, Probe
from gypsumrouter.helpers.arrivals import Arrivals
from gypsumrouter.helpers.http_connection import ConnectFailed, HttpConnection
from gypsumrouter.journal import Journal, UnframedEnd
from gypsumrouter.routing import DEFAULT_HEALTH_PATH, RoutingStore

_LOGGER = logging.getLogger(__name__)

# For a connect, and again for the answer to a question: a sound upstream may be silent for over a
# second. No question is repeated later than that.
PROBE_TIMEOUT_MS: Final = 2_000
# Pause before a question is repeated, doubled each time.
MIN_PAUSE_MS: Final = 20
MAX_PAUSE_MS: Final = 320
# No upstream ends and has a successor that listens at its address within this time.
RESTART_MS: Final = 40


def is_answer_of_other(other: OtherStart, *, opened_ms: int, ended_ms: int) -> bool:
    """Return whether a start that isn't listed has given an answer, and not the one before it.

    The answer came on a connection that was opened at `opened_ms` and open until `ended_ms`. The
    connections of a start that ends are closed before the next one states itself.
    """
    if other.listens_ms < opened_ms + RESTART_MS:
        return True
    return other.stated_ms + SETTLE_MS <= ended_ms


class EndChecks:
    """Decides for each answer that ended with its connection whether it is complete."""

    __slots__ = (
        "_app",
        "_counter",
        "_directory",
        "_journal",
        "_numbers",
        "_pool",
        "_probes",
        "_questions",
        "_refused",
        "_routing",
    )

    def __init__(
        self,
        *,
        app: Application,
        pool: ConnectionPool,
        directory: Directory,
        routing: RoutingStore,
        journal: Journal,
    ) -> None:
        self._app = app
        self._directory = directory
        self._pool = pool
        self._refused = RefusedEnds(app=app, pool=pool, directory=directory)
        # Several ends and questions may have the same time.
        self._numbers = itertools.count(1)
        # The last question to an incarnation.
        self._probes: dict[str, Probe] = {}
        # Questions for the start that gives an answer, by incarnation.
        self._questions: dict[str, asyncio.Task[None]] = {}
        self._journal = journal
        self._routing = routing
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
            await self._async_confirm(entry, keep=False)
        except ConnectFailed as error:
            _LOGGER.debug("Upstream %s did not confirm its start: %s", entry.incarnation, error)
        finally:
            del self._questions[entry.incarnation]

    def watch(
        self,
        entry: Entry,
        connection: HttpConnection,
        *,
        has_begun: bool = True,
        is_text: bool = True,
    ) -> EndWatch:
        """Begin the check of an answer at the moment at which its connection ends.

        Its caller may read the end long after that, when the upstream may be another process.
        `has_begun` is whether a part of its body has arrived, `is_text` whether it is no stream of
        events.
        """
        clock = self._app.clock
        begun_ms = clock.now_ms() if has_begun else 0
        watch = EndWatch(
            entry=entry,
            connection=connection,
            is_of_listed=self._pool.is_start_proven(entry, connection),
            arrivals=Arrivals(first_ms=begun_ms, last_ms=begun_ms),
            is_text=is_text,
        )
        self._refused.add(watch)
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
            watch.paused_ms = watch.paused_ms or clock.now_ms()

        connection.on_end = on_end
        connection.on_part = lambda: watch.arrivals.note(clock.now_ms())
        connection.watch_pauses(on_pause)
        return watch

    def _begin(self, watch: EndWatch) -> asyncio.Task[EndVerdict]:
        if watch.task is None:
            watch.number = next(self._numbers)
            watch.others = self._pool.list_others(watch.entry, watch.connection)
            watch.task = self._app.async_create_task(
                self._async_decide(watch), "check the end of an answer"
            )
        return watch.task

    async def async_check(
        self,
        watch: EndWatch,
        *,
        request_id: str,
        patience_ms: int | None = None,
        reset_wait_ms: int = 0,
    ) -> EndVerdict:
        """Return what is known of the end of an answer on a connection that its peer has closed.

        This takes as long as the upstream needs to answer a question, and PROBE_TIMEOUT_MS or more
        if it does not. If another run can take over, that is worth `patience_ms` at most. A reset
        is waited for until `reset_wait_ms` behind the end, and at least until that answer.
        """
        begun_ms = self._app.clock.now_ms()
        task = self._begin(watch)
        if patience_ms is not None:
            await asyncio.wait((task,), timeout=patience_ms / MS_PER_S)
            verdict = task.result() if task.done() else EndVerdict.DOUBTED
        else:
            verdict = await asyncio.shield(task)
        if verdict is EndVerdict.REFUSED:
            verdict = await self._refused.async_judge(
                watch, is_leaving=self.is_leaving(watch.entry), may_wait=patience_ms is None
            )
        if verdict.complete or verdict is EndVerdict.DOUBTED:
            until_ms = (watch.connection.ended_ms or begun_ms) + reset_wait_ms
            clock = self._app.clock
            if await async_find_reset(watch.connection, clock=clock, until_ms=until_ms):
                verdict = EndVerdict.RESET
        if verdict is EndVerdict.ALIVE:
            self._refused.note_whole(watch)
        self._record(watch, verdict, request_id=request_id, begun_ms=begun_ms, is_cut=False)
        return verdict

    async def async_settle_doubt(self, watch: EndWatch, *, request_id: str) -> bool:
        """Return whether an answer whose end was doubted is complete after all."""
        verdict = await self.async_check(watch, request_id=request_id)
        return verdict.complete

    async def async_outlived(self, watch: EndWatch, *, request_id: str) -> bool | None:
        """Return whether an upstream has outlived an answer that shows its break.

        None if that isn't known. This takes as long as `async_check`, or is known by then.
        """
        begun_ms = self._app.clock.now_ms()
        verdict = await asyncio.shield(self._begin(watch))
        self._record(watch, verdict, request_id=request_id, begun_ms=begun_ms, is_cut=True)
        return verdict.outlived

    async def async_survived(self, watch: EndWatch) -> bool | None:
        """Return whether an upstream has survived the end of an answer, None if that isn't known.

        No answer to the question is no evidence of a crash by itself: a process that stands still
        and a link that is cut give none, either. A process that dies loses all its connections.
        """
        verdict = await asyncio.shield(self._begin(watch))
        if verdict.complete or self.is_leaving(watch.entry):
            return True
        if verdict.shows_death or watch.has_lost_others():
            return None
        return True

    def _record(
        self,
        watch: EndWatch,
        verdict: EndVerdict,
        *,
        request_id: str,
        begun_ms: int,
        is_cut: bool,
    ) -> None:
        now_ms = self._app.clock.now_ms()
        ended_ms = watch.connection.ended_ms or now_ms
        self._counter.inc(labels=(("evidence", verdict.value),))
        self._journal.record(
            UnframedEnd(
                request_id=request_id,
                upstream=watch.entry.incarnation,
                evidence=verdict.value,
                complete=verdict.complete and not is_cut,
                took_ms=now_ms - begun_ms,
                reset_ms=now_ms - ended_ms if watch.connection.was_reset else -1,
                leaving=self.is_leaving(watch.entry),
                timing=watch.timing.value,
            )
        )

    async def _async_decide(self, watch: EndWatch) -> EndVerdict:
        entry = watch.entry
        seen_ms = watch.connection.ended_ms or self._app.clock.now_ms()
        # What is learned of another start behind the end may be true of that time only.
        asked_before = (
            entry.incarnation in self._questions or self._pool.get_other_start(entry) is not None
        )
        verdict = await self._async_probe(watch, seen_ms)
        if verdict is EndVerdict.RESTARTED and asked_before:
            is_of_other = self._is_of_other(watch, watch.paused_ms or seen_ms)
            return EndVerdict.UNLISTED if is_of_other else verdict
        return verdict

    def _is_of_other(self, watch: EndWatch, ended_ms: int) -> bool:
        """Return whether the start that an upstream states has given an answer unlisted."""
        other = self._pool.get_other_start(watch.entry)
        if other is None or watch.is_of_listed:
            return False
        if self._pool.is_start_known(watch.entry, watch.connection):
            return False
        return is_answer_of_other(other, opened_ms=watch.connection.opened_ms, ended_ms=ended_ms)

    async def _async_probe(self, watch: EndWatch, ended_ms: int) -> EndVerdict:
        """Ask the upstream, once for all answers that ended before the question.

        One that ends while a question is under way waits for it, for a moment, and shares the next.
        """
        entry = watch.entry
        probe = self._probes.get(entry.incarnation)
        if probe is not None and not probe.was_asked_after(watch, ended_ms=ended_ms):
            await asyncio.wait((probe.task,), timeout=SETTLE_MS / MS_PER_S)
            probe = self._probes.get(entry.incarnation)
        if probe is None or not probe.was_asked_after(watch, ended_ms=ended_ms):
            probe = self._begin_probe(entry)
        return await asyncio.shield(probe.task)

    def _begin_probe(self, entry: Entry) -> Probe:
        now_ms = self._app.clock.now_ms()
        self._probes = {
            incarnation: known
            for incarnation, known in self._probes.items()
            if not known.task.done() or now_ms - known.begun_ms < PROBE_TIMEOUT_MS
        }
        task = self._app.async_create_task(self._async_ask(entry), "ask whether it is alive")
        probe = self._probes[entry.incarnation] = Probe(
            begun_ms=now_ms, number=next(self._numbers), task=task
        )
        return probe

    async def _async_ask(self, entry: Entry) -> EndVerdict:
        """Ask until the upstream answers, is known to have ended, or has had PROBE_TIMEOUT_MS.

        An upstream at its limit of connections closes further ones, until one of those that it has
        ends. It isn't asked on one of them: there, one that is told to end may still answer.
        """
        clock = self._app.clock
        last_ms = clock.now_ms() + PROBE_TIMEOUT_MS
        pause_ms = MIN_PAUSE_MS
        while True:
            verdict = await self._async_ask_once(entry)
            if verdict.is_final or clock.now_ms() + pause_ms >= last_ms:
                return verdict
            if verdict is EndVerdict.DROPPED:
                self._pool.close_idle(entry.incarnation)
            await clock.async_sleep(pause_ms)
            pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)

    async def _async_ask_once(self, entry: Entry) -> EndVerdict:
        try:
            await self._async_confirm(entry)
        except ConnectFailed as error:
            if error.refused:
                return EndVerdict.REFUSED
            if error.other_start:
                return EndVerdict.RESTARTED
            if error.unnamed:
                return EndVerdict.UNNAMED
            if error.dropped:
                return EndVerdict.DROPPED
            return EndVerdict.SILENT if error.silent else EndVerdict.UNREACHABLE
        return EndVerdict.ALIVE

    async def _async_confirm(self, entry: Entry, *, keep: bool = True) -> None:
        table = self._routing.table
        service = None if table is None else table.get_service(entry.service)
        await self._pool.async_confirm(
            entry,
            health_path=DEFAULT_HEALTH_PATH if service is None else service.health_path,
            timeout_ms=PROBE_TIMEOUT_MS,
            keep=keep,
        )

    def is_leaving(self, entry: Entry) -> bool:
        """Return whether an upstream is known to end by itself.

        It may remove its entry before it ends. One that has died is removed seconds after its end.
        """
        listed = self._directory.get_incarnation(entry.incarnation)
        return listed is not None and listed.state in (EntryState.LEAVING, EntryState.GONE)
