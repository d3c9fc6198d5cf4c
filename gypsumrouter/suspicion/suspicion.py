"""What one process knows of requests that crash their upstream."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from gypsumrouter.core import Application, Remove
from gypsumrouter.helpers.metrics import NO_LABELS
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion.const import BUSY_RETRY_MS, MAX_STRIKE_DIGESTS, STRIKE_BITS
from gypsumrouter.suspicion.gate import IsolationGate, Token
from gypsumrouter.suspicion.outcomes import Suspect, Verdict
from gypsumrouter.suspicion.places import find_isolation_places
from gypsumrouter.suspicion.running import ActiveRun, RunningSet, list_digests
from gypsumrouter.suspicion.strikes import StrikeMemory

if TYPE_CHECKING:
    from gypsumrouter.fleet import Fleet
    from gypsumrouter.link import NoticeHub, Peer

_LOGGER = logging.getLogger(__name__)

DUMP_SECTION: Final = "suspicion"
NewsListener = Callable[[SuspectAnnouncement], None]


class Suspicion:
    """Strikes of request digests, in a side and in a router.

    A side that is given its fleet and pool runs suspects only if it is one of the pool's places
    for them. News that was not known before goes to the listeners, who tell the other processes.
    """

    __slots__ = (
        "_active",
        "_app",
        "_deaths",
        "_fleet",
        "_gate",
        "_listeners",
        "_pool",
        "_refused",
        "_running",
        "_strikes",
        "_unsubscribe",
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
        self._strikes = StrikeMemory(clock=app.clock)
        self._running = RunningSet()
        self._gate = IsolationGate(app=app, running=self._running)
        self._active: dict[int, list[ActiveRun]] = {}
        self._listeners: list[NewsListener] = []
        self._deaths = app.metrics.counter(
            "gypsum_upstream_deaths_total", "Deaths of the upstream while requests ran"
        )
        self._refused = app.metrics.counter(
            "gypsum_suspects_refused_total", "Requests refused because they crash upstreams"
        )
        app.metrics.gauge(
            "gypsum_suspect_digests",
            "Request digests with a strike",
            lambda: {NO_LABELS: self._strikes.digests},
        )
        app.add_dump_section(DUMP_SECTION, self._dump)
        self._unsubscribe = notices.subscribe(SuspectAnnouncement, self._take_news)
        app.on_stop(self._async_stop)

    def check(self, digest: int) -> Verdict:
        """Return what may be done with a request of this digest in this process."""
        verdict = self._strikes.judge(digest)
        match verdict:
            case Refused():
                self._refused.inc()
            case Suspect() if not self._is_place():
                return _make_wrong_place()
        return verdict

    def note_started(self, digest: int) -> None:
        """Say that a request is being handed over, where the gate is not used."""
        self._active.setdefault(digest, []).append(self._running.start(digest))

    def note_ended(self, digest: int, *, whole: bool = False) -> None:
        """Say that a run begun by `note_started` is over; a whole one alone clears the digest."""
        runs = self._active.get(digest)
        if not runs:
            return
        run = runs.pop(0)
        if not runs:
            del self._active[digest]
        self._end(run, whole)

    def note_upstream_died(self) -> tuple[SuspectAnnouncement, ...]:
        """Say that the upstream died; everything that ran gets one strike.

        Reports that find nothing running count for nothing, so each run may report.
        """
        dead = self._running.take_dead()
        if not dead:
            return ()
        self._deaths.inc()
        news = _make_news(list_digests(dead))
        _LOGGER.warning("The upstream died while %s requests ran", len(dead))
        for item in news:
            self._add(item)
        self._gate.note_changed()
        return news

    async def async_enter(self, digest: int, cancelled: asyncio.Event) -> Token | Refused:
        """Wait until a request may run here: suspects alone, all others together."""
        entered = await self._gate.async_enter(
            digest=digest, judge=lambda: self.check(digest), cancelled=cancelled
        )
        if isinstance(entered, Refused):
            return entered
        return Token(run=entered, ended=self._end, died=self._note_died)

    def on_news(self, listener: NewsListener) -> Remove:
        """Register a listener for every strike that is new here, once for each digest."""
        self._listeners.append(listener)

        def remove() -> None:
            if listener in self._listeners:
                self._listeners.remove(listener)

        return remove

    def list_news(self, digest: int | None = None) -> tuple[SuspectAnnouncement, ...]:
        """Return what is known of one digest, or of all, for a process that may not know it.

        Sent over a link before a request, it cannot come after it.
        """
        return self._strikes.list_news(digest)

    async def _async_stop(self) -> None:
        self._unsubscribe()

    def _take_news(self, peer: Peer, news: SuspectAnnouncement) -> None:
        self._add(news)
        self._gate.note_changed()

    def _add(self, news: SuspectAnnouncement) -> None:
        if not self._strikes.add(news):
            return
        for listener in tuple(self._listeners):
            listener(news)

    def _note_died(self, run: ActiveRun) -> tuple[SuspectAnnouncement, ...]:
        return () if run.dead else self.note_upstream_died()

    def _end(self, run: ActiveRun, whole: bool) -> None:
        self._running.end(run)
        if whole and run.alone and not run.dead:
            self._strikes.clear(run.digest)
        self._gate.note_changed()

    def _is_place(self) -> bool:
        if self._fleet is None or not self._pool:
            return True
        members = self._fleet.members(self._pool)
        places = find_isolation_places(self._pool, members)
        return not places or any(place.name == self._app.name for place in places)

    def _dump(self) -> dict[str, object]:
        return {
            "strikes": self._strikes.strikes,
            "suspect_digests": self._strikes.digests,
            "refused_digests": self._strikes.count_proven(),
            "running": len(self._running),
            "isolating": self._gate.isolating,
            "waiting_suspects": self._gate.waiting,
            "deaths": int(self._deaths.total()),
        }


def _make_news(digests: tuple[int, ...]) -> tuple[SuspectAnnouncement, ...]:
    strike = secrets.randbits(STRIKE_BITS)
    alone = len(digests) == 1
    return tuple(
        SuspectAnnouncement(digest=digest, strike=strike, alone=alone)
        for digest in digests[:MAX_STRIKE_DIGESTS]
    )


def _make_wrong_place() -> Refused:
    return Refused(
        reason=Reason.SUSPECT_BUSY,
        message="a request that may crash the upstream runs at another instance",
        retry_after_ms=BUSY_RETRY_MS,
        elsewhere=True,
    )
