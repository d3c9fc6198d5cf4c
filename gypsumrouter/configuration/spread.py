"""How a new configuration reaches this process and goes on to others."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, Final

from gypsumrouter.configuration.const import (
    ANTI_ENTROPY_MS,
    PAUSE_MS,
    START_ASK_MS,
    TICK_MS,
)
from gypsumrouter.configuration.fetch import PartsFetcher, Sender, answer_parts_request
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.configuration.neighbours import Route, list_routes
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
ASK_VERSION: Final = ConfigurationPartsRequest(version=0)


class ConfigurationSpread:
    """Tell neighbours of each new version, fetch what they have, and read the platform.

    Every process tells its few neighbours on common rings, and asks one of them now and then
    which version it has. Only a few processes watch the platform, see `PlatformReader`.
    """

    __slots__ = (
        "_app",
        "_asked_at_ms",
        "_conflict_version",
        "_conflicts",
        "_fetcher",
        "_fleet",
        "_notices",
        "_pool",
        "_reader",
        "_rng",
        "_routes",
        "_store",
        "_told",
        "_wakeups",
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
        self._routes: tuple[Route, ...] | None = None
        self._told: dict[str, int] = {}
        self._asked_at_ms = app.clock.now_ms()
        self._conflicts = 0
        self._conflict_version = 0
        self._wakeups = 0

    async def async_start(self) -> None:
        """Begin to ask peers and the platform; the store's `ready` says when one has answered."""
        self._notices.subscribe(ConfigurationAnnouncement, self._take_news)
        self._notices.subscribe(ConfigurationPartsRequest, self._answer_request)
        self._notices.subscribe(ConfigurationParts, self._take_parts)
        self._store.on_change(self._announce)
        self._fleet.on_change(self._forget_routes)
        self._app.add_dump_section(DUMP_SECTION, self._dump)
        self._app.async_create_task(self._async_ask_until_ready(), "configuration start")
        self._app.async_create_task(self._async_keep_in_step(), "configuration anti-entropy")
        self._reader.async_start()

    def _take_news(self, peer: Sender, news: ConfigurationAnnouncement) -> None:
        self._reader.note_contact()
        mine = self._store.parts
        self._told[peer.hello.name] = max(news.version, mine.version)
        if news.version > mine.version:
            self._fetcher.offer(peer, news)
        elif news.version < mine.version:
            peer.send(self._get_news())
        elif news.digest != mine.digest:
            self._note_conflict(peer, news)

    def _answer_request(self, peer: Sender, request: ConfigurationPartsRequest) -> None:
        self._reader.note_contact()
        peer.send(answer_parts_request(self._store, request))

    def _take_parts(self, peer: Sender, parts: ConfigurationParts) -> None:
        self._reader.note_contact()
        self._fetcher.take(parts)

    def _note_conflict(self, peer: Sender, news: ConfigurationAnnouncement) -> None:
        self._conflicts += 1
        if news.version == self._conflict_version:
            return
        self._conflict_version = news.version
        _LOGGER.warning(
            "Instance %s has another content of configuration %s", peer.hello.name, news.version
        )

    def _announce(self, configuration: Configuration) -> None:
        self._app.async_create_task(self._async_announce(), "configuration news")

    async def _async_announce(self) -> None:
        sends = [self._async_tell(route, self._get_news()) for route in self._get_routes()]
        await asyncio.gather(*sends)

    async def _async_tell(self, route: Route, news: ConfigurationAnnouncement) -> None:
        """Tell the first instance of a route that can be reached and does not know yet."""
        for instance in route:
            if self._told.get(instance.name, 0) >= news.version:
                return
            self._told[instance.name] = news.version
            if await self._pool.async_send(instance=instance, notice=news):
                return
            self._told.pop(instance.name, None)

    async def _async_ask_until_ready(self) -> None:
        """Ask neighbours and each time any other instance, since neighbours may know nothing."""
        while not self._store.ready.is_set():
            await self._async_ask_all()
            peers = self._fleet.peers()
            if peers:
                await self._async_ask((self._rng.choice(peers),))
            await self._app.clock.async_sleep(START_ASK_MS)

    async def _async_keep_in_step(self) -> None:
        """Ask a neighbour now and then, and all of them after this process was paused."""
        while True:
            before_ms = self._app.clock.now_ms()
            await self._app.clock.async_sleep(TICK_MS)
            now_ms = self._app.clock.now_ms()
            if now_ms - before_ms > TICK_MS + PAUSE_MS:
                self._wakeups += 1
                _LOGGER.info("This process stood still for %s ms", now_ms - before_ms - TICK_MS)
                self._reader.wake()
                await self._async_ask_all()
            elif now_ms >= self._asked_at_ms + ANTI_ENTROPY_MS:
                await self._async_ask_one()

    async def _async_ask_all(self) -> None:
        await asyncio.gather(*(self._async_ask(route) for route in self._get_routes()))

    async def _async_ask_one(self) -> None:
        routes = self._get_routes()
        self._asked_at_ms = self._app.clock.now_ms() - self._rng.randrange(TICK_MS)
        if routes:
            await self._async_ask(self._rng.choice(routes))

    async def _async_ask(self, route: Route) -> None:
        """Ask the first instance of a route that can be reached which version it has."""
        for instance in route:
            if await self._pool.async_send(instance=instance, notice=ASK_VERSION):
                return

    def _get_news(self) -> ConfigurationAnnouncement:
        return ConfigurationAnnouncement(
            version=self._store.parts.version, digest=self._store.parts.digest
        )

    def _get_routes(self) -> tuple[Route, ...]:
        if self._routes is None:
            self._routes = list_routes(self._app.name, self._fleet.peers())
            names = {instance.name for route in self._routes for instance in route}
            self._told = {name: told for name, told in self._told.items() if name in names}
        return self._routes

    def _forget_routes(self) -> None:
        self._routes = None

    def _dump(self) -> dict[str, object]:
        return {
            "neighbours": sorted({route[0].name for route in self._get_routes()}),
            "watches_platform": self._reader.watches,
            "platform_failure": self._reader.failure,
            "fetched_from_peers": self._fetcher.fetched,
            "parts_received_bytes": self._fetcher.received_bytes,
            "conflicts": self._conflicts,
            "wakeups": self._wakeups,
        }
