"""Replication of the configuration between processes by gossip and anti-entropy."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, Final

from gypsumrouter.configuration.const import (
    ANTI_ENTROPY_MS,
    PAUSE_THRESHOLD_MS,
    START_QUERY_INTERVAL_MS,
    TICK_MS,
)
from gypsumrouter.configuration.fetch import PartsFetcher, PeerLink, answer_parts_request
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.configuration.neighbours import RingNeighbours, list_ring_neighbours
from gypsumrouter.configuration.reader import PlatformReader
from gypsumrouter.configuration.source import ConfigurationSource, HttpConfigurationSource
from gypsumrouter.configuration.store import ConfigurationStore
from gypsumrouter.link.models import (
    ConfigurationAnnouncement,
    ConfigurationParts,
    ConfigurationPartsRequest,
)

if TYPE_CHECKING:
    from gypsumrouter.core import Application
    from gypsumrouter.fleet import Fleet
    from gypsumrouter.link import LinkPool, NoticeHub
    from gypsumrouter.settings import Platform

_LOGGER = logging.getLogger(__name__)

DUMP_SECTION: Final = "configuration_spread"
VERSION_QUERY: Final = ConfigurationPartsRequest(version=0)


class ConfigurationReplicator:
    """Announce new versions to neighbours, fetch newer ones from them, and read the platform.

    Every process announces a new version to its neighbours on common hash rings, and periodically
    queries one of them for its version. Few processes watch the platform, see `PlatformReader`.
    """

    __slots__ = (
        "_app",
        "_conflict_version",
        "_conflicts",
        "_fetcher",
        "_fleet",
        "_known_versions",
        "_last_query_ms",
        "_neighbours",
        "_notices",
        "_pauses",
        "_pool",
        "_reader",
        "_rng",
        "_store",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: Platform,
        store: ConfigurationStore,
        fleet: Fleet,
        pool: LinkPool,
        notices: NoticeHub,
        source: ConfigurationSource | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._app = app
        self._store = store
        self._fleet = fleet
        self._pool = pool
        self._notices = notices
        self._rng = rng or random.Random()
        self._fetcher = PartsFetcher(app=app, store=store)
        self._reader = PlatformReader(
            app=app,
            store=store,
            fleet=fleet,
            source=source or HttpConfigurationSource(app=app, origins=settings.configuration),
            rng=self._rng,
        )
        self._neighbours: tuple[RingNeighbours, ...] | None = None
        self._known_versions: dict[str, int] = {}
        self._last_query_ms = app.clock.now_ms()
        self._conflicts = 0
        self._conflict_version = 0
        self._pauses = 0

    async def async_start(self) -> None:
        """Start replication; the `ready` event of the store is set with the first configuration."""
        self._notices.subscribe(ConfigurationAnnouncement, self._handle_announcement)
        self._notices.subscribe(ConfigurationPartsRequest, self._handle_parts_request)
        self._notices.subscribe(ConfigurationParts, self._handle_parts)
        self._store.on_change(self._announce)
        self._fleet.on_change(self._invalidate_neighbours)
        self._app.add_dump_section(DUMP_SECTION, self._dump)
        self._app.async_create_task(self._async_query_until_ready(), "configuration start")
        self._app.async_create_task(self._async_run_anti_entropy(), "configuration anti-entropy")
        self._reader.async_start()

    def _handle_announcement(self, peer: PeerLink, announcement: ConfigurationAnnouncement) -> None:
        self._reader.record_contact()
        own = self._store.parts
        self._known_versions[peer.hello.name] = max(announcement.version, own.version)
        if announcement.version > own.version:
            self._fetcher.handle_announcement(peer, announcement)
        elif announcement.version < own.version:
            peer.send(self._build_announcement())
        elif announcement.digest != own.digest:
            self._record_conflict(peer, announcement)

    def _handle_parts_request(self, peer: PeerLink, request: ConfigurationPartsRequest) -> None:
        self._reader.record_contact()
        peer.send(answer_parts_request(self._store, request))

    def _handle_parts(self, peer: PeerLink, parts: ConfigurationParts) -> None:
        self._reader.record_contact()
        self._fetcher.handle_parts(parts)

    def _record_conflict(self, peer: PeerLink, announcement: ConfigurationAnnouncement) -> None:
        self._conflicts += 1
        if announcement.version == self._conflict_version:
            return
        self._conflict_version = announcement.version
        _LOGGER.warning(
            "Instance %s has different content for configuration %s; keeping the local content",
            peer.hello.name,
            announcement.version,
        )

    def _announce(self, configuration: Configuration) -> None:
        self._app.async_create_task(self._async_announce(), "configuration announcement")

    async def _async_announce(self) -> None:
        sends = [
            self._async_announce_to(candidates, self._build_announcement())
            for candidates in self._get_neighbours()
        ]
        await asyncio.gather(*sends)

    async def _async_announce_to(
        self, candidates: RingNeighbours, announcement: ConfigurationAnnouncement
    ) -> None:
        """Announce a version to the first reachable candidate, unless it already has it."""
        for instance in candidates:
            if self._known_versions.get(instance.name, 0) >= announcement.version:
                return
            self._known_versions[instance.name] = announcement.version
            if await self._pool.async_send(instance=instance, notice=announcement):
                return
            self._known_versions.pop(instance.name, None)

    async def _async_query_until_ready(self) -> None:
        """Query all neighbours and one random peer, in case no neighbour has a configuration."""
        while not self._store.ready.is_set():
            await self._async_query_all()
            peers = self._fleet.peers()
            if peers:
                await self._async_query((self._rng.choice(peers),))
            await self._app.clock.async_sleep(START_QUERY_INTERVAL_MS)

    async def _async_run_anti_entropy(self) -> None:
        """Query one neighbour periodically, and all of them after this process was paused."""
        while True:
            before_ms = self._app.clock.now_ms()
            await self._app.clock.async_sleep(TICK_MS)
            now_ms = self._app.clock.now_ms()
            if now_ms - before_ms > TICK_MS + PAUSE_THRESHOLD_MS:
                self._pauses += 1
                _LOGGER.info(
                    "Process was paused for %s ms; querying all neighbours for their versions",
                    now_ms - before_ms - TICK_MS,
                )
                self._reader.interrupt()
                await self._async_query_all()
            elif now_ms >= self._last_query_ms + ANTI_ENTROPY_MS:
                await self._async_query_one()

    async def _async_query_all(self) -> None:
        await asyncio.gather(
            *(self._async_query(candidates) for candidates in self._get_neighbours())
        )

    async def _async_query_one(self) -> None:
        neighbours = self._get_neighbours()
        self._last_query_ms = self._app.clock.now_ms() - self._rng.randrange(TICK_MS)
        if neighbours:
            await self._async_query(self._rng.choice(neighbours))

    async def _async_query(self, candidates: RingNeighbours) -> None:
        """Query the first reachable candidate for its version."""
        for instance in candidates:
            if await self._pool.async_send(instance=instance, notice=VERSION_QUERY):
                return

    def _build_announcement(self) -> ConfigurationAnnouncement:
        return ConfigurationAnnouncement(
            version=self._store.parts.version, digest=self._store.parts.digest
        )

    def _get_neighbours(self) -> tuple[RingNeighbours, ...]:
        if self._neighbours is None:
            self._neighbours = list_ring_neighbours(self._app.name, self._fleet.peers())
            names = {instance.name for candidates in self._neighbours for instance in candidates}
            self._known_versions = {
                name: version for name, version in self._known_versions.items() if name in names
            }
        return self._neighbours

    def _invalidate_neighbours(self) -> None:
        self._neighbours = None

    def _dump(self) -> dict[str, object]:
        return {
            "neighbours": sorted({candidates[0].name for candidates in self._get_neighbours()}),
            "watches_platform": self._reader.is_watching,
            "platform_failure": self._reader.failure,
            "fetched_from_peers": self._fetcher.fetched,
            "parts_received_bytes": self._fetcher.received_bytes,
            "conflicts": self._conflicts,
            "wakeups": self._pauses,
        }
