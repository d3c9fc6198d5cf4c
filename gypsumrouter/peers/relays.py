"""News between data centres: added up by one router of each, and handed on by one of the others.

Answers this load: with 68 routers that tell each other everything, 5,000 news a second cross
between data centres and each router hears of another one every 0.9 s; with 330 it would be every
4 s, too old for the cap on load. Within a data centre every router tells every other one. The
first of them by address also adds up what all of them have, and tells one router of each other
data centre, which hands it on. Nobody has to agree who that is: who takes itself for the first
tells, and who is told hands it on.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Evacuations
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.suspects import Suspects
from gypsumrouter.link import (
    DataCentreLoads,
    DataCentreNews,
    Notice,
    NoticeHub,
    Peer,
    PlacedPart,
    RelayedNews,
    Strike,
    send_to_all,
)
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.peers.catch_up import CatchUpDesk
from gypsumrouter.peers.const import ROUTERS_MS
from gypsumrouter.peers.evacuations import write_evacuations
from gypsumrouter.peers.loads import read_sums, write_sums
from gypsumrouter.peers.outbox import Outbox
from gypsumrouter.peers.routers import DataCentre, KnownRouter, RouterBook
from gypsumrouter.routing import RoutingStore

# News go out this often, and with each router that is told a little later: a message takes some
# 0.15 ms of a core. With 14 routers in each of five data centres that is every 0.2 s.
RELAY_MS: Final = 100
RELAY_MS_PER_PEER: Final = 6
# A router that was not heard for this long does not tell for its data centre any more: three times
# what 37 routers of one data centre take between two news.
RELAY_ALIVE_MS: Final = 1_500

SendTo = Callable[[str, Notice], Awaitable[bool]]


class RelayDesk:
    """Tells other data centres of this one, and this one of the others."""

    __slots__ = (
        "_app",
        "_catch_up",
        "_directory",
        "_evacuations",
        "_far",
        "_far_refused",
        "_heard",
        "_holdings",
        "_loads",
        "_near",
        "_near_refused",
        "_placer",
        "_routers",
        "_routers_told_ms",
        "_routing",
        "_send",
        "_suspects",
        "_told",
        "_without",
    )

    def __init__(
        self,
        *,
        app: Application,
        routers: RouterBook,
        routing: RoutingStore,
        directory: Directory,
        evacuations: Evacuations,
        placer: Placer,
        suspects: Suspects,
        catch_up: CatchUpDesk,
        notices: NoticeHub,
        send: SendTo,
        without: frozenset[Mechanism],
    ) -> None:
        self._app = app
        self._routers = routers
        self._routing = routing
        self._directory = directory
        self._evacuations = evacuations
        self._placer = placer
        self._loads = placer.loads
        self._holdings = placer.holdings
        self._suspects = suspects
        self._catch_up = catch_up
        self._send = send
        self._without = without
        # What was placed in this data centre, for the others; and in the others, for this one.
        self._far = Outbox()
        self._near = Outbox()
        # Upstreams that refused a connection: of this data centre, and when that was heard, for the
        # others; and in the others, for this one.
        self._far_refused: dict[str, int] = {}
        self._near_refused: set[str] = set()
        # Loads of other data centres that were heard here and not handed on yet.
        self._heard: dict[str, DataCentreLoads] = {}
        # Data centres that a task of this router tells.
        self._told: set[str] = set()
        self._routers_told_ms: dict[str, int] = {}
        notices.subscribe(DataCentreNews, self._take)
        notices.subscribe(RelayedNews, self._take_relayed)

    def async_start(self) -> None:
        """Begin to tell and to hand on."""
        self._app.async_create_task(self._async_run(), "relay news")

    def note_placed(self, parts: Iterable[PlacedPart]) -> None:
        """Note parts that were placed in this data centre."""
        for part in parts:
            self._far.add_part(part)

    def note_refused(self, upstreams: Iterable[str]) -> None:
        """Note what refused a connection of a router of this data centre."""
        now_ms = self._app.clock.now_ms()
        self._far_refused.update(dict.fromkeys(upstreams, now_ms))

    def note_strike(self, strike: Strike) -> None:
        """Note a strike that was seen in this data centre."""
        self._far.add_strike(strike, now_ms=self._app.clock.now_ms())

    async def _async_run(self) -> None:
        while True:
            await self._app.clock.async_sleep(self._get_period_ms())
            self._routers.sweep()
            for name in self._routers.list_data_centres() - self._told:
                self._told.add(name)
                self._app.async_create_task(self._async_tell(name), f"tell {name}")
            self._hand_on()
            self._forget_refused()

    def _forget_refused(self) -> None:
        """Forget what all data centres were told; who still meets it says so again."""
        since_ms = self._app.clock.now_ms() - 2 * self._get_period_ms()
        for upstream, heard_ms in tuple(self._far_refused.items()):
            if heard_ms < since_ms:
                del self._far_refused[upstream]

    def _get_period_ms(self) -> int:
        peers = len(self._told) + len(self._routers.list_neighbours())
        return RELAY_MS + RELAY_MS_PER_PEER * peers

    async def _async_tell(self, name: str) -> None:
        """Tell one data centre of this one for as long as any router of it is known."""
        data_centre = self._routers.data_centres.setdefault(name, DataCentre())
        while name in self._routers.list_data_centres():
            if self._is_first():
                await self._async_tell_once(name, data_centre)
            await self._app.clock.async_sleep(self._get_period_ms())

    def _is_first(self) -> bool:
        """Return whether this router tells for its data centre."""
        neighbours = self._routers.list_neighbours(within_ms=RELAY_ALIVE_MS)
        return all(self._routers.own < other for other in neighbours)

    async def _async_tell_once(self, name: str, data_centre: DataCentre) -> None:
        target = self._choose_target(name, data_centre)
        if target is None:
            return
        placed, end = self._far.since(data_centre.told)
        if await self._send(target, self._make_news(name, placed)):
            data_centre.told = end

    def _choose_target(self, name: str, data_centre: DataCentre) -> str | None:
        """Return the router that tells for the other data centre, or one after the other."""
        now_ms = self._app.clock.now_ms()
        if data_centre.relay and now_ms - data_centre.heard_ms < RELAY_ALIVE_MS:
            return data_centre.relay
        routers = self._routers.list_elsewhere(name)
        data_centre.tried += 1
        return routers[(data_centre.tried - 1) % len(routers)] if routers else None

    def _make_news(self, name: str, placed: tuple[PlacedPart, ...]) -> DataCentreNews:
        neighbours = self._routers.list_neighbours()
        return DataCentreNews(
            address=self._routers.own,
            loads=DataCentreLoads(
                data_centre=self._app.data_centre,
                alive=1 + len(neighbours),
                routers=self._list_routers(name, neighbours),
                loads=write_sums(self._loads, peers=_list_names(neighbours)),
            ),
            routing_version=self._routing.version,
            list_revision=self._directory.applied_revision,
            placed=placed,
            strikes=self._far.strikes(now_ms=self._app.clock.now_ms()),
            evacuations=write_evacuations(self._evacuations),
            refused=tuple(self._far_refused.keys() | self._placer.health.list_refused()),
        )

    def _list_routers(self, name: str, neighbours: dict[str, KnownRouter]) -> tuple[str, ...]:
        """Return the routers that live here, or nothing where they were told a moment ago."""
        now_ms = self._app.clock.now_ms()
        told_ms = self._routers_told_ms.get(name)
        if told_ms is not None and now_ms - told_ms < ROUTERS_MS:
            return ()
        self._routers_told_ms[name] = now_ms
        return (self._routers.own, *neighbours)

    def _take(self, peer: Peer, news: DataCentreNews) -> None:
        """Take news of another data centre, to be handed on in this one."""
        loads = news.loads
        if loads.data_centre in ("", self._app.data_centre):
            return
        self._take_loads(loads, relay=news.address)
        self._heard[loads.data_centre] = loads
        self._catch_up.take_evacuations(peer, news.evacuations)
        self._placer.take_refused(news.refused)
        self._near_refused.update(news.refused)
        for part in self._take_placed(news.placed):
            self._near.add_part(part)
        now_ms = self._app.clock.now_ms()
        for strike in self._take_strikes(peer, news.strikes):
            self._near.add_strike(strike, now_ms=now_ms)
        self._catch_up.compare(
            peer,
            routing_version=news.routing_version,
            list_revision=news.list_revision,
        )

    def _take_relayed(self, peer: Peer, news: RelayedNews) -> None:
        """Take news of other data centres that a neighbour hands on."""
        for loads in news.loads:
            if loads.data_centre != self._app.data_centre:
                self._take_loads(loads)
        self._take_placed(news.placed)
        self._placer.take_refused(news.refused)
        self._take_strikes(peer, news.strikes)

    def _take_loads(self, loads: DataCentreLoads, *, relay: str = "") -> None:
        self._routers.note_data_centre(
            loads.data_centre, alive=loads.alive, routers=loads.routers, relay=relay
        )
        if Mechanism.PEER_LOADS in self._without:
            return
        told = read_sums(loads, now_ms=self._app.clock.now_ms())
        self._loads.take_peer(_name_sums(loads.data_centre), told)

    def _take_placed(self, placed: tuple[PlacedPart, ...]) -> tuple[PlacedPart, ...]:
        if Mechanism.PEER_PLACEMENTS in self._without:
            return ()
        now_ms = self._app.clock.now_ms()
        for part in placed:
            self._holdings.note(part=part.part, upstream=part.upstream, now_ms=now_ms)
        return placed

    def _take_strikes(self, peer: Peer, strikes: tuple[Strike, ...]) -> list[Strike]:
        """Return the strikes that are news here."""
        name = peer.hello.name
        return [s for s in strikes if self._suspects.take(s.digest, s.upstream, source=name)]

    def _hand_on(self) -> None:
        """Tell the neighbours what was heard of other data centres since the last time."""
        loads, self._heard = tuple(self._heard.values()), {}
        refused, self._near_refused = tuple(self._near_refused), set()
        strikes = self._near.strikes(now_ms=self._app.clock.now_ms())
        groups: dict[int, list[KnownRouter]] = defaultdict(list)
        for known in self._routers.list_neighbours().values():
            if known.peer is not None and known.peer.takes:
                groups[known.relayed].append(known)
        # Most neighbours were told the same, so that the news are put together once.
        for told, group in groups.items():
            placed, end = self._near.since(told)
            if not (loads or placed or strikes or refused):
                continue
            news = RelayedNews(loads=loads, placed=placed, strikes=strikes, refused=refused)
            send_to_all([known.peer for known in group if known.peer is not None], news)
            for known in group:
                known.relayed = end


def _list_names(neighbours: dict[str, KnownRouter]) -> list[str]:
    peers = (known.peer for known in neighbours.values())
    return [peer.hello.name for peer in peers if peer is not None]


def _name_sums(data_centre: str) -> str:
    """Return the name under which a data centre's loads are kept beside those of routers."""
    return f"all of {data_centre}"
