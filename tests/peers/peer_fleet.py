"""Fleet of routers with a shared in-memory store and in-memory links, on a manual clock."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from memory_store import MemoryStore
from store_view import StoreView

from bench.replay_placer import make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.contention.workspaces import WorkspaceShares
from gypsumrouter.core import Application
from gypsumrouter.crashes.guard import CrashGuard
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuations, Record
from gypsumrouter.forwarding.loads import PeerLoads
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.instances import parse_address
from gypsumrouter.journal import Journal
from gypsumrouter.link import Hello, Notice, NoticeHub, Peer, PlacedPart
from gypsumrouter.link.const import Kind
from gypsumrouter.link.notice_codec import decode_notice
from gypsumrouter.peers.catch_up import CatchUpCoordinator
from gypsumrouter.peers.confirmation import ListConfirmer
from gypsumrouter.peers.crashes import CrashExchange
from gypsumrouter.peers.encoding import encode_evacuations
from gypsumrouter.peers.relays import DataCentreRelay
from gypsumrouter.peers.routers import RouterRegistry
from gypsumrouter.peers.usage import UsageExchange
from gypsumrouter.peers.watchers import WatchCoordinator
from gypsumrouter.platform import decode_configuration
from gypsumrouter.published import (
    LIST_WATCH_TIMEOUT_MS,
    QUESTION_TIMEOUT_MS,
    Follower,
    ItemBatch,
    ListConfirmation,
    WatchState,
)
from gypsumrouter.routing import RoutingStore
from gypsumrouter.util.clock import ManualClock
from gypsumrouter.util.heartbeats import DEFAULT_HEARTBEAT_MS, get_shortest_expiry_ms

STEP_MS = 50
EXCHANGE_INTERVAL_MS = 300


class MemoryPeer(Peer):
    """In-memory link from one router to another."""

    def __init__(self, *, sender: FleetRouter, target: FleetRouter) -> None:
        self._sender = sender
        self._target = target
        hello = Hello(name=target.name, role=Role.FORWARDER, incarnation=target.app.incarnation)
        self.hello = hello

    @property
    def writable(self) -> bool:
        """Return whether both routers are running."""
        return self._sender.running and self._target.running

    def send_encoded(self, kind: Kind, body: bytes) -> None:
        """Deliver an encoded notice in the next event loop iteration, or once it is released."""
        notice = decode_notice(kind, body)
        back = MemoryPeer(sender=self._target, target=self._sender)
        if self._target.held is not None:
            self._target.held.append((back, notice))
            return
        asyncio.get_running_loop().call_soon(self._target.notices.publish, back, notice)


class FleetRouter:
    """The components of a forwarder that follow the list of upstreams and exchange state."""

    def __init__(
        self, *, number: int, clock: ManualClock, store: MemoryStore, data_centre: str
    ) -> None:
        self.name = f"r{number}"
        # Addresses sort as text in the order of their numbers.
        self.address = f"10.0.{number // 100}.{number % 100 + 100}:80"
        self.running = True
        # Notices that wait on a way that passes nothing; None while it is open.
        self.held: list[tuple[Peer, Notice]] | None = None
        # Highest list revision that the state machine test has seen on this router.
        self.max_seen_revision = 0
        self.app = Application(
            name=self.name, role=Role.FORWARDER, data_centre=data_centre, region="r", clock=clock
        )
        self.journal = journal = Journal(app=self.app)
        self.notices = NoticeHub()
        self.routers = RouterRegistry(
            clock=clock, own_address=self.address, data_centre=data_centre
        )
        self.directory = Directory(app=self.app, journal=journal)
        self.evacuations = Evacuations(app=self.app, journal=journal)
        self.routing = routing = RoutingStore(app=self.app, journal=journal)
        self.placer = make_replay_placer(
            app=self.app,
            journal=journal,
            directory=self.directory,
            cap=Cap(factor=2.0, slack=3.0),
            evacuations=self.evacuations,
        )
        self.loads = self.placer.loads
        self.cache_index = self.placer.cache_index
        # Parts placed since the last update to the neighbours.
        self.placed: list[PlacedPart] = []
        self.state = WatchState(clock=clock)
        self.routing_state = routing_state = WatchState(clock=clock)
        self.catch_up = CatchUpCoordinator(
            app=self.app,
            journal=journal,
            routing=routing,
            directory=self.directory,
            evacuations=self.evacuations,
            notices=self.notices,
            decode=decode_configuration,
            routing_state=routing_state,
            upstreams=self.state,
        )
        self.watchers = WatchCoordinator(
            app=self.app,
            routers=self.routers,
            routing_store=routing,
            directory=self.directory,
            evacuations=self.evacuations,
            catch_up=self.catch_up,
            notices=self.notices,
            routing=routing_state,
            upstreams=self.state,
        )
        self.store_view = StoreView(store=store, clock=clock)
        self.question_view = StoreView(store=store, clock=clock, timeout_ms=QUESTION_TIMEOUT_MS)
        self.follower = Follower(
            app=self.app,
            journal=journal,
            name="upstreams",
            store=self.store_view,
            state=self.state,
            handle_all=self.take_all,
            handle_changes=self._take_changes,
            on_lost=self.directory.note_outage,
            on_regained=lambda ms: self.directory.note_recovered(silent_ms=ms),
            watch_timeout_ms=LIST_WATCH_TIMEOUT_MS,
            max_silence_ms=get_shortest_expiry_ms(DEFAULT_HEARTBEAT_MS),
            count_peers=self.routers.count_alive,
            is_watcher=self.watchers.is_watcher,
        )

        self.confirmer = ListConfirmer(
            app=self.app,
            routers=self.routers,
            notices=self.notices,
            directory=self.directory,
            upstreams=self.state,
            catch_up=self.catch_up,
            watch=self.watchers,
            store=ListConfirmation(
                app=self.app,
                store=self.question_view,
                state=self.state,
                handle_all=self.take_all,
                handle_changes=self._take_changes,
                count_watchers=self.watchers.count_watchers,
            ),
            send=self._async_send,
        )
        self.guard = CrashGuard(app=self.app, journal=journal)
        self.shares = WorkspaceShares(tracked=256)
        self.usage = UsageExchange(clock=clock, shares=self.shares)
        self.relays = DataCentreRelay(
            app=self.app,
            routers=self.routers,
            routing=routing,
            directory=self.directory,
            evacuations=self.evacuations,
            placer=self.placer,
            get_verdicts_digest=lambda: self.guard.verdicts.digest,
            catch_up=self.catch_up,
            notices=self.notices,
            send=self._async_send,
            without=frozenset(),
            usage=self.usage,
        )
        self.crashes = CrashExchange(
            app=self.app,
            routers=self.routers,
            relays=self.relays,
            notices=self.notices,
            guard=self.guard,
            send=self._async_send,
        )
        # All routers by address, and the number of messages sent to other data centres.
        self.fleet: dict[str, FleetRouter] = {}
        self.cross_data_centre_messages = 0

    @property
    def partitioned(self) -> bool:
        """Return whether the router is cut off from the store."""
        return self.store_view.partitioned

    @partitioned.setter
    def partitioned(self, partitioned: bool) -> None:
        self.store_view.partitioned = self.question_view.partitioned = partitioned

    @property
    def upstream_state(self) -> EntryState | None:
        """Return the state of upstream i-1 in this router's directory."""
        entry = self.directory.get("i-1")
        return None if entry is None else entry.state

    def release(self) -> None:
        """Deliver all notices that were held."""
        held, self.held = self.held or [], None
        for peer, notice in held:
            self.notices.publish(peer, notice)

    def start(self) -> None:
        """Start following the store and exchanging state."""
        self.follower.async_start()
        self.watchers.async_start()
        self.relays.async_start()

    def place(self, part: int, upstream: str) -> None:
        """Place a prompt part on an upstream, with a request that keeps running."""
        self.loads.begin(upstream, tokens=0)
        placed = PlacedPart(part=part, upstream=upstream)
        self.cache_index.note(part=part, upstream=upstream, now_ms=self.app.clock.now_ms())
        self.placed.append(placed)
        self.relays.note_placed((placed,))

    def get_load(self, upstream: str) -> int:
        """Return the number of running requests of an upstream in this router's load records."""
        return self.loads.get(upstream, now_ms=self.app.clock.now_ms()).running

    async def _async_send(self, text: str, notice: Notice) -> bool:
        target = self.fleet[text]
        self.cross_data_centre_messages += target.app.data_centre != self.app.data_centre
        return MemoryPeer(sender=self, target=target).send(notice)

    def take_all(self, listed: ItemBatch) -> None:
        """Merge a full list from the store."""
        self.directory.replace_all(read_records(listed), revision=listed.as_of, source="platform")

    def _take_changes(self, listed: ItemBatch) -> None:
        for record in read_records(listed):
            self.directory.merge(record, source="platform")
        self.directory.note_read_revision(listed.as_of)


