"""Routers before one store in memory that tell each other, on a clock that a test moves."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from memory_store import MemoryStore

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuations, Record
from gypsumrouter.exceptions import DocumentInvalid
from gypsumrouter.forwarding.health import HealthBook
from gypsumrouter.forwarding.loads import PeerLoads
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.rests import RestBook
from gypsumrouter.forwarding.slow_start import SlowStartBook
from gypsumrouter.forwarding.suspects import Suspects
from gypsumrouter.instances import parse_address
from gypsumrouter.journal import Journal
from gypsumrouter.link import Hello, Notice, NoticeHub, Peer, PlacedPart
from gypsumrouter.link.const import Kind
from gypsumrouter.link.notice_codec import decode_notice
from gypsumrouter.peers.catch_up import CatchUpDesk
from gypsumrouter.peers.evacuations import write_evacuations
from gypsumrouter.peers.relays import RelayDesk
from gypsumrouter.peers.routers import RouterBook
from gypsumrouter.peers.watchers import WatchDesk
from gypsumrouter.published import Follower, HistoryLost, ItemBatch, StoreUnavailable, WatchState
from gypsumrouter.published.follower import WATCH_TIMEOUT_MS
from gypsumrouter.routing import RoutingConfiguration, RoutingStore
from gypsumrouter.util.clock import ManualClock

STEP_MS = 50
# A call whose answer does not come is given up this long after it was due.
ANSWER_MS = 1_500
NEWS_EVERY_MS = 300


class View:
    """One router's way to the store, which may be cut, also for calls that wait."""

    def __init__(self, store: MemoryStore, router: FleetRouter, clock: ManualClock) -> None:
        self._clock = clock
        self._store = store
        self._router = router

    async def async_list(self) -> ItemBatch:
        """Return the list; raises StoreUnavailable while the way is cut."""
        if self._router.cut:
            self._store.calls += 1
            raise StoreUnavailable("cut")
        return self._store.list()

    async def async_watch(self, *, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        """Return what changed; an answer that comes while the way is cut is never heard of."""
        if self._router.cut:
            self._store.calls += 1
            raise StoreUnavailable("cut")
        until_ms = self._clock.now_ms() + wait_ms + ANSWER_MS
        listed = await self._store.async_watch(after, wait_ms)
        if self._router.cut:
            await self._clock.async_sleep(until_ms - self._clock.now_ms())
            raise StoreUnavailable("no answer in time")
        return listed

    def close(self) -> None:
        """Nothing is held."""


class MemoryPeer(Peer):
    """The end of a link over which one router reaches another one."""

    def __init__(self, *, sender: FleetRouter, target: FleetRouter) -> None:
        self._sender = sender
        self._target = target
        hello = Hello(name=target.name, role=Role.FORWARDER, incarnation=target.app.incarnation)
        self.hello = hello

    @property
    def takes(self) -> bool:
        """Return whether both ends run."""
        return self._sender.runs and self._target.runs

    def send_encoded(self, kind: Kind, body: bytes) -> None:
        """Deliver a notice that was encoded for several links."""
        self.send(decode_notice(kind, body))

    def send(self, notice: Notice) -> bool:
        """Deliver a notice in the next turn of the loop, unless one end does not run."""
        if not (self._sender.runs and self._target.runs):
            return False
        back = MemoryPeer(sender=self._target, target=self._sender)
        asyncio.get_running_loop().call_soon(self._target.notices.publish, back, notice)
        return True


class FleetRouter:
    """What a forwarder has for following the list of upstreams and for knowing its peers."""

    def __init__(self, *, number: int, clock: ManualClock, store: MemoryStore, zone: str) -> None:
        self.name = f"r{number}"
        # Addresses in the order of their numbers, also as text.
        self.address = f"10.0.{number // 100}.{number % 100 + 100}:80"
        self.runs = True
        self.cut = False
        # The newest change that a test saw it act on.
        self.seen = 0
        self.app = Application(
            name=self.name, role=Role.FORWARDER, data_centre=zone, region="r", clock=clock
        )
        journal = Journal(app=self.app)
        self.notices = NoticeHub()
        self.routers = RouterBook(clock=clock, own=self.address, data_centre=zone)
        self.directory = Directory(app=self.app, journal=journal)
        self.evacuations = Evacuations(app=self.app, journal=journal)
        routing = RoutingStore(app=self.app, journal=journal)
        self.placer = Placer(
            app=self.app,
            directory=self.directory,
            cap=Cap(factor=2.0, slack=3.0),
            health=HealthBook(clock=clock, journal=journal),
            rests=RestBook(clock=clock, journal=journal),
            evacuations=self.evacuations,
            slow_start=SlowStartBook(clock=clock, journal=journal),
        )
        self.loads = self.placer.loads
        self.holdings = self.placer.holdings
        # What this router placed since its last news to its neighbours.
        self.placed: list[PlacedPart] = []
        self.state = WatchState(clock=clock)
        routing_state = WatchState(clock=clock)
        self.catch_up = CatchUpDesk(
            app=self.app,
            journal=journal,
            routing=routing,
            directory=self.directory,
            evacuations=self.evacuations,
            notices=self.notices,
            decode=decode_nothing,
            routing_state=routing_state,
            upstreams=self.state,
        )
        self.desk = WatchDesk(
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
        self.follower = Follower(
            app=self.app,
            journal=journal,
            name="upstreams",
            store=View(store, self, clock),
            state=self.state,
            handle_all=self._take_all,
            handle_changes=self._take_changes,
            on_lost=self.directory.note_outage,
            on_regained=self.directory.note_recovered,
            count_peers=self.routers.count_alive,
            count_watchers=self.desk.count_watchers,
            is_watcher=self.desk.is_watcher,
        )

        self.relays = RelayDesk(
            app=self.app,
            routers=self.routers,
            routing=routing,
            directory=self.directory,
            evacuations=self.evacuations,
            placer=self.placer,
            suspects=Suspects(app=self.app, journal=journal),
            catch_up=self.catch_up,
            notices=self.notices,
            send=self._async_send,
            without=frozenset(),
        )
        # All routers by their address, and how many messages this one sent to another data centre.
        self.fleet: dict[str, FleetRouter] = {}
        self.sent_far = 0

    @property
    def known(self) -> EntryState | None:
        """Return the state in which this router believes the upstream to be."""
        entry = self.directory.get("i-1")
        return None if entry is None else entry.state

    def start(self) -> None:
        """Begin to follow and to tell."""
        self.follower.async_start()
        self.desk.async_start()
        self.relays.async_start()

    def place(self, part: int, upstream: str) -> None:
        """Send a prompt's part to an upstream, where it runs on."""
        self.loads.begin(upstream, tokens=0)
        placed = PlacedPart(part=part, upstream=upstream)
        self.holdings.note(part=part, upstream=upstream, now_ms=self.app.clock.now_ms())
        self.placed.append(placed)
        self.relays.note_placed((placed,))

    def get_load(self, upstream: str) -> int:
        """Return how many requests this router believes an upstream to run."""
        return self.loads.get(upstream, now_ms=self.app.clock.now_ms()).running

    async def _async_send(self, text: str, notice: Notice) -> bool:
        target = self.fleet[text]
        self.sent_far += target.app.data_centre != self.app.data_centre
        return MemoryPeer(sender=self, target=target).send(notice)

    def _take_all(self, listed: ItemBatch) -> None:
        self.directory.replace_all(read(listed), revision=listed.as_of, source="platform")

    def _take_changes(self, listed: ItemBatch) -> None:
        for record in read(listed):
            self.directory.merge(record, source="platform")
        self.directory.note_read_revision(listed.as_of)


class PeerFleet:
    """Some routers in data centres of a given size; neighbours tell each other their news.

    Routers that do not run stand still: what they were sent meanwhile is lost.
    """

    def __init__(self, *sizes: int) -> None:
        self.clock = ManualClock(now_ms=1_000_000)
        self.store = MemoryStore(self.clock)
        self.store.put(EntryState.READY)
        self._heard_ms = 0
        self.routers: list[FleetRouter] = []
        for zone, size in enumerate(sizes):
            for _ in range(size):
                router = FleetRouter(
                    number=len(self.routers), clock=self.clock, store=self.store, zone=f"dc-{zone}"
                )
                self.routers.append(router)
        by_address = {router.address: router for router in self.routers}
        for router in self.routers:
            router.fleet = by_address
            for other in self.routers:
                router.routers.learn(other.address, data_centre=other.app.data_centre)

    async def async_start(self) -> None:
        """Start all routers at the same moment, and let the first watches of all of them end."""
        for router in self.routers:
            router.start()
        await self.async_pass(2 * WATCH_TIMEOUT_MS)

    async def async_stop(self) -> None:
        """Stop all routers."""
        for router in self.routers:
            await router.app.async_stop()

    async def async_pass(self, duration_ms: int) -> None:
        """Let time pass."""
        until_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < until_ms:
            if self.clock.now_ms() - self._heard_ms >= NEWS_EVERY_MS:
                self._tell_news()
            self.clock.advance(STEP_MS)
            await async_turn()
            for router in self.running():
                router.directory.apply_deferred()
                router.evacuations.apply_deferred()

    def running(self) -> Iterator[FleetRouter]:
        """Return the routers that run."""
        return (router for router in self.routers if router.runs)

    def _tell_news(self) -> None:
        self._heard_ms = self.clock.now_ms()
        placed = {router.name: tuple(router.placed) for router in self.running()}
        for router in self.running():
            router.placed.clear()
            for other in self.running():
                if router is not other and router.app.data_centre == other.app.data_centre:
                    self._take_news(router, other, placed[other.name])

    def _take_news(
        self, router: FleetRouter, other: FleetRouter, placed: tuple[PlacedPart, ...]
    ) -> None:
        """Take what a neighbour tells."""
        known = router.routers.get(other.address)
        assert known is not None
        peer = MemoryPeer(sender=router, target=other)
        known.note_heard(peer, data_centre=other.app.data_centre, now_ms=self._heard_ms)
        loads = PeerLoads(heard_ms=self._heard_ms, loads=other.loads.own())
        router.loads.take_peer(other.name, loads)
        for part in placed:
            router.holdings.note(part=part.part, upstream=part.upstream, now_ms=self._heard_ms)
        refused = other.placer.health.list_refused()
        router.placer.take_refused(refused)
        router.relays.note_refused(refused)
        router.relays.note_placed(placed)
        told = write_evacuations(other.evacuations)
        router.catch_up.take_evacuations(peer, told)
        router.catch_up.compare(
            peer, routing_version=0, list_revision=other.directory.applied_revision
        )


async def async_turn() -> None:
    """Let every task go on until it waits for time."""
    for _ in range(12):
        await asyncio.sleep(0)


def read(listed: ItemBatch) -> Iterator[Record]:
    """Return the records of items."""
    for item in listed.items:
        state = EntryState((item.value or b"gone").decode())
        address = None if state is EntryState.GONE else parse_address("10.9.0.1:80")
        entry = Entry(upstream=item.key, state=state, service="s", address=address)
        yield Record(revision=item.revision, entry=entry)


def decode_nothing(document: bytes) -> RoutingConfiguration:
    """Refuse every configuration."""
    raise DocumentInvalid(())
