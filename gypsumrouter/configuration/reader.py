"""Scheduling of reads and watches of the platform's configuration service."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from gypsumrouter.configuration.const import (
    BACKOFF_FIRST_MS,
    BACKOFF_MAX_MS,
    FALLBACK_POLL_MS,
    FALLBACK_POLL_MS_PER_PEER,
    FALLBACK_POLL_WATCH_MS,
    ISOLATED_POLL_MS,
    ISOLATED_POLL_MS_PER_PEER,
    ISOLATION_TIMEOUT_MS,
    START_JITTER_MS,
    START_JITTER_MS_PER_PEER,
    START_LIST_TIMEOUT_MS,
    TICK_MS,
    WATCH_MS,
    WATCHER_ROTATION_MS,
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
from gypsumrouter.configuration.waiting import async_run_until_set, async_wait
from gypsumrouter.const import Role
from gypsumrouter.instances import Address, Instance

if TYPE_CHECKING:
    from gypsumrouter.core import Application
    from gypsumrouter.fleet import Fleet

_LOGGER = logging.getLogger(__name__)


class PlatformReader:
    """Read the configuration service at the start, then watch it as a watcher or poll it rarely.

    A process without contact to any other polls more often, since no announcement can reach it.
    `failure` is the error of the last call, or None if it succeeded.
    """

    __slots__ = (
        "_app",
        "_backoff_ms",
        "_fleet",
        "_interrupted",
        "_jitter",
        "_last_contact_ms",
        "_last_read_ms",
        "_rejected_version",
        "_rng",
        "_rotation",
        "_source",
        "_store",
        "_watchers",
        "failure",
        "is_watching",
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
        self._interrupted = asyncio.Event()
        self._watchers: frozenset[str] | None = None
        self._rotation = 0
        self._last_contact_ms = app.clock.now_ms()
        self._last_read_ms = app.clock.now_ms()
        self._jitter = rng.uniform(0.5, 1.5)
        self._rejected_version = 0
        self._backoff_ms = 0
        self.failure: str | None = None
        self.is_watching = False

    def async_start(self) -> None:
        """Start the task that reads the configuration service."""
        self._fleet.on_change(self._invalidate_watchers)
        self._app.async_create_task(self._async_run(), "configuration reader")

    def record_contact(self) -> None:
        """Record contact with another process, which announces new versions to this one."""
        self._last_contact_ms = self._app.clock.now_ms()

    def interrupt(self) -> None:
        """Cancel a call that began before this process was paused, and start a new one."""
        self._backoff_ms = 0
        self._interrupted.set()

    async def _async_run(self) -> None:
        await self._async_read_at_start()
        while True:
            self._interrupted.clear()
            interval_ms = self._get_poll_interval_ms()
            self.is_watching = interval_ms <= WATCH_MS
            if self.is_watching:
                await self._async_watch(WATCH_MS)
            elif self._is_read_due(interval_ms):
                await self._async_watch(FALLBACK_POLL_WATCH_MS)
            else:
                await async_wait(self._interrupted, clock=self._app.clock, timeout_ms=TICK_MS)

    async def _async_read_at_start(self) -> None:
        """Read after a random delay that grows with the fleet, unless a peer sends it first."""
        clock = self._app.clock
        ready = self._store.ready
        if self._fleet.list_age_ms() is None:
            await async_wait(ready, clock=clock, timeout_ms=START_LIST_TIMEOUT_MS)
        jitter_ms = START_JITTER_MS
        if self._fleet.list_age_ms() is not None:
            jitter_ms = min(jitter_ms, len(self._fleet.peers()) * START_JITTER_MS_PER_PEER)
        await async_wait(ready, clock=clock, timeout_ms=self._rng.randrange(jitter_ms + 1))
        while not ready.is_set():
            answer = await async_run_until_set(ready, self._source.async_read())
            if not await self._async_handle_answer(answer):
                await self._async_back_off()

    async def _async_watch(self, timeout_ms: int) -> None:
        self._last_read_ms = self._app.clock.now_ms()
        self._jitter = self._rng.uniform(0.5, 1.5)
        after = max(self._store.current.version, self._rejected_version)
        watch = self._source.async_watch(after=after, timeout_ms=timeout_ms)
        if not await self._async_handle_answer(await async_run_until_set(self._interrupted, watch)):
            await self._async_back_off()

    async def _async_handle_answer(self, answer: SourceAnswer | None) -> bool:
        """Offer a document to the store; return whether to call again without back-off."""
        match answer:
            case None:
                return True
            case Unavailable(message=message):
                self._record_failure(message)
                return False
            case Unchanged():
                self._record_success()
                return True
            case Document(body=body, version=version):
                self._record_success()
                return await self._async_offer(body, version)

    async def _async_offer(self, body: bytes, version: int | None) -> bool:
        match await self._store.async_offer(body):
            case Accepted(changed=changed):
                return changed
            case Rejected(version=claimed):
                rejected = claimed if version is None else version
                self._rejected_version = max(self._rejected_version, rejected or 0)
        return False

    async def _async_back_off(self) -> None:
        doubled = min(BACKOFF_MAX_MS, max(BACKOFF_FIRST_MS, self._backoff_ms * 2))
        self._backoff_ms = doubled
        delay_ms = doubled // 2 + self._rng.randrange(doubled // 2 + 1)
        await async_wait(self._interrupted, clock=self._app.clock, timeout_ms=delay_ms)

    def _record_failure(self, message: str) -> None:
        if self.failure is None:
            _LOGGER.warning(
                "Configuration service is unavailable, retrying with back-off: %s", message
            )
        self.failure = message

    def _record_success(self) -> None:
        self._backoff_ms = 0
        if self.failure is not None:
            _LOGGER.info("Configuration service is available again")
        self.failure = None

    def _get_poll_interval_ms(self) -> int:
        """Return the poll interval, which is 0 for a watcher.

        Intervals grow with the fleet to bound the request rate of all processes together, even
        when all of them are isolated from each other.
        """
        if self._fleet.list_age_ms() is None:
            return ISOLATED_POLL_MS
        peers = len(self._fleet.peers())
        if self._app.clock.now_ms() - self._last_contact_ms > ISOLATION_TIMEOUT_MS:
            return peers * ISOLATED_POLL_MS_PER_PEER
        if self._app.name in self._get_watchers():
            return 0
        return max(FALLBACK_POLL_MS, peers * FALLBACK_POLL_MS_PER_PEER)

    def _get_watchers(self) -> frozenset[str]:
        rotation = self._app.clock.wall_ms() // WATCHER_ROTATION_MS
        if self._watchers is None or rotation != self._rotation:
            members = (*self._fleet.peers(), self._build_own_instance())
            self._watchers = list_watchers(members, self._app.region, rotation)
            self._rotation = rotation
        return self._watchers

    def _is_read_due(self, interval_ms: int) -> bool:
        due_ms = self._last_read_ms + round(interval_ms * self._jitter)
        return self._app.clock.now_ms() >= due_ms

    def _invalidate_watchers(self) -> None:
        self._watchers = None

    def _build_own_instance(self) -> Instance:
        return Instance(
            name=self._app.name,
            role=Role(self._app.role),
            address=Address(host="", port=0),
            data_centre=self._app.data_centre,
            region=self._app.region,
        )
