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
from gypsumrouter.peers.catch_up import CatchUpCoordinator
from gypsumrouter.peers.const import (
    ROUTER_LIST_INTERVAL_MS,
    UPDATE_INTERVAL_MS,
    UPDATE_INTERVAL_MS_PER_PEER,
)
from gypsumrouter.peers.evacuations import encode_evacuations
from gypsumrouter.peers.inventory import InventoryCoordinator
from gypsumrouter.peers.loads import decode_loads, encode_loads
from gypsumrouter.peers.outbox import Outbox
from gypsumrouter.peers.relays import DataCentreRelay
from gypsumrouter.peers.routers import PeerRouter, RouterRegistry
from gypsumrouter.peers.watchers import WatchCoordinator
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingConfiguration, RoutingStore
from gypsumrouter.settings import ForwarderSettings, read_link_key

_LOGGER = logging.getLogger(__name__)


class Mesh:
    """Sends this router's update to its neighbours and the seeds, and takes theirs."""

    __slots__ = (
        "_app",
        "_catch_up",
        "_directory",
        "_evacuations",
        "_forwarder",
        "_inventory",
        "_journal",
        "_outbox",
        "_pool",
        "_relays",
        "_routers",
        "_routing",
        "_seeds",
        "_sending_to",
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
        self._routers = RouterRegistry(
            clock=app.clock, own=settings.link_address, data_centre=app.data_centre
        )
        self._seeds = settings.seeds
        # The routers that a task of this one tells.
        self._sending_to: set[str] = set()
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
        self._catch_up = CatchUpCoordinator(
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
        self._watch = WatchCoordinator(
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
        self._relays = DataCentreRelay(
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
        self._inventory = InventoryCoordinator(
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
            forwarder.inventory.take_peers(self._inventory)
        forwarder.placer.slow_start.take_fleet(self._routers)
        notices.subscribe(RouterNews, self._handle_update)
        forwarder.placer.on_placed(self._note_placed)
        forwarder.suspects.on_strike(self._note_strike)
        app.add_dump_section("peers", self._dump)

    async def async_start(self) -> Address:
        """Listen for links, begin to tell the seeds, and return the address."""
        address = await self._server.async_start()
        self._routers.own = str(address)
        for seed in self._seeds:
            self._add_router(seed, seed=True)
        self._update_retry_budget()
        self._watch.async_start()
        self._relays.async_start()
        return address

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Tell other seeds from now on; one that is no seed any more stays while it answers."""
        self._seeds = seeds
        for text, known in self._routers.items():
            known.seed = text in seeds
        for seed in seeds:
            self._add_router(seed, seed=True)
        self._update_retry_budget()

    def _add_router(self, text: str, *, data_centre: str = "", seed: bool = False) -> None:
        known = self._routers.add(text, data_centre=data_centre, seed=seed)
        if (
            known is not None
            and self._routers.receives_updates(text)
            and text not in self._sending_to
        ):
            self._sending_to.add(text)
            self._app.async_create_task(self._async_send_updates(text, known), f"peer {text}")

    async def _async_send_updates(self, text: str, known: PeerRouter) -> None:
        """Send update to one peer for as long as it is a neighbour that is heard of, or a seed."""
        while self._routers.receives_updates(text):
            placed, end = self._outbox.read_from(known.sent_position)
            update = self._make_update(known, placed)
            sent = await self._async_send(text, update)
            if sent and not known.restarted:
                known.sent_position = end
            known.restarted = False
            self._record_reachability(text, known, sent)
            await self._app.clock.async_sleep(self._get_period_ms(known))
        self._sending_to.discard(text)

    def _get_period_ms(self, known: PeerRouter) -> int:
        """Return how often a router is told; all routers tell the seeds, few their neighbours."""
        neighbour = self._routers.is_neighbour(known)
        peers = len(self._routers.list_neighbours()) if neighbour else len(self._routers)
        return UPDATE_INTERVAL_MS + UPDATE_INTERVAL_MS_PER_PEER * peers

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

    def _make_update(self, known: PeerRouter, placed: tuple[PlacedPart, ...]) -> RouterNews:
        update = RouterNews(
            address=self._routers.own,
            routers=self._list_routers(known),
            routing_version=self._routing.version,
            list_revision=self._directory.newest,
            evacuations=encode_evacuations(self._evacuations),
            data_centre=self._app.data_centre,
        )
        if not self._routers.is_neighbour(known):
            return update
        placer = self._forwarder.placer
        return replace(
            update,
            loads=encode_loads(placer.loads),
            placed=placed,
            strikes=self._outbox.list_strikes(now_ms=self._app.clock.now_ms()),
            refused=placer.health.list_refused(),
        )

    def _list_routers(self, known: PeerRouter) -> tuple[RouterAt, ...]:
        """Return the other routers, or nothing where a peer was told the same a moment ago."""
        now_ms = self._app.clock.now_ms()
        same = known.sent_router_count == len(self._routers)
        if same and now_ms - known.sent_routers_ms < ROUTER_LIST_INTERVAL_MS:
            return ()
        known.sent_router_count = len(self._routers)
        known.sent_routers_ms = now_ms
        return self._routers.list_live_routers()

    def _record_reachability(self, text: str, known: PeerRouter, sent: bool) -> None:
        now_ms = self._app.clock.now_ms()
        if sent and known.reachable is False:
            lost_ms = now_ms - known.last_reached_ms
            self._journal.record(DependencyRegained(dependency=f"peer {text}", lost_ms=lost_ms))
        if not sent and known.reachable is True:
            self._journal.record(DependencyLost(dependency=f"peer {text}", reason="no link"))
        if sent:
            known.last_reached_ms = now_ms
        known.reachable = sent

    def _handle_update(self, peer: Peer, update: RouterNews) -> None:
        now_ms = self._app.clock.now_ms()
        self._add_router(update.address, data_centre=update.data_centre)
        known = self._routers.get(update.address)
        if known is not None:
            known.note_update(peer, data_centre=update.data_centre, now_ms=now_ms)
        self._catch_up.merge_evacuations(peer, update.evacuations)
        for router in update.routers:
            self._add_router(router.address, data_centre=router.data_centre)
        if update.data_centre == self._app.data_centre:
            self._apply_update(peer, update, now_ms)
        elif known is not None and not known.seed:
            self._send_router_list(peer, known)
        self._catch_up.check_versions(
            peer, routing_version=update.routing_version, list_revision=update.list_revision
        )
        self._update_retry_budget()

    def _send_router_list(self, peer: Peer, known: PeerRouter) -> None:
        """Tell a router that takes this one for a seed where the others are."""
        update = self._make_update(known, ())
        if update.routers:
            peer.send(update)

    def _apply_update(self, peer: Peer, update: RouterNews, now_ms: int) -> None:
        placer = self._forwarder.placer
        if Mechanism.PEER_LOADS not in self._without:
            placer.loads.take_peer(peer.hello.name, decode_loads(update, now_ms=now_ms))
        placed = self._list_placed(update)
        for part in placed:
            placer.holdings.note(part=part.part, upstream=part.upstream, now_ms=now_ms)
        placer.take_refused(update.refused)
        self._relays.note_refused(update.refused)
        self._relays.note_placed(placed)
        for strike in update.strikes:
            if self._forwarder.suspects.take(
                strike.digest, strike.upstream, source=peer.hello.name
            ):
                self._relays.note_strike(strike)

    def _list_placed(self, update: RouterNews) -> tuple[PlacedPart, ...]:
        return () if Mechanism.PEER_PLACEMENTS in self._without else update.placed

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

    def _update_retry_budget(self) -> None:
        """Tell the retry budget among how many routers it is shared."""
        alive = self._routers.count_alive()
        self._forwarder.budget.routers = 1 + max(alive, self._routers.count_seeds())

    def _dump(self) -> object:
        now_ms = self._app.clock.now_ms()
        routers = {
            text: {
                "data_centre": known.data_centre,
                "reached": known.reachable,
                "heard_ms_ago": None if known.peer is None else now_ms - known.last_update_ms,
            }
            for text, known in self._routers.items()
        }
        data_centres = {
            name: {
                "alive": other.alive,
                "relay": other.relay,
                "heard_ms_ago": now_ms - other.last_update_ms,
            }
            for name, other in self._routers.data_centres.items()
            if other.relay or other.alive
        }
        return {
            "routers": routers,
            "data_centres": data_centres,
            "watchers": self.count_watchers(),
        }
