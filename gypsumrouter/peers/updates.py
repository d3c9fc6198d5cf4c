"""The updates that a router sends: its whole state to its neighbours, its address to the seeds."""

from __future__ import annotations

from msgspec.structs import replace

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Evacuations
from gypsumrouter.forwarding import Forwarder
from gypsumrouter.link import PlacedPart, RouterAddress, RouterUpdate
from gypsumrouter.peers.const import ROUTER_LIST_INTERVAL_MS
from gypsumrouter.peers.encoding import encode_evacuations, encode_loads
from gypsumrouter.peers.routers import PeerRouter, RouterRegistry
from gypsumrouter.peers.usage import UsageExchange
from gypsumrouter.routing import RoutingStore


class UpdateFactory:
    """Makes the update of this router for one peer."""

    __slots__ = (
        "_app",
        "_directory",
        "_evacuations",
        "_forwarder",
        "_routers",
        "_routing",
        "_usage",
    )

    def __init__(
        self,
        *,
        app: Application,
        routers: RouterRegistry,
        routing: RoutingStore,
        directory: Directory,
        evacuations: Evacuations,
        forwarder: Forwarder,
        usage: UsageExchange,
    ) -> None:
        self._app = app
        self._routers = routers
        self._routing = routing
        self._directory = directory
        self._evacuations = evacuations
        self._forwarder = forwarder
        self._usage = usage

    def make(self, known: PeerRouter, placed: tuple[PlacedPart, ...]) -> RouterUpdate:
        """Return the update for a peer; `placed` are the prompt parts that it was not told of."""
        update = RouterUpdate(
            address=self._routers.own_address,
            routers=self._list_routers(known),
            routing_version=self._routing.version,
            list_revision=self._directory.applied_revision,
            evacuations=encode_evacuations(self._evacuations),
            data_centre=self._app.data_centre,
            verdicts_digest=self._forwarder.suspects.verdicts.digest,
        )
        if not self._routers.is_neighbour(known):
            return update
        placer = self._forwarder.placer
        return replace(
            update,
            loads=encode_loads(placer.loads),
            placed=placed,
            refused=placer.health.list_refusals(),
            usage=self._usage.get_due(known, receivers=len(self._routers.list_neighbours())),
        )

    def _list_routers(self, known: PeerRouter) -> tuple[RouterAddress, ...]:
        """Return the live routers, or nothing if a list of the same size was sent recently."""
        now_ms = self._app.clock.now_ms()
        same = known.sent_router_count == len(self._routers)
        if same and now_ms - known.sent_routers_ms < ROUTER_LIST_INTERVAL_MS:
            return ()
        known.sent_router_count = len(self._routers)
        known.sent_routers_ms = now_ms
        return self._routers.list_live_routers()
