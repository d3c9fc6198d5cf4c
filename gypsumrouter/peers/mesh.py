"""State exchange between routers, which runs in background tasks and never delays a request.

Routers discover each other through the seeds. A router sends its full state to its neighbours, the
routers of its own data centre, and its address to the seeds, which reply with the addresses of
the other routers. State of other data centres is relayed; see `relays.py`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

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
    RouterUpdate,
)
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.peers.catch_up import CatchUpCoordinator
from gypsumrouter.peers.confirmation import ListConfirmer
from gypsumrouter.peers.const import (
    UPDATE_INTERVAL_MS,
    UPDATE_INTERVAL_MS_PER_PEER,
)
from gypsumrouter.peers.crashes import CrashExchange
from gypsumrouter.peers.encoding import decode_loads
from gypsumrouter.peers.held import InventoryCoordinator
from gypsumrouter.peers.outbox import Outbox
from gypsumrouter.peers.relays import DataCentreRelay
from gypsumrouter.peers.routers import PeerRouter, RouterRegistry
from gypsumrouter.peers.step_monitor import StepMonitor
from gypsumrouter.peers.streams import StreamExchange
from gypsumrouter.peers.updates import UpdateFactory
from gypsumrouter.peers.usage import UsageExchange
from gypsumrouter.peers.watchers import WatchCoordinator
from gypsumrouter.published import ListConfirmation, WatchState
from gypsumrouter.routing import RoutingConfiguration, RoutingStore
from gypsumrouter.settings import ForwarderSettings, read_link_key

_LOGGER = logging.getLogger(__name__)


class Mesh:
    """Sends updates to the neighbours and the seeds, and processes updates received from peers."""

    __slots__ = (
        "_app",
        "_catch_up",
        "_crashes",
        "_forwarder",
        "_inventory",
        "_journal",
        "_outbox",
        "_pool",
        "_relays",
        "_routers",
        "_seeds",
        "_sending_to",
        "_server",
        "_step",
        "_streams",
        "_updates",
        "_usage",
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
        confirmation: ListConfirmation,
    ) -> None:
        self._app = app
        self._journal = journal
        self._forwarder = forwarder
        self._routers = RouterRegistry(
            clock=app.clock, own_address=settings.link_address, data_centre=app.data_centre
        )
        self._seeds = settings.seeds
        # Addresses of the routers that have a running update task.
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
        self._step = StepMonitor(app=app, journal=journal, upstreams=upstreams)
        self._usage = UsageExchange(clock=app.clock, shares=forwarder.shares)
        self._updates = UpdateFactory(
            app=app,
            routers=self._routers,
            routing=routing,
            directory=directory,
            evacuations=evacuations,
            forwarder=forwarder,
            usage=self._usage,
        )
        self._relays = DataCentreRelay(
            app=app,
            routers=self._routers,
            routing=routing,
            directory=directory,
            evacuations=evacuations,
            placer=forwarder.placer,
            get_verdicts_digest=lambda: forwarder.suspects.verdicts.digest,
            catch_up=self._catch_up,
            notices=notices,
            send=self._async_send,
            without=settings.without,
            usage=self._usage,
        )
        self._inventory = InventoryCoordinator(
            app=app,
            journal=journal,
            notices=notices,
            cache_index=forwarder.placer.cache_index,
            get_own_address=lambda: self._routers.own_address,
            list_seeds=self._list_seeds,
            send=self._async_send,
        )
        confirmer = ListConfirmer(
            app=app,
            routers=self._routers,
            notices=notices,
            directory=directory,
            upstreams=upstreams,
            catch_up=self._catch_up,
            watch=self._watch,
            store=confirmation,
            send=self._async_send,
        )
        self._streams = StreamExchange(
            app=app,
            routers=self._routers,
            notices=notices,
            origins=forwarder.streams,
            send=self._async_send,
            confirm_list=confirmer.async_confirm,
        )
        forwarder.streams.set_peers(self._streams)
        self._crashes = CrashExchange(
            app=app,
            routers=self._routers,
            relays=self._relays,
            notices=notices,
            guard=forwarder.suspects,
            send=self._async_send,
        )
        self._without = settings.without
        if Mechanism.PEER_INVENTORY not in settings.without:
            forwarder.inventory.set_peers(self._inventory)
        forwarder.placer.slow_start.set_fleet(self._routers)
        notices.subscribe(RouterUpdate, self._handle_update)
        forwarder.placer.on_placed(self._note_placed)
        app.add_dump_section("peers", self._dump)

    async def async_start(self) -> Address:
        """Bind the link listener, start the update tasks and return the bound address."""
        address = await self._server.async_start()
        self._routers.own_address = str(address)
        for seed in self._seeds:
            self._add_router(seed, seed=True)
        self._update_retry_budget()
        self._watch.async_start()
        self._relays.async_start()
        self._streams.async_start()
        self._step.async_start()
        return address

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds; a former seed is kept as a regular router until it expires."""
        self._seeds = seeds
        for address, known in self._routers.items():
            known.seed = address in seeds
        for seed in seeds:
            self._add_router(seed, seed=True)
        self._update_retry_budget()

    def _add_router(self, address: str, *, data_centre: str = "", seed: bool = False) -> None:
        known = self._routers.add(address, data_centre=data_centre, seed=seed)
        if (
            known is not None
            and self._routers.receives_updates(address)
            and address not in self._sending_to
        ):
            self._sending_to.add(address)
            self._app.async_create_task(self._async_send_updates(address, known), f"peer {address}")

    async def _async_send_updates(self, address: str, known: PeerRouter) -> None:
        """Send updates to one peer for as long as it is a known neighbour or a seed."""
        while self._routers.receives_updates(address):
            placed, end = self._outbox.read_from(known.sent_position)
            update = self._updates.make(known, placed)
            sent = await self._async_send(address, update)
            if sent and not known.restarted:
                known.sent_position = end
            known.restarted = False
            self._record_reachability(address, known, sent)
            await self._app.clock.async_sleep(self._get_period_ms(known))
        self._sending_to.discard(address)

    def _get_period_ms(self, known: PeerRouter) -> int:
        """Return the update interval; a seed receives updates from all routers of the fleet."""
        neighbour = self._routers.is_neighbour(known)
        peers = len(self._routers.list_neighbours()) if neighbour else len(self._routers)
        return UPDATE_INTERVAL_MS + UPDATE_INTERVAL_MS_PER_PEER * peers

    def _list_seeds(self) -> tuple[str, ...]:
        """Return the seeds with a valid address, including this router if it is a seed."""
        return tuple(
            seed
            for seed in self._seeds
            if seed == self._routers.own_address or seed in self._routers
        )

    async def _async_send(self, address: str, notice: Notice) -> bool:
        """Send a notice to the router at an address; return whether it was sent."""
        instance = Instance(
            name="",
            role=Role.FORWARDER,
            address=parse_address(address),
            data_centre="",
            region="",
        )
        return await self._pool.async_send(instance=instance, notice=notice)

    def _record_reachability(self, address: str, known: PeerRouter, sent: bool) -> None:
        now_ms = self._app.clock.now_ms()
        if sent and known.reachable is False:
            lost_ms = now_ms - known.last_reached_ms
            self._journal.record(DependencyRegained(dependency=f"peer {address}", lost_ms=lost_ms))
        if not sent and known.reachable is True:
            self._journal.record(DependencyLost(dependency=f"peer {address}", reason="no link"))
        if sent:
            known.last_reached_ms = now_ms
        known.reachable = sent

    def _handle_update(self, peer: Peer, update: RouterUpdate) -> None:
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
        self._crashes.check_digest(peer, update.verdicts_digest)
        self._update_retry_budget()

    def _send_router_list(self, peer: Peer, known: PeerRouter) -> None:
        """Send the router list to a router elsewhere that uses this one as a seed."""
        update = self._updates.make(known, ())
        if update.routers:
            peer.send(update)

    def _apply_update(self, peer: Peer, update: RouterUpdate, now_ms: int) -> None:
        placer = self._forwarder.placer
        if Mechanism.PEER_LOADS not in self._without:
            placer.loads.set_peer_loads(peer.hello.name, decode_loads(update, now_ms=now_ms))
        self._usage.apply(peer.hello.name, update.usage)
        placed = self._list_placed(update)
        for part in placed:
            placer.cache_index.note(part=part.part, upstream=part.upstream, now_ms=now_ms)
        placer.apply_peer_refusals(update.refused)
        self._relays.note_refused(update.refused)
        self._relays.note_placed(placed)

    def _list_placed(self, update: RouterUpdate) -> tuple[PlacedPart, ...]:
        return () if Mechanism.PEER_PLACEMENTS in self._without else update.placed

    def _note_placed(self, part: int, upstream: str) -> None:
        placed = PlacedPart(part=part, upstream=upstream)
        self._outbox.add_part(placed)
        self._relays.note_placed((placed,))

    def count_alive(self) -> int:
        """Return the number of live routers of the fleet, without this one."""
        return self._routers.count_alive()

    def is_watcher(self) -> bool:
        """Return whether this router watches the store for its data centre."""
        return self._watch.is_watcher()

    def count_watchers(self) -> int:
        """Return how many other routers watch the store."""
        return self._watch.count_watchers()

    def _update_retry_budget(self) -> None:
        """Set the number of routers that share the retry budget."""
        alive = self._routers.count_alive()
        self._forwarder.budget.set_routers(1 + max(alive, self._routers.count_seeds()))

    def _dump(self) -> object:
        now_ms = self._app.clock.now_ms()
        routers = {
            address: {
                "data_centre": known.data_centre,
                "reached": known.reachable,
                "heard_ms_ago": None if known.peer is None else now_ms - known.last_update_ms,
            }
            for address, known in self._routers.items()
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
