"""The exchange between routers: found through seeds, one task a peer, never in a request's path.

Each router tells its neighbours, those of its own data centre, all that it has; what other data
centres have comes through relays. Seeds are told where it is, and tell it where the others are.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Evacuations
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
    RouterAt,
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
from gypsumrouter.peers.evacuations import write_evacuations
from gypsumrouter.peers.held import HeldDesk
from gypsumrouter.peers.loads import read_loads, write_loads
from gypsumrouter.peers.outbox import Outbox
from gypsumrouter.peers.relays import RelayDesk
from gypsumrouter.peers.routers import KnownRouter, RouterBook
from gypsumrouter.peers.watchers import WatchDesk
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingConfiguration, RoutingStore
from gypsumrouter.settings import ForwarderSettings, read_link_key

_LOGGER = logging.getLogger(__name__)


class Mesh:
    """Sends this router's news to its neighbours and the seeds, and takes theirs."""

    __slots__ = (
        "_app",
        "_catch_up",
        "_directory",
        "_evacuations",
        "_forwarder",
        "_held",
        "_journal",
        "_outbox",
        "_pool",
        "_relays",
        "_routers",
        "_routing",
        "_seeds",
        "_server",
        "_tasks",
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
        evacuations: Evacuations,
        forwarder: Forwarder,
        decode: Callable[[bytes], RoutingConfiguration],
        routing_state: WatchState,
        upstreams: WatchState,
    ) -> None:
        self._app = app
        self._journal = journal
        self._routing = routing
        self._directory = directory
        self._evacuations = evacuations
        self._forwarder = forwarder
        self._routers = RouterBook(
            clock=app.clock, own=settings.link_address, data_centre=app.data_centre
        )
        self._seeds = settings.seeds
        # The routers that a task of this one tells.
        self._tasks: set[str] = set()
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
            evacuations=evacuations,
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
            evacuations=evacuations,
            catch_up=self._catch_up,
            notices=notices,
            routing=routing_state,
            upstreams=upstreams,
        )
        self._relays = RelayDesk(
            app=app,
            routers=self._routers,
            routing=routing,
            directory=directory,
            evacuations=evacuations,
            placer=forwarder.placer,
            suspects=forwarder.suspects,
            catch_up=self._catch_up,
            notices=notices,
            send=self._async_send,
            without=settings.without,
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
        forwarder.placer.slow_start.take_fleet(self._routers)
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
        self._relays.async_start()
        return address

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Tell other seeds from now on; one that is no seed any more stays while it answers."""
        self._seeds = seeds
        for text, known in self._routers.items():
            known.seed = text in seeds
        for seed in seeds:
            self._learn(seed, seed=True)
        self._count_routers()

    def _learn(self, text: str, *, data_centre: str = "", seed: bool = False) -> None:
        known = self._routers.learn(text, data_centre=data_centre, seed=seed)
        if known is not None and self._routers.is_told(text) and text not in self._tasks:
            self._tasks.add(text)
            self._app.async_create_task(self._async_tell(text, known), f"peer {text}")

    async def _async_tell(self, text: str, known: KnownRouter) -> None:
        """Send news to one peer for as long as it is a neighbour that is heard of, or a seed."""
        while self._routers.is_told(text):
            placed, end = self._outbox.since(known.told)
            news = self._make_news(known, placed)
            sent = await self._async_send(text, news)
            if sent and not known.renewed:
                known.told = end
            known.renewed = False
            self._note_reached(text, known, sent)
            await self._app.clock.async_sleep(self._get_period_ms(known))
        self._tasks.discard(text)

    def _get_period_ms(self, known: KnownRouter) -> int:
        """Return how often a router is told; all routers tell the seeds, few their neighbours."""
        neighbour = self._routers.is_neighbour(known)
        peers = len(self._routers.list_neighbours()) if neighbour else len(self._routers)
        return NEWS_MS + NEWS_MS_PER_PEER * peers

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
        news = RouterNews(
            address=self._routers.own,
            routers=self._list_routers(known),
            routing_version=self._routing.version,
            list_revision=self._directory.applied_revision,
            evacuations=write_evacuations(self._evacuations),
            data_centre=self._app.data_centre,
        )
        if not self._routers.is_neighbour(known):
            return news
        placer = self._forwarder.placer
        return replace(
            news,
            loads=write_loads(placer.loads),
            placed=placed,
            strikes=self._outbox.strikes(now_ms=self._app.clock.now_ms()),
            refused=placer.health.list_refused(),
        )

    def _list_routers(self, known: KnownRouter) -> tuple[RouterAt, ...]:
        """Return the other routers, or nothing where a peer was told the same a moment ago."""
        now_ms = self._app.clock.now_ms()
        same = known.routers_told == len(self._routers)
        if same and now_ms - known.routers_told_ms < ROUTERS_MS:
            return ()
        known.routers_told = len(self._routers)
        known.routers_told_ms = now_ms
        return self._routers.list_living()

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
        self._learn(news.address, data_centre=news.data_centre)
        known = self._routers.get(news.address)
        if known is not None:
            known.note_heard(peer, data_centre=news.data_centre, now_ms=now_ms)
        self._catch_up.take_evacuations(peer, news.evacuations)
        for router in news.routers:
            self._learn(router.address, data_centre=router.data_centre)
        if news.data_centre == self._app.data_centre:
            self._take_loads(peer, news, now_ms)
        elif known is not None and not known.seed:
            self._answer(peer, known)
        self._catch_up.compare(
            peer, routing_version=news.routing_version, list_revision=news.list_revision
        )
        self._count_routers()

    def _answer(self, peer: Peer, known: KnownRouter) -> None:
        """Tell a router that takes this one for a seed where the others are."""
        news = self._make_news(known, ())
        if news.routers:
            peer.send(news)

    def _take_loads(self, peer: Peer, news: RouterNews, now_ms: int) -> None:
        placer = self._forwarder.placer
        if Mechanism.PEER_LOADS not in self._without:
            placer.loads.take_peer(peer.hello.name, read_loads(news, now_ms=now_ms))
        placed = self._list_placed(news)
        for part in placed:
            placer.holdings.note(part=part.part, upstream=part.upstream, now_ms=now_ms)
        placer.take_refused(news.refused)
        self._relays.note_refused(news.refused)
        self._relays.note_placed(placed)
        for strike in news.strikes:
            if self._forwarder.suspects.take(
                strike.digest, strike.upstream, source=peer.hello.name
            ):
                self._relays.note_strike(strike)

    def _list_placed(self, news: RouterNews) -> tuple[PlacedPart, ...]:
        return () if Mechanism.PEER_PLACEMENTS in self._without else news.placed

    def _note_placed(self, part: int, upstream: str) -> None:
        placed = PlacedPart(part=part, upstream=upstream)
        self._outbox.add_part(placed)
        self._relays.note_placed((placed,))

    def count_alive(self) -> int:
        """Return the number of peers that were heard a moment ago."""
        return self._routers.count_alive()

    def is_watcher(self) -> bool:
        """Return whether this router watches the store for its data centre."""
        return self._watch.is_watcher()

    def count_watchers(self) -> int:
        """Return how many other routers watch the store."""
        return self._watch.count_watchers()

    def _note_strike(self, digest: int, upstream: str) -> None:
        now_ms = self._app.clock.now_ms()
        strike = Strike(digest=digest, upstream=upstream)
        self._outbox.add_strike(strike, now_ms=now_ms)
        self._relays.note_strike(strike)

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
        data_centres = {
            name: {
                "alive": other.alive,
                "relay": other.relay,
                "heard_ms_ago": now_ms - other.heard_ms,
            }
            for name, other in self._routers.data_centres.items()
            if other.relay or other.alive
        }
        return {
            "routers": routers,
            "data_centres": data_centres,
            "watchers": self.count_watchers(),
        }
