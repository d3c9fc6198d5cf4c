"""Recent runs of one router at each upstream: which ones a crash implicates, which survived."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Collection
from typing import Final

from gypsumrouter.crashes.models import Subjects

# A subject that crashes its upstream does so within this time after the response has begun.
SURVIVAL_MS: Final = 500
# Runs that are kept for each upstream; the oldest are dropped first.
MAX_RUNS: Final = 256
# Upstreams from which nothing was received for this long are dropped.
UPSTREAM_TTL_MS: Final = 60_000
# Subjects whose last survivals are remembered, and the workspaces of each.
MAX_SURVIVALS: Final = 8_192
MAX_SURVIVAL_WORKSPACES: Final = 3
# So many complete responses within this time count as a survival: each request with a subject that
# crashes upstreams takes one down, and there are not as many.
COMPLETE_RUNS: Final = 8
COMPLETE_RUNS_MS: Final = 4_000
MAX_COMPLETED_SUBJECTS: Final = 4_096


class Run:
    """One attempt at an upstream; times are None until they are known."""

    __slots__ = (
        "begun_ms",
        "ended_ms",
        "has_head",
        "request_id",
        "sent_ms",
        "subjects",
        "upstream",
    )

    def __init__(self, *, upstream: str, request_id: str, subjects: Subjects, sent_ms: int) -> None:
        self.upstream = upstream
        self.request_id = request_id
        self.subjects = subjects
        self.sent_ms = sent_ms
        self.begun_ms: int | None = None
        self.ended_ms: int | None = None
        # The head of the response arrives when the upstream begins to run the request.
        self.has_head = False


class _Upstream:
    """The runs at one upstream: those that wait for their response, and those that have begun."""

    __slots__ = ("begun", "last_life_ms", "last_used_ms", "waiting")

    def __init__(self) -> None:
        self.waiting: dict[Run, None] = {}
        self.begun: deque[Run] = deque(maxlen=MAX_RUNS)
        self.last_life_ms = 0
        self.last_used_ms = 0


class RunTracker:
    """Follows the runs of this router at each upstream, by incarnation."""

    __slots__ = ("_upstreams",)

    def __init__(self) -> None:
        self._upstreams: dict[str, _Upstream] = {}

    def __len__(self) -> int:
        return len(self._upstreams)

    def start(self, *, upstream: str, request_id: str, subjects: Subjects, now_ms: int) -> Run:
        """Record that a request is sent to an upstream."""
        known = self._upstreams.setdefault(upstream, _Upstream())
        known.last_used_ms = now_ms
        run = Run(upstream=upstream, request_id=request_id, subjects=subjects, sent_ms=now_ms)
        if len(known.waiting) >= MAX_RUNS:
            del known.waiting[next(iter(known.waiting))]
        known.waiting[run] = None
        return run

    def is_known(self, upstream: str) -> bool:
        """Return whether any request was sent to an upstream recently."""
        return upstream in self._upstreams

    def discard(self, run: Run) -> None:
        """Forget a request that the upstream has not run."""
        known = self._upstreams.get(run.upstream)
        if known is not None:
            known.waiting.pop(run, None)

    def end(self, run: Run, *, now_ms: int) -> None:
        """Record that an attempt is over."""
        run.ended_ms = now_ms

    def note_begun(self, run: Run, *, now_ms: int) -> None:
        """Record that a piece of a run's response has arrived."""
        known = self._upstreams.get(run.upstream)
        if known is not None and run.begun_ms is None:
            run.begun_ms = now_ms
            known.waiting.pop(run, None)
            known.begun.append(run)

    def note_life(self, upstream: str, *, now_ms: int) -> list[Run]:
        """Record a sign that an upstream lives; return the runs that have survived by now."""
        known = self._upstreams.get(upstream)
        return [] if known is None else self._take_survivors(known, now_ms)

    def was_alive_after(self, upstream: str, *, at_ms: int) -> bool:
        """Return whether anything was received from an upstream after a time."""
        known = self._upstreams.get(upstream)
        return known is not None and known.last_life_ms > at_ms

    def list_exposed(self, upstream: str, *, at_ms: int) -> list[Run]:
        """Return the runs that may have crashed an upstream at `at_ms`, the likeliest first.

        These are the ones that had not begun to write, or had begun within `SURVIVAL_MS`, and had
        not ended long before.
        """
        known = self._upstreams.get(upstream)
        if known is None:
            return []
        since_ms = at_ms - SURVIVAL_MS
        runs = (*reversed(known.begun), *reversed(known.waiting))
        exposed = [
            run
            for run in runs
            if run.sent_ms <= at_ms
            and (run.begun_ms is None or run.begun_ms > since_ms)
            and (run.ended_ms is None or run.ended_ms >= since_ms)
        ]
        return sorted(exposed, key=lambda run: _get_suspicion_order(run, at_ms))

    def remove(self, upstream: str) -> None:
        """Forget an upstream that has crashed."""
        self._upstreams.pop(upstream, None)

    def sweep(self, *, now_ms: int, keep: Collection[str] = ()) -> None:
        """Forget upstreams that are no longer used, and runs that ended without a response.

        Those of the upstreams in `keep` are still to be judged.
        """
        for name, known in tuple(self._upstreams.items()):
            if name in keep:
                continue
            if now_ms - max(known.last_used_ms, known.last_life_ms) > UPSTREAM_TTL_MS:
                del self._upstreams[name]
                continue
            ended = [run for run in known.waiting if _ended_before(run, now_ms - SURVIVAL_MS)]
            for run in ended:
                del known.waiting[run]

    def _take_survivors(self, known: _Upstream, now_ms: int) -> list[Run]:
        known.last_life_ms = now_ms
        begun = known.begun
        survivors: list[Run] = []
        while begun and begun[0].begun_ms is not None:
            if now_ms - begun[0].begun_ms < SURVIVAL_MS:
                break
            survivors.append(begun.popleft())
        return survivors


