"""How sides tell each other what their engines hold."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from msgspec.structs import replace

from gypsumrouter.configuration.neighbours import list_ring_neighbours
from gypsumrouter.configuration.waiting import async_wait
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.fleet import Instance
from gypsumrouter.link import NoticeHub, Peer
from gypsumrouter.link.models import EngineStatus, PoolStatus
from gypsumrouter.orders.const import MAX_ENTRIES, NEWS_BATCH_MS, NEWS_MS
from gypsumrouter.orders.ports import Membership, Sender
from gypsumrouter.orders.table import HoldingTable


class HoldingNews:
    """Hand entries that were not known before to a few neighbours of the pool, who do the same.

    The neighbours are the same mutual ones that the spread of the configuration uses, taken among
    the sides of the pool. An entry goes once over each link in one of its directions. What is
    lost comes again with the next stamp. `on_news` is called where an engine has changed.
    """

    __slots__ = (
        "_app",
        "_fleet",
        "_incarnations",
        "_links",
        "_on_news",
        "_pool",
        "_table",
        "_told",
        "_woken",
    )

    def __init__(
        self,
        *,
        app: Application,
        fleet: Membership,
        links: Sender,
        notices: NoticeHub,
        pool: str,
        table: HoldingTable,
        on_news: Callable[[], None],
    ) -> None:
        self._app = app
        self._fleet = fleet
        self._links = links
        self._pool = pool
        self._table = table
        self._on_news = on_news
        self._told: dict[str, dict[str, int]] = {}
        self._incarnations: dict[str, int] = {}
        self._woken = asyncio.Event()
        notices.subscribe(PoolStatus, self._take)

    def start(self, is_wanted: Callable[[], bool]) -> None:
        """Begin to tell news, at times when they are wanted."""
        self._app.async_create_task(self._async_run(is_wanted), "order news")

    def tell(self) -> None:
        """Tell what is new at once."""
        self._woken.set()

    async def _async_run(self, is_wanted: Callable[[], bool]) -> None:
        while True:
            await self._async_wait()
            if not is_wanted():
                continue
            routes = list_ring_neighbours(self._app.name, self._list_sides())
            self._forget_strangers(routes)
            await asyncio.gather(*(self._async_tell(route) for route in routes))

    async def _async_wait(self) -> None:
        """Wait for the next round, or until shortly after there is something that is new."""
        clock = self._app.clock
        if await async_wait(self._woken, clock=clock, timeout_ms=NEWS_MS):
            await clock.async_sleep(NEWS_BATCH_MS)
        self._woken.clear()

    async def _async_tell(self, route: tuple[Instance, ...]) -> None:
        """Tell the first instance of a route that can be reached what it may not know."""
        for instance in route:
            told = self._told.setdefault(instance.name, {})
            entries = [
                entry
                for entry in self._table.list_fresh()
                if told.get(entry.name, 0) < entry.stamp_ms
            ][:MAX_ENTRIES]
            if not entries:
                return
            notice = PoolStatus(pool=self._pool, entries=tuple(entries))
            if await self._links.async_send(instance=instance, notice=notice):
                told |= {entry.name: entry.stamp_ms for entry in entries}
                return

    def _take(self, peer: Peer, notice: PoolStatus) -> None:
        if notice.pool != self._pool or peer.hello.role is not Role.SIDE:
            return
        told = self._get_told(peer)
        for entry in notice.entries:
            if entry.name != self._app.name:
                self._take_entry(entry, told)

    def _take_entry(self, entry: EngineStatus, told: dict[str, int]) -> None:
        told[entry.name] = max(entry.stamp_ms, told.get(entry.name, 0))
        known = self._table.get(entry.name)
        if not self._table.note(entry):
            return
        if known is None or differs(known.holding, entry):
            self.tell()
            self._on_news()

    def _get_told(self, peer: Peer) -> dict[str, int]:
        """Return what a neighbour knows; a new process of its name knows nothing."""
        name, incarnation = peer.hello.name, peer.hello.incarnation
        if self._incarnations.get(name) != incarnation:
            self._incarnations[name] = incarnation
            self._told[name] = {}
        return self._told.setdefault(name, {})

    def _list_sides(self) -> list[Instance]:
        return [
            peer
            for peer in self._fleet.peers()
            if peer.role is Role.SIDE and peer.pool == self._pool
        ]

    def _forget_strangers(self, routes: Iterable[tuple[Instance, ...]]) -> None:
        """Forget what was told to those that are no neighbours any more."""
        kept = {instance.name for route in routes for instance in route}
        for name in self._told.keys() - kept:
            del self._told[name]
            self._incarnations.pop(name, None)


def differs(before: EngineStatus, after: EngineStatus) -> bool:
    """Return whether two holdings of one engine differ in more than loads and stamps."""
    return _strip(before) != _strip(after)


def _strip(holding: EngineStatus) -> EngineStatus:
    models = tuple(replace(model, load=0.0) for model in holding.models)
    return replace(holding, stamp_ms=0, models=models)
