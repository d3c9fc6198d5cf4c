"""Refusal of requests whose content or prompt parts crash the upstreams that run them.

Observes the runs of this router, collects what all routers have seen of a subject, and applies the
verdicts of the fleet. The decision itself is in the other modules of this package.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.core import Application
from gypsumrouter.crashes.diagnostics import (
    dump_verdicts,
    make_changed_event,
    make_refused_event,
)
from gypsumrouter.crashes.implications import ImplicationReporter
from gypsumrouter.crashes.ledger import OBJECTION_MS, CrashLedger, make_verdict
from gypsumrouter.crashes.models import (
    Subjects,
    Survival,
    SuspectImplication,
    SuspectState,
    Verdict,
    select_parts,
)
from gypsumrouter.crashes.runs import Run, RunTracker, SurvivalMemory
from gypsumrouter.crashes.verdicts import VerdictTable, get_trial_ms, note_trial
from gypsumrouter.helpers.metrics import NO_LABELS
from gypsumrouter.helpers.numbers import read_hexadecimal
from gypsumrouter.journal import Journal

# Time in which the connections of an upstream that has crashed break, and after which a piece that
# still arrives shows that only some connections were reset.
SETTLE_MS: Final = 150
LIFE_MARGIN_MS: Final = 50
# Minimum time between two reports of survivals of one subject.
SURVIVAL_REPORT_MS: Final = 1_000

EvidenceListener = Callable[[tuple[SuspectImplication, ...], tuple[Survival, ...]], None]
VerdictListener = Callable[[tuple[Verdict, ...]], None]


class CutStream(Struct, eq=False, kw_only=True):
    """A stream that its upstream has cut, until it is known whether the upstream outlived that.

    `exposed` are the runs that may have crashed the upstream, as of the break.
    """

    broken_ms: int
    exposed: list[Run]


class CrashGuard:
    """Decides whether a request may be sent to an upstream, from crashes seen by all routers."""

    __slots__ = (
        "_allowed",
        "_app",
        "_cuts",
        "_evidence_listeners",
        "_is_first_judge",
        "_is_judge",
        "_journal",
        "_ledger",
        "_refused_counter",
        "_reported_ms",
        "_reporter",
        "_runs",
        "_settling",
        "_survivals",
        "_unsure_survivors",
        "_verdict_listeners",
        "verdicts",
    )

    def __init__(self, *, app: Application, journal: Journal) -> None:
        self._app = app
        self._journal = journal
        self._runs = RunTracker()
        self._ledger = CrashLedger()
        self.verdicts = VerdictTable()
        self._allowed: frozenset[int] = frozenset()
        self._settling: set[str] = set()
        # Cut streams that their upstreams may have outlived, and the runs at these upstreams that
        # have survived if so.
        self._cuts: dict[str, list[CutStream]] = {}
        self._unsure_survivors: dict[str, list[Run]] = {}
        self._survivals = SurvivalMemory()
        self._reported_ms: dict[int, int] = {}
        self._reporter = ImplicationReporter(router=app.name, survivals=self._survivals)
        self._evidence_listeners: list[EvidenceListener] = []
        self._verdict_listeners: list[VerdictListener] = []
        self._is_judge: Callable[[int], bool] = lambda _subject: True
        self._is_first_judge: Callable[[int], bool] = lambda _subject: True
        self._refused_counter = app.metrics.counter(
            "gypsumrouter_suspects_refused_total",
            "Requests refused because they crash the upstreams that run them",
        )
        app.metrics.gauge(
            "gypsumrouter_convicted_subjects",
            "Prompt parts and request contents that are refused",
            lambda: {NO_LABELS: self.verdicts.convicted},
        )
        app.add_dump_section("suspects", self._dump)

    def on_evidence(self, listener: EvidenceListener) -> None:
        """Call `listener(implications, survivals)` for what it has seen and others judge."""
        self._evidence_listeners.append(listener)

    def on_verdicts(self, listener: VerdictListener) -> None:
        """Call `listener(verdicts)` for each verdict that was decided here."""
        self._verdict_listeners.append(listener)

    def set_judge_checks(
        self, *, is_judge: Callable[[int], bool], is_first_judge: Callable[[int], bool]
    ) -> None:
        """Set whether this process judges a subject, and whether it makes its trials."""
        self._is_judge = is_judge
        self._is_first_judge = is_first_judge

    def judges(self, subject: int) -> bool:
        """Return whether this process judges a subject."""
        return self._is_judge(subject)

    def set_allowed(self, parts: Collection[str]) -> None:
        """Set the parts, in hexadecimal, that an operator has exempted from refusal."""
        numbers = (read_hexadecimal(part) for part in parts)
        self._allowed = frozenset(select_parts(part for part in numbers if part is not None))

    def find_refusal(self, subjects: Subjects) -> Verdict | None:
        """Return the conviction for which a request is refused, None if it may be sent.

        The first judge of a subject lets a request pass from time to time, as a trial, unless
        the request has another suspect.
        """
        found = [v for v in self.verdicts.find(subjects) if v.subject not in self._allowed]
        if not found:
            return None
        verdict = found[0]
        now_ms = self._app.clock.now_ms()
        if now_ms < get_trial_ms(verdict) or self._has_other_suspects(subjects, verdict):
            return verdict
        return None if self._is_first_judge(verdict.subject) else verdict

    def _has_other_suspects(self, subjects: Subjects, verdict: Verdict) -> bool:
        others = (self.verdicts.find_open(s) for s in subjects.all if s != verdict.subject)
        return any(v is not None and v.concerns(subjects.workspace) for v in others)

    def start(self, *, upstream: str, request_id: str, subjects: Subjects) -> Run:
        """Record that a request is sent to an upstream; a trial counts as made."""
        now_ms = self._app.clock.now_ms()
        for verdict in self.verdicts.find(subjects):
            if verdict.subject not in self._allowed:
                self._publish(note_trial(verdict, now_ms=now_ms))
        return self._runs.start(
            upstream=upstream, request_id=request_id, subjects=subjects, now_ms=now_ms
        )

    def note_received(self, run: Run, *, shows_life: bool = True) -> None:
        """Record that a piece of the response to a run has arrived.

        Unless it `shows_life`, its upstream may have sent it long ago.
        """
        now_ms = self._app.clock.now_ms()
        self._runs.note_begun(run, now_ms=now_ms)
        if shows_life:
            self._note_survivors(self._runs.note_life(run.upstream, now_ms=now_ms))

    def note_life(self, upstream: str) -> None:
        """Record that an upstream has responded to something."""
        self._note_survivors(self._runs.note_life(upstream, now_ms=self._app.clock.now_ms()))

    def note_not_run(self, run: Run) -> None:
        """Forget a request that its upstream has not run."""
        self._runs.discard(run)

    def note_ended(self, run: Run) -> None:
        """Record that an attempt is over, in whichever way."""
        self._runs.end(run, now_ms=self._app.clock.now_ms())

    def note_completed(self, run: Run) -> None:
        """Record that the response to a run is complete."""
        subjects = run.subjects
        now_ms = self._app.clock.now_ms()
        for subject in subjects.all:
            survived = self._survivals.note_completed(
                subject, workspace=subjects.workspace, now_ms=now_ms
            )
            if survived and self._matters(subject):
                self._report_survivals(subject)

    def note_broken(
        self,
        upstream: str,
        *,
        outlived: Callable[[], Awaitable[bool | None]] | None = None,
        broken_ms: int | None = None,
    ) -> None:
        """Record that an upstream has closed the connection of a run.

        Where the way it was closed doesn't show a crash, `outlived` tells whether the upstream is
        known to live, None if that isn't known. The caller doesn't wait for that. `broken_ms` is
        when it was closed, if that isn't now.
        """
        broken_ms = self._app.clock.now_ms() if broken_ms is None else broken_ms
        if outlived is None:
            self._begin_judging(upstream, broken_ms)
        elif self._runs.is_known(upstream):
            cut = CutStream(
                broken_ms=broken_ms, exposed=self._runs.list_exposed(upstream, at_ms=broken_ms)
            )
            self._cuts.setdefault(upstream, []).append(cut)
            self._app.async_create_task(
                self._async_judge_cut(upstream, cut, outlived), f"cut by {upstream}"
            )

    async def _async_judge_cut(
        self, upstream: str, cut: CutStream, outlived: Callable[[], Awaitable[bool | None]]
    ) -> None:
        # An upstream that cuts a stream and then answers nothing counts as crashed: such a break
        # is a fault of its own, unlike an end that only can't be confirmed.
        try:
            lives = await outlived()
            if lives is None:
                settled_ms = cut.broken_ms + SETTLE_MS
                await self._app.clock.async_sleep(max(0, settled_ms - self._app.clock.now_ms()))
                lives = self._runs.was_alive_after(upstream, at_ms=cut.broken_ms + LIFE_MARGIN_MS)
            # Another judgement may have found the crash by now.
            if not lives and cut in self._cuts.get(upstream, ()):
                self._forget_crashed(upstream)
                self._report_crash(cut.exposed, cut.broken_ms)
        finally:
            self._remove_cut(upstream, cut)

    def _remove_cut(self, upstream: str, cut: CutStream) -> None:
        cuts = self._cuts.get(upstream, [])
        if cut not in cuts:
            return
        cuts.remove(cut)
        if not cuts:
            del self._cuts[upstream]
            self._note_survivors(self._unsure_survivors.pop(upstream, ()))

    def _forget_crashed(self, upstream: str) -> None:
        """Forget the runs at an upstream that has crashed, and what else would show the crash."""
        self._runs.remove(upstream)
        self._cuts.pop(upstream, None)
        self._unsure_survivors.pop(upstream, None)

    def _begin_judging(self, upstream: str, broken_ms: int) -> None:
        if upstream in self._settling or not self._runs.is_known(upstream):
            return
        self._settling.add(upstream)
        self._app.async_create_task(
            self._async_judge_crash(upstream, broken_ms), f"crash of {upstream}"
        )

    def apply_evidence(
        self, implications: Iterable[SuspectImplication], survivals: Iterable[Survival]
    ) -> None:
        """Take in what routers have seen of subjects that this router judges."""
        for implication in implications:
            if self._ledger.add_implication(implication):
                self._judge(implication.subject)
        for survival in survivals:
            self._apply_survival(survival)

    def merge_verdicts(self, verdicts: Iterable[Verdict], *, source: str) -> tuple[Verdict, ...]:
        """Take over the verdicts of another router; return those that are new here."""
        now_ms = self._app.clock.now_ms()
        self.verdicts.expire(now_ms=now_ms)
        changed = tuple(self.verdicts.merge(verdicts, now_ms=now_ms))
        for verdict in changed:
            self._handle_changed(verdict, source)
        return changed

    def sweep(self) -> None:
        """Drop what is no longer needed."""
        now_ms = self._app.clock.now_ms()
        self._runs.sweep(now_ms=now_ms, keep=self._settling | self._cuts.keys())
        self.verdicts.expire(now_ms=now_ms)
        since_ms = now_ms - SURVIVAL_REPORT_MS
        self._reported_ms = {s: ms for s, ms in self._reported_ms.items() if ms > since_ms}
        self._reporter.sweep(since_ms=since_ms)

    def record_refused(
        self, request_id: str, prompt_parts: Iterable[int], verdict: Verdict
    ) -> None:
        """Count a refused request, and write which part of it crashes upstreams."""
        self._refused_counter.inc()
        event = make_refused_event(
            verdict,
            request_id=request_id,
            prompt_parts=prompt_parts,
            now_ms=self._app.clock.now_ms(),
        )
        self._journal.record(event)

    async def _async_judge_crash(self, upstream: str, broken_ms: int) -> None:
        """Report the exposed runs of an upstream, unless it turns out to be alive."""
        try:
            await self._app.clock.async_sleep(SETTLE_MS)
            if self._runs.was_alive_after(upstream, at_ms=broken_ms + LIFE_MARGIN_MS):
                return
            runs = self._runs.list_exposed(upstream, at_ms=broken_ms)
            self._forget_crashed(upstream)
        finally:
            self._settling.discard(upstream)
        self._report_crash(runs, broken_ms)

    def _report_crash(self, runs: list[Run], broken_ms: int) -> None:
        implications = self._reporter.report(runs, at_ms=broken_ms)
        self.apply_evidence((s for s in implications if self._is_judge(s.subject)), ())
        self._tell(implications, ())

    def _note_survivors(self, runs: Iterable[Run]) -> None:
        now_ms = self._app.clock.now_ms()
        for run in runs:
            if any(run in cut.exposed for cut in self._cuts.get(run.upstream, ())):
                self._unsure_survivors.setdefault(run.upstream, []).append(run)
                continue
            for subject in run.subjects.all:
                self._survivals.note(subject, workspace=run.subjects.workspace, now_ms=now_ms)
                if self._matters(subject):
                    self._report_survivals(subject)

    def _matters(self, subject: int) -> bool:
        """Return whether a survival of a subject may change what is held of it."""
        return self._ledger.get(subject) is not None or (
            self.verdicts.find_open(subject) is not None
        )

    def _report_survivals(self, subject: int) -> None:
        """Apply the survivals of a subject, and tell the routers that judge it."""
        now_ms = self._app.clock.now_ms()
        survivals = tuple(
            Survival(subject=subject, workspace=workspace, at_ms=at_ms)
            for workspace, at_ms in self._survivals.list_workspaces(subject)
        )
        if not survivals:
            return
        self.apply_evidence((), survivals)
        if now_ms - self._reported_ms.get(subject, -SURVIVAL_REPORT_MS) < SURVIVAL_REPORT_MS:
            return
        if self.verdicts.get(subject) is not None:
            self._reported_ms[subject] = now_ms
            self._tell((), survivals)

    def _tell(
        self, implications: tuple[SuspectImplication, ...], survivals: tuple[Survival, ...]
    ) -> None:
        if implications or survivals:
            for listener in self._evidence_listeners:
                listener(implications, survivals)

    def _apply_survival(self, survival: Survival) -> None:
        subject = survival.subject
        record = self._ledger.get(subject)
        verdict = self.verdicts.find_open(subject)
        if record is None:
            # The router that decided has restarted.
            if (
                verdict is not None
                and verdict.concerns(survival.workspace)
                and survival.at_ms >= verdict.since_ms
            ):
                self._clear(verdict)
            return
        cleared = self._ledger.add_survival(survival)
        if verdict is None:
            return
        if cleared or not (record.is_suspected() or verdict.state is SuspectState.CONVICTED):
            self._clear(verdict)
        else:
            self._judge(subject)

    def _clear(self, verdict: Verdict) -> None:
        now_ms = self._app.clock.now_ms()
        self._publish(replace(verdict, state=SuspectState.CLEARED, since_ms=now_ms))

    def _judge(self, subject: int) -> None:
        """Publish what the implications of a subject say."""
        record = self._ledger.get(subject)
        if record is None or not record.is_suspected():
            return
        now_ms = self._app.clock.now_ms()
        if record.suspected_ms is None:
            record.suspected_ms = now_ms
            self._app.async_create_task(self._async_judge_later(subject), "judge a suspect")
        verdict = self.verdicts.find_open(subject)
        known = record.known or (verdict is not None and verdict.known)
        convicted = record.is_convicted(known=known, now_ms=now_ms) or (
            verdict is not None and verdict.state is SuspectState.CONVICTED
        )
        state = SuspectState.CONVICTED if convicted else SuspectState.SUSPECTED
        verdict = make_verdict(
            record, self.verdicts.get(subject), state=state, known=known, now_ms=now_ms
        )
        self._publish(replace(verdict, origin=self._app.name))

    async def _async_judge_later(self, subject: int) -> None:
        await self._app.clock.async_sleep(OBJECTION_MS)
        self._judge(subject)

    def _publish(self, verdict: Verdict) -> None:
        """Take over a verdict that was decided here, and tell the other routers if it is new."""
        changed = self.merge_verdicts((verdict,), source="own")
        if not changed:
            return
        for listener in self._verdict_listeners:
            listener(changed)

    def _handle_changed(self, verdict: Verdict, source: str) -> None:
        now_ms = self._app.clock.now_ms()
        self._journal.record(make_changed_event(verdict, source=source, now_ms=now_ms))
        match verdict.state:
            case SuspectState.SUSPECTED:
                self._report_survivals(verdict.subject)
            case SuspectState.CONVICTED:
                self._ledger.explain(verdict.subject)
            case SuspectState.CLEARED:
                self._ledger.remove(verdict.subject)
                for subject in self._ledger.withdraw_explanation(verdict.subject):
                    self._judge(subject)

    def _dump(self) -> object:
        return {
            "judged": len(self._ledger),
            "upstreams": len(self._runs),
            "verdicts": dump_verdicts(self.verdicts, now_ms=self._app.clock.now_ms()),
        }
