"""Gossip of suspects: requests that were running when their upstream crashed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from gypsumrouter.configuration.neighbours import list_ring_neighbours
from gypsumrouter.core import Application
from gypsumrouter.fleet import Fleet, Instance
from gypsumrouter.link import LinkPool
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.suspicion import SuspectTracker

ListNames = Callable[[], Collection[str]]
SendTo = Callable[[Collection[str], SuspectAnnouncement], None]


class SuspectGossip:
    """Forwards suspect reports that are new to this process to a few neighbours.

    Each neighbour does the same, so that a report reaches the whole fleet. `list_affected` returns
    the routers whose requests run here. They receive the report first, through `send_to`: it uses
    the links on which the failures of those requests follow, so that it arrives before a retry.
    """

    __slots__ = ("_app", "_fleet", "_links", "_list_affected", "_send_to")

    def __init__(
        self,
        *,
        app: Application,
        fleet: Fleet,
        links: LinkPool,
        suspicion: SuspectTracker,
        list_affected: ListNames,
        send_to: SendTo,
    ) -> None:
        self._app = app
        self._fleet = fleet
        self._links = links
        self._list_affected = list_affected
        self._send_to = send_to
        suspicion.on_new_strike(self._forward)

    def _forward(self, report: SuspectAnnouncement) -> None:
        # Evaluated here and not in the task, because the failed exchanges are still tracked now.
        names = set(self._list_affected())
        self._send_to(names, report)
        affected = [self._fleet.get(name) for name in names]
        direct = [(instance,) for instance in affected if instance is not None]
        self._app.async_create_task(self._async_forward(report, direct), "suspect gossip")

    async def _async_forward(
        self, report: SuspectAnnouncement, direct: list[tuple[Instance]]
    ) -> None:
        routes = list_ring_neighbours(self._app.name, self._fleet.peers())
        await asyncio.gather(*(self._async_send(route, report) for route in (*direct, *routes)))

    async def _async_send(self, route: tuple[Instance, ...], report: SuspectAnnouncement) -> None:
        """Send the report to the first reachable instance of a route."""
        for instance in route:
            if await self._links.async_send(instance=instance, notice=report):
                return
