"""Gossip between the sides of a pool about the models that their engines hold."""

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
from gypsumrouter.orders.const import GOSSIP_BATCH_MS, GOSSIP_MS, MAX_GOSSIP_ENTRIES
from gypsumrouter.orders.ports import Membership, Sender
from gypsumrouter.orders.table import HoldingTable


class HoldingGossip:
    """Forward new holdings to a few neighbours in the pool, which do the same.

    Neighbours are chosen as for the distribution of the configuration, among the sides of the
    pool. An entry is not sent back to a neighbour from which it was received. A lost entry is
    replaced by the next refresh. `on_change` is called when an engine has changed.
    """

    __slots__ = (
        "_app",
        "_fleet",
        "_incarnations",
        "_links",
        "_on_change",
        "_peer_stamps",
        "_pool",
        "_table",
        "_wake",
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
        on_change: Callable[[], None],
    ) -> None:
        self._app = app
        self._fleet = fleet
        self._links = links
        self._pool = pool
        self._table = table
        self._on_change = on_change
        self._peer_stamps: dict[str, dict[str, int]] = {}
        self._incarnations: dict[str, int] = {}
        self._wake = asyncio.Event()
        notices.subscribe(PoolStatus, self._handle)

    def start(self, is_enabled: Callable[[], bool]) -> None:
        """Start to gossip while `is_enabled` returns true."""
        self._app.async_create_task(self._async_run(is_enabled), "order gossip")

    def announce(self) -> None:
        """Send new entries without waiting for the next interval."""
        self._wake.set()

    async def _async_run(self, is_enabled: Callable[[], bool]) -> None:
        while True:
            await self._async_wait()
            if not is_enabled():
                continue
            routes = list_ring_neighbours(self._app.name, self._list_sides())
            self._drop_former_neighbours(routes)
            await asyncio.gather(*(self._async_send(route) for route in routes))

    async def _async_wait(self) -> None:
        """Wait for the next interval, or for an announcement and the batch delay."""
        clock = self._app.clock
        if await async_wait(self._wake, clock=clock, timeout_ms=GOSSIP_MS):
            await clock.async_sleep(GOSSIP_BATCH_MS)
        self._wake.clear()

    async def _async_send(self, route: tuple[Instance, ...]) -> None:
        """Send new entries to the first reachable instance of a route."""
        for instance in route:
            peer_stamps = self._peer_stamps.setdefault(instance.name, {})
            entries = [
                entry
                for entry in self._table.list_fresh()
                if peer_stamps.get(entry.name, 0) < entry.stamp_ms
            ][:MAX_GOSSIP_ENTRIES]
            if not entries:
                return
            notice = PoolStatus(pool=self._pool, entries=tuple(entries))
            if await self._links.async_send(instance=instance, notice=notice):
                peer_stamps |= {entry.name: entry.stamp_ms for entry in entries}
                return

    def _handle(self, peer: Peer, notice: PoolStatus) -> None:
        if notice.pool != self._pool or peer.hello.role is not Role.SIDE:
            return
        peer_stamps = self._get_peer_stamps(peer)
        for entry in notice.entries:
            if entry.name != self._app.name:
                self._handle_entry(entry, peer_stamps)

    def _handle_entry(self, entry: EngineStatus, peer_stamps: dict[str, int]) -> None:
        peer_stamps[entry.name] = max(entry.stamp_ms, peer_stamps.get(entry.name, 0))
        known = self._table.get(entry.name)
        if not self._table.record(entry):
            return
        if known is None or has_changed(known.holding, entry):
            self.announce()
            self._on_change()

    def _get_peer_stamps(self, peer: Peer) -> dict[str, int]:
        """Return the stamps that a neighbour has; they are cleared when its process restarts."""
        name, incarnation = peer.hello.name, peer.hello.incarnation
        if self._incarnations.get(name) != incarnation:
            self._incarnations[name] = incarnation
            self._peer_stamps[name] = {}
        return self._peer_stamps.setdefault(name, {})

    def _list_sides(self) -> list[Instance]:
        return [
            peer
            for peer in self._fleet.peers()
            if peer.role is Role.SIDE and peer.pool == self._pool
        ]

    def _drop_former_neighbours(self, routes: Iterable[tuple[Instance, ...]]) -> None:
        """Drop the state of sides that are no longer neighbours."""
        kept = {instance.name for route in routes for instance in route}
        for name in self._peer_stamps.keys() - kept:
            del self._peer_stamps[name]
            self._incarnations.pop(name, None)


def has_changed(before: EngineStatus, after: EngineStatus) -> bool:
    """Return whether two holdings of an engine differ in more than their loads and stamps."""
    return _strip(before) != _strip(after)


def _strip(holding: EngineStatus) -> EngineStatus:
    models = tuple(replace(model, load=0.0) for model in holding.models)
    return replace(holding, stamp_ms=0, models=models)
