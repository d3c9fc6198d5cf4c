"""When this process reads or watches the platform's configuration service."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from gypsumrouter.configuration.const import (
    BACKOFF_FIRST_MS,
    BACKOFF_MAX_MS,
    ISOLATED_MS,
    LONE_READ_MS,
    LONE_READ_MS_PER_PEER,
    SLOW_READ_MS,
    SLOW_READ_MS_PER_PEER,
    SLOW_READ_WATCH_MS,
    START_JITTER_MS,
    START_JITTER_MS_PER_PEER,
    START_LIST_WAIT_MS,
    TICK_MS,
    WATCH_MS,
    WATCH_TURN_MS,
)
from gypsumrouter.configuration.neighbours import list_watchers
from gypsumrouter.configuration.outcomes import Accepted, Rejected
from gypsumrouter.configuration.source import (
    ConfigurationSource,
    Document,
    SourceAnswer,
    Unavailable,
    Unchanged,
)
from gypsumrouter.configuration.store import ConfigurationStore
from gypsumrouter.configuration.waiting import async_unless, async_wait
from gypsumrouter.const import Role
from gypsumrouter.instances import Address, Instance

if TYPE_CHECKING:
    from gypsumrouter.core import Application
    from gypsumrouter.fleet import Fleet

_LOGGER = logging.getLogger(__name__)


class PlatformReader:
    """Read the platform once at the start, watch it if this is one of the few, else rarely read.

    A process that has heard of no other one for long reads more often, since no news can reach
    it. `failure` is what is wrong with the platform now, if anything is.
    """

    __slots__ = (
        "_app",
        "_backoff_ms",
        "_contact_at_ms",
        "_fleet",
        "_read_at_ms",
        "_rejected_version",
        "_rng",
        "_source",
        "_spread",
        "_store",
        "_turn",
        "_watchers",
        "_woken",
        "failure",
        "watches",
    )

    def __init__(
        self,
        *,
        app: Application,
        store: ConfigurationStore,
        fleet: Fleet,
        source: ConfigurationSource,
        rng: random.Random,
    ) -> None:
        self._app = app
        self._store = store
        self._fleet = fleet
        self._source = source
        self._rng = rng
        self._woken = asyncio.Event()
        self._watchers: frozenset[str] | None = None
        self._turn = 0
        self._contact_at_ms = app.clock.now_ms()
        self._read_at_ms = app.clock.now_ms()
        self._spread = rng.uniform(0.5, 1.5)
        self._rejected_version = 0
        self._backoff_ms = 0
        self.failure: str | None = None
        self.watches = False

    def async_start(self) -> None:
        """Begin to read."""
        self._fleet.on_change(self._forget_watchers)
        self._app.async_create_task(self._async_run(), "configuration reader")

    def record_contact(self) -> None:
        """Note that another process has been heard of, which brings news if there are any."""
        self._contact_at_ms = self._app.clock.now_ms()

    def wake(self) -> None:
        """Give up a call that began before this process was paused, and call anew."""
        self._backoff_ms = 0
        self._woken.set()

    async def _async_run(self) -> None:
        await self._async_read_first()
        while True:
            self._woken.clear()
            interval_ms = self._get_interval_ms()
            self.watches = interval_ms <= WATCH_MS
            if self.watches:
                await self._async_watch(WATCH_MS)
            elif self._is_read_due(interval_ms):
                await self._async_watch(SLOW_READ_WATCH_MS)
            else:
                await async_wait(self._woken, clock=self._app.clock, timeout_ms=TICK_MS)

    async def _async_read_first(self) -> None:
        """Read once, at a random time that grows with the fleet, unless a peer was first."""
        clock = self._app.clock
        ready = self._store.ready
        if self._fleet.list_age_ms() is None:
            await async_wait(ready, clock=clock, timeout_ms=START_LIST_WAIT_MS)
        jitter_ms = START_JITTER_MS
        if self._fleet.list_age_ms() is not None:
            jitter_ms = min(jitter_ms, len(self._fleet.peers()) * START_JITTER_MS_PER_PEER)
        await async_wait(ready, clock=clock, timeout_ms=self._rng.randrange(jitter_ms + 1))
        while not ready.is_set():
            answer = await async_unless(ready, self._source.async_read())
            if not await self._async_take(answer):
                await self._async_back_off()

    async def _async_watch(self, timeout_ms: int) -> None:
        self._read_at_ms = self._app.clock.now_ms()
        self._spread = self._rng.uniform(0.5, 1.5)
        after = max(self._store.current.version, self._rejected_version)
        watch = self._source.async_watch(after=after, timeout_ms=timeout_ms)
        if not await self._async_take(await async_unless(self._woken, watch)):
            await self._async_back_off()

    async def _async_take(self, answer: SourceAnswer | None) -> bool:
        """Offer a document to the store; return whether the platform may be called at once."""
        match answer:
            case None:
                return True
            case Unavailable(message=message):
                self._note_failure(message)
                return False
            case Unchanged():
                self._note_success()
                return True
            case Document(body=body, version=version):
                self._note_success()
                return await self._async_offer(body, version)

    async def _async_offer(self, body: bytes, version: int | None) -> bool:
        match await self._store.async_offer(body):
            case Accepted(changed=changed):
                return changed
            case Rejected(version=claimed):
                seen = claimed if version is None else version
                self._rejected_version = max(self._rejected_version, seen or 0)
        return False

    async def _async_back_off(self) -> None:
        doubled = min(BACKOFF_MAX_MS, max(BACKOFF_FIRST_MS, self._backoff_ms * 2))
        self._backoff_ms = doubled
        delay_ms = doubled // 2 + self._rng.randrange(doubled // 2 + 1)
        await async_wait(self._woken, clock=self._app.clock, timeout_ms=delay_ms)

    def _note_failure(self, message: str) -> None:
        if self.failure is None:
            _LOGGER.warning("The configuration service is unavailable: %s", message)
        self.failure = message

    def _note_success(self) -> None:
        self._backoff_ms = 0
        if self.failure is not None:
            _LOGGER.info("The configuration service is back")
        self.failure = None

    def _get_interval_ms(self) -> int:
        """Return how often to read, which is 0 for one of the few that watch.

        Intervals grow with the fleet, so that all processes together stay far below what the
        platform can take, also when none of them hears of any other.
        """
        if self._fleet.list_age_ms() is None:
            return LONE_READ_MS
        peers = len(self._fleet.peers())
        if self._app.clock.now_ms() - self._contact_at_ms > ISOLATED_MS:
            return peers * LONE_READ_MS_PER_PEER
        if self._app.name in self._get_watchers():
            return 0
        return max(SLOW_READ_MS, peers * SLOW_READ_MS_PER_PEER)

    def _get_watchers(self) -> frozenset[str]:
        turn = self._app.clock.wall_ms() // WATCH_TURN_MS
        if self._watchers is None or turn != self._turn:
            members = (*self._fleet.peers(), self._make_self())
            self._watchers = list_watchers(members, self._app.region, turn)
            self._turn = turn
        return self._watchers

    def _is_read_due(self, interval_ms: int) -> bool:
        due_ms = self._read_at_ms + round(interval_ms * self._spread)
        return self._app.clock.now_ms() >= due_ms

    def _forget_watchers(self) -> None:
        self._watchers = None

    def _make_self(self) -> Instance:
        return Instance(
            name=self._app.name,
            role=Role(self._app.role),
            address=Address(host="", port=0),
            data_centre=self._app.data_centre,
            region=self._app.region,
        )
