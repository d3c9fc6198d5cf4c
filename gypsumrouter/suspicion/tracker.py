"""Tracking of requests that are suspected or proven to crash their upstream."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from gypsumrouter.core import Application, Remove
from gypsumrouter.crashes import CrashGuard, Run, Subjects, make_workspace_id
from gypsumrouter.crashes.verdicts import get_trial_ms
from gypsumrouter.helpers.metrics import NO_LABELS
from gypsumrouter.journal import Journal
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion.const import BUSY_RETRY_MS, CRASH_ID_BITS, MAX_CRASH_DIGESTS
from gypsumrouter.suspicion.crashes import CrashStore
from gypsumrouter.suspicion.gate import IsolationGate, RunPermit
from gypsumrouter.suspicion.isolation import select_isolation_instances
from gypsumrouter.suspicion.outcomes import Suspect, Verdict
from gypsumrouter.suspicion.running import ActiveRun, RunningSet, list_digests

if TYPE_CHECKING:
    from gypsumrouter.fleet import Fleet
    from gypsumrouter.link import NoticeHub, Peer
    from gypsumrouter.link.models import Open

_LOGGER = logging.getLogger(__name__)

DUMP_SECTION: Final = "suspicion"
ImplicationListener = Callable[[SuspectAnnouncement], None]


class SuspectTracker:
    """Tracks crash suspects by request digest, in a side or in a router.

    A side that has a fleet and a pool runs suspects only if it is one of the pool's isolation
    instances. New implications are passed to the listeners, which announce them to other processes.
    `guard` judges the parts that requests of different content have in common.
    """

    __slots__ = (
        "_active",
        "_app",
        "_crash_counter",
        "_crashes",
        "_fleet",
        "_gate",
        "_listeners",
        "_pool",
        "_refused_counter",
        "_running",
        "_starts",
        "_unsubscribe",
        "guard",
    )

    def __init__(
        self,
        *,
        app: Application,
        notices: NoticeHub,
        fleet: Fleet | None = None,
        pool: str = "",
    ) -> None:
        self._app = app
        self._fleet = fleet
        self._pool = pool
        self._crashes = CrashStore(clock=app.clock)
        self._running = RunningSet()
        self.guard = CrashGuard(app=app, journal=Journal(app=app))
        # Crashes of the upstream so far, which tell its incarnations apart.
        self._starts = 0
        self._gate = IsolationGate(app=app, running=self._running)
        self._active: dict[int, list[ActiveRun]] = {}
        self._listeners: list[ImplicationListener] = []
        self._crash_counter = app.metrics.counter(
            "gypsum_upstream_deaths_total", "Deaths of the upstream while requests ran"
        )
        self._refused_counter = app.metrics.counter(
            "gypsum_suspects_refused_total", "Requests refused because they crash upstreams"
        )
        app.metrics.gauge(
            "gypsum_suspect_digests",
            "Request digests with an implication",
            lambda: {NO_LABELS: self._crashes.digest_count},
        )
        app.add_dump_section(DUMP_SECTION, self._dump)
        self._unsubscribe = notices.subscribe(SuspectAnnouncement, self._handle_implication)
        app.on_stop(self._async_stop)

    def check(self, digest: int) -> Verdict:
        """Return whether a request with this digest may run in this process."""
        verdict = self._crashes.get_verdict(digest)
        match verdict:
            case Refused():
                self._refused_counter.inc()
            case Suspect() if not self._runs_suspects():
                return _make_elsewhere()
        return verdict

    def check_parts(
        self, *, request_id: str, workspace: str, digest: int, parts: tuple[int, ...]
    ) -> Refused | None:
        """Return why a request must not be sent to an upstream, None if it may be."""
        subjects = Subjects(parts=parts, digest=digest, workspace=make_workspace_id(workspace))
        verdict = self.guard.find_refusal(subjects)
        if verdict is None:
            return None
        self.guard.record_refused(request_id, parts, verdict)
        return Refused(
            reason=Reason.CRASHES_UPSTREAMS,
            message="requests with the same content or the same message crash their upstreams",
            retry_after_ms=max(1, get_trial_ms(verdict) - self._app.clock.now_ms()),
        )

    def start_run(self, request: Open) -> Run:
        """Record that a request is sent to the upstream of this side."""
        subjects = Subjects(
            parts=request.parts,
            digest=request.digest,
            workspace=make_workspace_id(request.workspace),
        )
        return self.guard.start(
            upstream=self._get_incarnation(), request_id=request.request_id, subjects=subjects
        )

    def _get_incarnation(self) -> str:
        return f"{self._app.name}/{self._starts}"

    def record_start(self, digest: int) -> None:
        """Record the start of a run that does not pass the gate."""
        self._active.setdefault(digest, []).append(self._running.start(digest))

    def record_end(self, digest: int, *, complete: bool = False) -> None:
        """Record the end of a run; if it was complete and ran alone, the digest is cleared."""
        runs = self._active.get(digest)
        if not runs:
            return
        run = runs.pop(0)
        if not runs:
            del self._active[digest]
        self._end(run, complete)

    def handle_upstream_crash(self) -> tuple[SuspectAnnouncement, ...]:
        """Add an implication for each digest that was running when the upstream crashed.

        Further reports of the same crash have no effect, so that each run may report it.
        """
        crashed = self._running.remove_crashed()
        if not crashed:
            return ()
        self.guard.note_broken(self._get_incarnation())
        self._starts += 1
        self._crash_counter.inc()
        implications = _make_implications(list_digests(crashed))
        _LOGGER.warning(
            "The upstream crashed with %s requests running; they are now crash suspects",
            len(crashed),
        )
        for implication in implications:
            self._add(implication)
        self._gate.notify_waiters()
        return implications

    async def async_enter(self, digest: int, cancelled: asyncio.Event) -> RunPermit | Refused:
        """Wait until a request may run; suspects run alone, others concurrently."""
        entered = await self._gate.async_enter(
            digest=digest, get_verdict=lambda: self.check(digest), cancelled=cancelled
        )
        if isinstance(entered, Refused):
            return entered
        return RunPermit(run=entered, on_end=self._end, on_crash=self._handle_run_crash)

    def on_new_implication(self, listener: ImplicationListener) -> Remove:
        """Register a listener that is called once for each new implication."""
        self._listeners.append(listener)

        def remove() -> None:
            if listener in self._listeners:
                self._listeners.remove(listener)

        return remove

    def list_implications(self, digest: int | None = None) -> tuple[SuspectAnnouncement, ...]:
        """Return the implications of one digest, or of all, to send to another process.

        Links preserve order, so implications sent before a request are handled before it.
        """
        return self._crashes.list_implications(digest)

    async def _async_stop(self) -> None:
        self._unsubscribe()

    def _handle_implication(self, peer: Peer, implication: SuspectAnnouncement) -> None:
        self._add(implication)
        self._gate.notify_waiters()

    def _add(self, implication: SuspectAnnouncement) -> None:
        if not self._crashes.add(implication):
            return
        for listener in tuple(self._listeners):
            listener(implication)

    def _handle_run_crash(self, run: ActiveRun) -> tuple[SuspectAnnouncement, ...]:
        return () if run.crashed else self.handle_upstream_crash()

    def _end(self, run: ActiveRun, complete: bool) -> None:
        self._running.end(run)
        if complete and run.alone and not run.crashed:
            self._crashes.clear(run.digest)
        self._gate.notify_waiters()

    def _runs_suspects(self) -> bool:
        if self._fleet is None or not self._pool:
            return True
        members = self._fleet.members(self._pool)
        isolation_instances = select_isolation_instances(self._pool, members)
        return not isolation_instances or any(
            instance.name == self._app.name for instance in isolation_instances
        )

    def _dump(self) -> dict[str, object]:
        return {
            "implications": self._crashes.crash_count,
            "suspect_digests": self._crashes.digest_count,
            "refused_digests": self._crashes.count_rejected(),
            "running": len(self._running),
            "isolating": self._gate.isolating,
            "waiting_suspects": self._gate.waiting,
            "deaths": int(self._crash_counter.total()),
        }


def _make_implications(digests: tuple[int, ...]) -> tuple[SuspectAnnouncement, ...]:
    crash_id = secrets.randbits(CRASH_ID_BITS)
    alone = len(digests) == 1
    return tuple(
        SuspectAnnouncement(digest=digest, implication=crash_id, alone=alone)
        for digest in digests[:MAX_CRASH_DIGESTS]
    )


def _make_elsewhere() -> Refused:
    return Refused(
        reason=Reason.SUSPECT_ISOLATED,
        message="a request that may crash the upstream runs at another instance",
        retry_after_ms=BUSY_RETRY_MS,
        elsewhere=True,
    )
