"""Relay of router state between data centres.

If every router sent updates to every other one, their number would grow with the square of the
fleet. Therefore routers exchange updates directly only within a data centre. One of them, the
relay, which is the first live router in address order, sends the summed state of its data centre
to one router of each other data centre, and that router forwards it to its neighbours. There is
no election: a router that considers itself the relay sends, and a router that receives such an
update forwards it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Evacuations
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.link import (
    DataCentreLoads,
    DataCentreUpdate,
    Notice,
    NoticeHub,
    Peer,
    PlacedPart,
    RelayedUpdate,
    send_to_all,
)
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.peers.catch_up import CatchUpCoordinator
from gypsumrouter.peers.const import ROUTER_LIST_INTERVAL_MS
from gypsumrouter.peers.encoding import decode_load_sums, encode_evacuations, encode_load_sums
from gypsumrouter.peers.outbox import Outbox
from gypsumrouter.peers.routers import PeerRouter, RemoteDataCentre, RouterRegistry
from gypsumrouter.peers.usage import UsageExchange, keep_usage
from gypsumrouter.routing import RoutingStore

# Interval of relayed updates, which grows with the number of receivers to bound the CPU load.
# A message takes some 0.15 ms of a core. With 14 routers in each of five data centres the interval
# is about 0.2 s.
RELAY_INTERVAL_MS: Final = 100
RELAY_INTERVAL_MS_PER_PEER: Final = 6
# A router without an update for this long is not considered the relay of its data centre.
# It is three times the interval of a data centre with 37 routers.
RELAY_TIMEOUT_MS: Final = 1_500

SendTo = Callable[[str, Notice], Awaitable[bool]]


class DataCentreRelay:
    """Sends this data centre's state to the others, and forwards theirs to the neighbours."""

    __slots__ = (
        "_app",
        "_cache_index",
        "_catch_up",
        "_directory",
        "_evacuations",
        "_get_verdicts_digest",
        "_inbound",
        "_inbound_loads",
        "_inbound_refused",
        "_loads",
        "_outbound",
        "_outbound_refused",
        "_placer",
        "_routers",
        "_routers_sent_ms",
        "_routing",
        "_send",
        "_sending_to",
        "_usage",
        "_without",
    )

    def __init__(
        self,
        *,
        app: Application,
        routers: RouterRegistry,
        routing: RoutingStore,
        directory: Directory,
        evacuations: Evacuations,
        placer: Placer,
        get_verdicts_digest: Callable[[], int],
        catch_up: CatchUpCoordinator,
        notices: NoticeHub,
        send: SendTo,
        without: frozenset[Mechanism],
        usage: UsageExchange | None = None,
    ) -> None:
        self._app = app
        self._routers = routers
        self._routing = routing
        self._directory = directory
        self._evacuations = evacuations
        self._placer = placer
        self._loads = placer.loads
        self._cache_index = placer.cache_index
        self._get_verdicts_digest = get_verdicts_digest
        self._catch_up = catch_up
        self._send = send
        self._without = without
        self._usage = usage or UsageExchange(clock=app.clock, shares=None)
        # Parts of this data centre for the others, and of the others for neighbours.
        self._outbound = Outbox()
        self._inbound = Outbox()
        # Upstreams that refused a connection to a router of this data centre, with the time of the
        # last report; and those that refused one to a router of another data centre.
        self._outbound_refused: dict[str, int] = {}
        self._inbound_refused: set[str] = set()
        # Loads of other data centres that were received here and not forwarded yet.
        self._inbound_loads: dict[str, DataCentreLoads] = {}
        # Data centres that have a running update task.
        self._sending_to: set[str] = set()
        self._routers_sent_ms: dict[str, int] = {}
        notices.subscribe(DataCentreUpdate, self._handle_update)
        notices.subscribe(RelayedUpdate, self._handle_relayed)

    def async_start(self) -> None:
        """Start sending and forwarding updates."""
        self._app.async_create_task(self._async_run(), "relay updates")

    def note_placed(self, parts: Iterable[PlacedPart]) -> None:
        """Queue parts that were placed in this data centre."""
        for part in parts:
            self._outbound.add_part(part)

    def note_refused(self, upstreams: Iterable[str]) -> None:
        """Record upstreams that refused a connection to a router of this data centre."""
        now_ms = self._app.clock.now_ms()
        self._outbound_refused.update(dict.fromkeys(upstreams, now_ms))

    async def async_send_elsewhere(self, notice: Notice) -> None:
        """Send a notice to one router of each other data centre."""
        for name in self._routers.list_data_centres():
            data_centre = self._routers.data_centres.setdefault(name, RemoteDataCentre())
            target = self._choose_target(name, data_centre)
            if target is not None:
                await self._send(target, notice)

    async def _async_run(self) -> None:
        while True:
            await self._app.clock.async_sleep(self._get_period_ms())
            self._routers.expire()
            for name in self._routers.list_data_centres() - self._sending_to:
                self._sending_to.add(name)
                self._app.async_create_task(
                    self._async_send_updates(name), f"update data centre {name}"
                )
            self._forward_to_neighbours()
            self._expire_refused()

    def _expire_refused(self) -> None:
        """Remove refused upstreams that were sent to all data centres."""
        since_ms = self._app.clock.now_ms() - 2 * self._get_period_ms()
        for upstream, reported_ms in tuple(self._outbound_refused.items()):
            if reported_ms < since_ms:
                del self._outbound_refused[upstream]

    def _get_period_ms(self) -> int:
        peers = len(self._sending_to) + len(self._routers.list_neighbours())
        return RELAY_INTERVAL_MS + RELAY_INTERVAL_MS_PER_PEER * peers

    async def _async_send_updates(self, name: str) -> None:
        """Send updates to one data centre for as long as any of its routers is known."""
        data_centre = self._routers.data_centres.setdefault(name, RemoteDataCentre())
        while name in self._routers.list_data_centres():
            if self.is_relay():
                await self._async_send_update(name, data_centre)
            await self._app.clock.async_sleep(self._get_period_ms())

    def is_relay(self) -> bool:
        """Return whether this router is the relay of its data centre."""
        neighbours = self._routers.list_neighbours(within_ms=RELAY_TIMEOUT_MS)
        return all(self._routers.own_address < other for other in neighbours)

    async def _async_send_update(self, name: str, data_centre: RemoteDataCentre) -> None:
        target = self._choose_target(name, data_centre)
        if target is None:
            return
        placed, end = self._outbound.read_from(data_centre.sent_position)
        if await self._send(target, self._make_update(name, data_centre, placed)):
            data_centre.sent_position = end

    def _choose_target(self, name: str, data_centre: RemoteDataCentre) -> str | None:
        """Return the other data centre's relay, or its known routers in turn if there is none."""
        now_ms = self._app.clock.now_ms()
        if data_centre.relay and now_ms - data_centre.last_update_ms < RELAY_TIMEOUT_MS:
            return data_centre.relay
        routers = self._routers.list_in_data_centre(name)
        data_centre.attempts += 1
        return routers[(data_centre.attempts - 1) % len(routers)] if routers else None

    def _make_update(
        self, name: str, data_centre: RemoteDataCentre, placed: tuple[PlacedPart, ...]
    ) -> DataCentreUpdate:
        neighbours = self._routers.list_neighbours()
        peers = _list_peer_names(neighbours)
        return DataCentreUpdate(
            address=self._routers.own_address,
            loads=DataCentreLoads(
                data_centre=self._app.data_centre,
                alive=1 + len(neighbours),
                routers=self._list_routers(name, neighbours),
                loads=encode_load_sums(self._loads, peers=peers),
                # The other data centres are taken to have as many routers as this one.
                usage=self._usage.get_due(
                    data_centre, receivers=len(self._sending_to) * (1 + len(peers)), peers=peers
                ),
            ),
            routing_version=self._routing.version,
            list_revision=self._directory.applied_revision,
            placed=placed,
            evacuations=encode_evacuations(self._evacuations),
            refused=tuple(self._outbound_refused.keys() | self._placer.health.list_refusals()),
            verdicts_digest=self._get_verdicts_digest(),
        )

    def _list_routers(self, name: str, neighbours: dict[str, PeerRouter]) -> tuple[str, ...]:
        """Return the live routers of this data centre, or nothing if they were sent recently."""
        now_ms = self._app.clock.now_ms()
        sent_ms = self._routers_sent_ms.get(name)
        if sent_ms is not None and now_ms - sent_ms < ROUTER_LIST_INTERVAL_MS:
            return ()
        self._routers_sent_ms[name] = now_ms
        return (self._routers.own_address, *neighbours)

    def _handle_update(self, peer: Peer, update: DataCentreUpdate) -> None:
        """Process an update from another data centre and queue it for the neighbours."""
        loads = update.loads
        if loads.data_centre in ("", self._app.data_centre):
            return
        self._store_loads(loads, relay=update.address)
        self._inbound_loads[loads.data_centre] = keep_usage(
            loads, waiting=self._inbound_loads.get(loads.data_centre)
        )
        self._catch_up.merge_evacuations(peer, update.evacuations)
        self._placer.apply_peer_refusals(update.refused)
        self._inbound_refused.update(update.refused)
        for part in self._store_placed(update.placed):
            self._inbound.add_part(part)
        self._catch_up.check_versions(
            peer,
            routing_version=update.routing_version,
            list_revision=update.list_revision,
        )

    def _handle_relayed(self, peer: Peer, update: RelayedUpdate) -> None:
        """Process updates of other data centres that a neighbour forwards."""
        for loads in update.loads:
            if loads.data_centre != self._app.data_centre:
                self._store_loads(loads)
        self._store_placed(update.placed)
        self._placer.apply_peer_refusals(update.refused)

    def _store_loads(self, loads: DataCentreLoads, *, relay: str = "") -> None:
        self._routers.note_data_centre(
            loads.data_centre, alive=loads.alive, routers=loads.routers, relay=relay
        )
        self._usage.apply(_get_sums_key(loads.data_centre), loads.usage)
        if Mechanism.PEER_LOADS in self._without:
            return
        sums = decode_load_sums(loads, now_ms=self._app.clock.now_ms())
        self._loads.set_peer_loads(_get_sums_key(loads.data_centre), sums)

    def _store_placed(self, placed: tuple[PlacedPart, ...]) -> tuple[PlacedPart, ...]:
        if Mechanism.PEER_PLACEMENTS in self._without:
            return ()
        now_ms = self._app.clock.now_ms()
        for part in placed:
            self._cache_index.note(part=part.part, upstream=part.upstream, now_ms=now_ms)
        return placed

    def _forward_to_neighbours(self) -> None:
        """Send the neighbours the state of other data centres that arrived since the last call."""
        loads, self._inbound_loads = tuple(self._inbound_loads.values()), {}
        refused, self._inbound_refused = tuple(self._inbound_refused), set()
        groups: dict[int, list[PeerRouter]] = defaultdict(list)
        for known in self._routers.list_neighbours().values():
            if known.peer is not None and known.peer.writable:
                groups[known.relayed_position].append(known)
        # Neighbours at the same position share one update, which is encoded once.
        for position, group in groups.items():
            placed, end = self._inbound.read_from(position)
            if not (loads or placed or refused):
                continue
            update = RelayedUpdate(loads=loads, placed=placed, refused=refused)
            send_to_all([known.peer for known in group if known.peer is not None], update)
            for known in group:
                known.relayed_position = end


def _list_peer_names(neighbours: dict[str, PeerRouter]) -> list[str]:
    peers = (known.peer for known in neighbours.values())
    return [peer.hello.name for peer in peers if peer is not None]


def _get_sums_key(data_centre: str) -> str:
    """Return the key of a data centre's summed loads among the loads of peers."""
    return f"all of {data_centre}"