class SurvivalMemory:
    """The last survivals of each subject in this process, with the workspaces; bounded."""

    __slots__ = ("_completed", "_survivals")

    def __init__(self) -> None:
        # Times of the last complete responses, by subject.
        self._completed: OrderedDict[int, deque[int]] = OrderedDict()
        # Time by workspace, by subject.
        self._survivals: OrderedDict[int, dict[int, int]] = OrderedDict()

    def note(self, subject: int, *, workspace: int, now_ms: int) -> None:
        """Record that a request of a workspace with this subject has survived."""
        survivals = self._survivals.pop(subject, {})
        survivals.pop(workspace, None)
        while len(survivals) >= MAX_SURVIVAL_WORKSPACES:
            del survivals[next(iter(survivals))]
        survivals[workspace] = now_ms
        self._survivals[subject] = survivals
        if len(self._survivals) > MAX_SURVIVALS:
            self._survivals.popitem(last=False)

    def note_completed(self, subject: int, *, workspace: int, now_ms: int) -> bool:
        """Record a complete response; return whether there were enough to count as a survival."""
        times = self._completed.pop(subject, None) or deque(maxlen=COMPLETE_RUNS)
        times.append(now_ms)
        self._completed[subject] = times
        if len(self._completed) > MAX_COMPLETED_SUBJECTS:
            self._completed.popitem(last=False)
        if len(times) < COMPLETE_RUNS or now_ms - times[0] > COMPLETE_RUNS_MS:
            return False
        self.note(subject, workspace=workspace, now_ms=now_ms)
        return True

    def has_any_since(self, subject: int, since_ms: int) -> bool:
        """Return whether a subject has survived since a time."""
        return any(at_ms >= since_ms for at_ms in self._survivals.get(subject, {}).values())

    def list_workspaces(self, subject: int) -> tuple[tuple[int, int], ...]:
        """Return the workspaces in which a subject has survived last, with the times."""
        return tuple(self._survivals.get(subject, {}).items())


def _get_suspicion_order(run: Run, at_ms: int) -> tuple[bool, bool, bool]:
    """Return the order of runs in a crash: those first that had begun without writing a piece."""
    return (_ended_before(run, at_ms), run.begun_ms is not None, not run.has_head)


def _ended_before(run: Run, at_ms: int) -> bool:
    return run.ended_ms is not None and run.ended_ms < at_ms