class PeerFleet:
    """Routers in data centres of given sizes, which exchange updates with their neighbours.

    A router that is not running is paused: notices sent to it in the meantime are lost.
    """

    def __init__(self, *sizes: int) -> None:
        self.clock = ManualClock(now_ms=1_000_000)
        self.store = MemoryStore(self.clock)
        self.store.put(EntryState.READY)
        self._last_exchange_ms = 0
        self.routers: list[FleetRouter] = []
        for index, size in enumerate(sizes):
            for _ in range(size):
                router = self._make_router(len(self.routers), f"dc-{index}")
                self.routers.append(router)
        self._by_address = {router.address: router for router in self.routers}
        for router in self.routers:
            self._introduce(router)

    def _make_router(self, number: int, data_centre: str) -> FleetRouter:
        return FleetRouter(
            number=number, clock=self.clock, store=self.store, data_centre=data_centre
        )

    def _introduce(self, router: FleetRouter) -> None:
        """Tell a router the addresses of all others."""
        router.fleet = self._by_address
        for other in self.routers:
            router.routers.add(other.address, data_centre=other.app.data_centre)

    async def async_stop_router(self, number: int) -> None:
        """Stop the process of a router."""
        self.routers[number].running = False
        await self.routers[number].app.async_stop()

    def start_router(self, number: int) -> None:
        """Start a new process of a router, which knows nothing of the one before."""
        router = self._make_router(number, self.routers[number].app.data_centre)
        self.routers[number] = router
        self._by_address[router.address] = router
        self._introduce(router)
        router.start()

    async def async_start(self) -> None:
        """Start all routers at once and run until their first watches have ended."""
        for router in self.routers:
            router.start()
        await self.async_advance(2 * LIST_WATCH_TIMEOUT_MS)

    async def async_stop(self) -> None:
        """Stop all routers."""
        for router in self.routers:
            await router.app.async_stop()

    async def async_advance(self, duration_ms: int) -> None:
        """Advance the clock in steps and run all due tasks."""
        until_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < until_ms:
            if self.clock.now_ms() - self._last_exchange_ms >= EXCHANGE_INTERVAL_MS:
                self._exchange_updates()
            self.clock.advance(STEP_MS)
            await async_run_ready_tasks()
            for router in self.list_running():
                router.directory.apply_deferred()
                router.evacuations.apply_deferred()

    def list_running(self) -> Iterator[FleetRouter]:
        """Return the running routers."""
        return (router for router in self.routers if router.running)

    def _exchange_updates(self) -> None:
        self._last_exchange_ms = self.clock.now_ms()
        placed = {router.name: tuple(router.placed) for router in self.list_running()}
        for router in self.list_running():
            router.placed.clear()
            for other in self.list_running():
                if router is not other and router.app.data_centre == other.app.data_centre:
                    self._deliver_update(router, other, placed[other.name])

    def _deliver_update(
        self, router: FleetRouter, other: FleetRouter, placed: tuple[PlacedPart, ...]
    ) -> None:
        """Apply a neighbour's update to a router, as `Mesh` does."""
        known = router.routers.get(other.address)
        assert known is not None
        peer = MemoryPeer(sender=router, target=other)
        known.note_update(peer, data_centre=other.app.data_centre, now_ms=self._last_exchange_ms)
        loads = PeerLoads(received_ms=self._last_exchange_ms, loads=other.loads.get_own_loads())
        router.loads.set_peer_loads(other.name, loads)
        target = other.routers.get(router.address)
        assert target is not None
        receivers = len(other.routers.list_neighbours())
        router.usage.apply(other.name, other.usage.get_due(target, receivers=receivers))
        for part in placed:
            router.cache_index.note(
                part=part.part, upstream=part.upstream, now_ms=self._last_exchange_ms
            )
        refused = other.placer.health.list_refusals()
        router.placer.apply_peer_refusals(refused)
        router.relays.note_refused(refused)
        router.relays.note_placed(placed)
        evacuations = encode_evacuations(other.evacuations)
        router.catch_up.merge_evacuations(peer, evacuations)
        router.crashes.check_digest(peer, other.guard.verdicts.digest)
        router.catch_up.check_versions(
            peer, routing_version=0, list_revision=other.directory.applied_revision
        )


async def async_run_ready_tasks() -> None:
    """Run the event loop until all tasks wait for the clock."""
    for _ in range(12):
        await asyncio.sleep(0)


def read_records(listed: ItemBatch) -> Iterator[Record]:
    """Return the directory records of listed items."""
    for item in listed.items:
        state = EntryState((item.value or b"gone").decode())
        address = None if state is EntryState.GONE else parse_address("10.9.0.1:80")
        entry = Entry(upstream=item.key, state=state, service="s", address=address)
        yield Record(revision=item.revision, entry=entry)
