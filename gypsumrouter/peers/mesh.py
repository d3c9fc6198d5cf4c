"""The exchange between routers: found through seeds, one task a peer, never in a request's path."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding import Forwarder
from gypsumrouter.instances import Address, Instance, parse_address
from gypsumrouter.journal import DependencyLost, DependencyRegained, Journal
from gypsumrouter.link import (
    LinkPool,
    LinkServer,
    Notice,
    NoticeHub,
    Peer,
    PlacedPart,
    RouterNews,
    Strike,
)
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.peers.catch_up import CatchUpDesk
from gypsumrouter.peers.const import (
    NEWS_MS,
    NEWS_MS_PER_PEER,
    ROUTERS_MS,
)
from gypsumrouter.peers.held import HeldDesk
from gypsumrouter.peers.loads import read_loads, write_loads
from gypsumrouter.peers.outbox import Outbox
from gypsumrouter.peers.routers import KnownRouter, RouterBook
from gypsumrouter.peers.watchers import WatchDesk
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingConfiguration, RoutingStore
from gypsumrouter.settings import ForwarderSettings, read_link_key

_LOGGER = logging.getLogger(__name__)


class Mesh:
    """Sends this router's news to every other one and takes theirs."""

    __slots__ = (
        "_app",
        "_catch_up",
        "_directory",
        "_forwarder",
        "_held",
        "_journal",
        "_outbox",
        "_pool",
        "_routers",
        "_routing",
        "_seeds",
        "_server",
        "_watch",
        "_without",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: ForwarderSettings,
        journal: Journal,
        routing: RoutingStore,
        directory: Directory,
        forwarder: Forwarder,
        decode: Callable[[bytes], RoutingConfiguration],
        routing_state: WatchState,
        upstreams: WatchState,
    ) -> None:
        self._app = app
        self._journal = journal
        self._routing = routing
        self._directory = directory
        self._forwarder = forwarder
        self._routers = RouterBook(
            clock=app.clock, own=settings.link_address, data_centre=app.data_centre
        )
        self._seeds = settings.seeds
        self._outbox = Outbox()
        notices = NoticeHub(app=app)
        key = read_link_key(settings.link)
        self._server = LinkServer(
            app=app,
            settings=settings.link,
            key=key,
            notices=notices,
            handler=None,
            answer_memory_bytes=settings.limits.answer_memory_bytes,
        )
        self._pool = LinkPool(app=app, settings=settings.link, key=key, notices=notices)
        self._catch_up = CatchUpDesk(
            app=app,
            journal=journal,
            routing=routing,
            directory=directory,
            notices=notices,
            decode=decode,
            routing_state=routing_state,
            upstreams=upstreams,
        )
        self._watch = WatchDesk(
            app=app,
            routers=self._routers,
            routing_store=routing,
            directory=directory,
            catch_up=self._catch_up,
            notices=notices,
            routing=routing_state,
            upstreams=upstreams,
        )
        self._held = HeldDesk(
            app=app,
            journal=journal,
            notices=notices,
            holdings=forwarder.placer.holdings,
            own=lambda: self._routers.own,
            list_seeds=self._list_seeds,
            send=self._async_send,
        )
        self._without = settings.without
        if Mechanism.TOLD_INVENTORY not in settings.without:
            forwarder.inventory.take_peers(self._held)
        notices.subscribe(RouterNews, self._take_news)
        forwarder.placer.on_placed(self._note_placed)
        forwarder.suspects.on_strike(self._note_strike)
        app.add_dump_section("peers", self._dump)

    async def async_start(self) -> Address:
        """Listen for links, begin to tell the seeds, and return the address."""
        address = await self._server.async_start()
        self._routers.own = str(address)
        for seed in self._seeds:
            self._learn(seed, seed=True)
        self._count_routers()
        self._watch.async_start()
        return address

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Tell other seeds from now on; one that is no seed any more stays while it answers."""
        self._seeds = seeds
        for text, known in self._routers.items():
            known.seed = text in seeds
        for seed in seeds:
            self._learn(seed, seed=True)
        self._count_routers()

    def _learn(self, text: str, *, seed: bool = False) -> None:
        if self._routers.learn(text, seed=seed):
            self._app.async_create_task(self._async_tell(text), f"peer {text}")

    async def _async_tell(self, text: str) -> None:
        """Send news to one peer until it is forgotten."""
        known = self._routers.get(text)
        assert known is not None
        while True:
            placed, end = self._outbox.since(known.told)
            news = self._make_news(known, placed)
            sent = await self._async_send(text, news)
            if sent and not known.renewed:
                known.told = end
            known.renewed = False
            self._note_reached(text, known, sent)
            if self._routers.forget_unreached(text):
                return
            await self._app.clock.async_sleep(NEWS_MS + NEWS_MS_PER_PEER * len(self._routers))

    def _list_seeds(self) -> tuple[str, ...]:
        """Return the seeds that are addresses, this router among them where it is one."""
        return tuple(
            seed for seed in self._seeds if seed == self._routers.own or seed in self._routers
        )

    async def _async_send(self, text: str, notice: Notice) -> bool:
        """Send a notice to the router whose link listens at an address."""
        instance = Instance(
            name="",
            role=Role.FORWARDER,
            address=parse_address(text),
            data_centre="",
            region="",
        )
        return await self._pool.async_send(instance=instance, notice=notice)

    def _make_news(self, known: KnownRouter, placed: tuple[PlacedPart, ...]) -> RouterNews:
        return RouterNews(
            address=self._routers.own,
            routers=self._list_routers(known),
            routing_version=self._routing.version,
            list_revision=self._directory.newest,
            loads=write_loads(self._forwarder.placer.loads),
            placed=placed,
            strikes=self._outbox.strikes(now_ms=self._app.clock.now_ms()),
            data_centre=self._app.data_centre,
        )

    def _list_routers(self, known: KnownRouter) -> tuple[str, ...]:
        """Return the other routers, or nothing where a peer was told the same a moment ago."""
        now_ms = self._app.clock.now_ms()
        same = known.routers_told == len(self._routers)
        if same and now_ms - known.routers_told_ms < ROUTERS_MS:
            return ()
        known.routers_told = len(self._routers)
        known.routers_told_ms = now_ms
        return tuple(self._routers)

    def _note_reached(self, text: str, known: KnownRouter, sent: bool) -> None:
        now_ms = self._app.clock.now_ms()
        if sent and known.reached is False:
            lost_ms = now_ms - known.reached_ms
            self._journal.record(DependencyRegained(dependency=f"peer {text}", lost_ms=lost_ms))
        if not sent and known.reached is True:
            self._journal.record(DependencyLost(dependency=f"peer {text}", reason="no link"))
        if sent:
            known.reached_ms = now_ms
        known.reached = sent

    def _take_news(self, peer: Peer, news: RouterNews) -> None:
        now_ms = self._app.clock.now_ms()
        self._learn(news.address)
        known = self._routers.get(news.address)
        if known is not None:
            known.note_heard(peer, data_centre=news.data_centre, now_ms=now_ms)
        for router in news.routers:
            self._learn(router)
        placer = self._forwarder.placer
        if Mechanism.PEER_LOADS not in self._without:
            placer.loads.take_peer(peer.hello.name, read_loads(news, now_ms=now_ms))
        for placed in self._list_placed(news):
            placer.holdings.note(part=placed.part, upstream=placed.upstream, now_ms=now_ms)
        for strike in news.strikes:
            self._forwarder.suspects.take(strike.digest, strike.upstream, source=peer.hello.name)
        self._catch_up.compare(peer, news, now_ms)
        self._count_routers()

    def _list_placed(self, news: RouterNews) -> tuple[PlacedPart, ...]:
        return () if Mechanism.PEER_PLACEMENTS in self._without else news.placed

    def _note_placed(self, part: int, upstream: str) -> None:
        self._outbox.add_part(PlacedPart(part=part, upstream=upstream))

    def count_alive(self) -> int:
        """Return the number of peers that were heard a moment ago."""
        return self._routers.count_alive()

    def count_watchers(self) -> int:
        """Return how many other routers watch the store."""
        return self._watch.count_watchers()

    def _note_strike(self, digest: int, upstream: str) -> None:
        now_ms = self._app.clock.now_ms()
        self._outbox.add_strike(Strike(digest=digest, upstream=upstream), now_ms=now_ms)

    def _count_routers(self) -> None:
        """Tell the retry budget among how many routers it is shared."""
        alive = self._routers.count_alive()
        self._forwarder.budget.routers = 1 + max(alive, self._routers.count_seeds())

    def _dump(self) -> object:
        now_ms = self._app.clock.now_ms()
        routers = {
            text: {
                "data_centre": known.data_centre,
                "reached": known.reached,
                "heard_ms_ago": None if known.peer is None else now_ms - known.heard_ms,
            }
            for text, known in self._routers.items()
        }
        return {"routers": routers, "watchers": self.count_watchers()}
