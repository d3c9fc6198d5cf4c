"""How one process tells others of requests that crash their upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from gypsumrouter.configuration.neighbours import list_routes
from gypsumrouter.core import Application
from gypsumrouter.fleet import Fleet, Instance
from gypsumrouter.link import LinkPool
from gypsumrouter.link.models import SuspectNews
from gypsumrouter.suspicion import SuspectTracker

ListNames = Callable[[], Collection[str]]
SendTo = Callable[[Collection[str], SuspectNews], None]


class SuspectNewsSpread:
    """Hand news that was not known before to a few neighbours, who do the same.

    `list_concerned` names the routers whose requests run here. They decide next, and are told by
    `send_to`: before the failure of those requests, which goes over the same links.
    """

    __slots__ = ("_app", "_fleet", "_links", "_list_concerned", "_send_to")

    def __init__(
        self,
        *,
        app: Application,
        fleet: Fleet,
        links: LinkPool,
        suspicion: SuspectTracker,
        list_concerned: ListNames,
        send_to: SendTo,
    ) -> None:
        self._app = app
        self._fleet = fleet
        self._links = links
        self._list_concerned = list_concerned
        self._send_to = send_to
        suspicion.on_new_strike(self._spread)

    def _spread(self, news: SuspectNews) -> None:
        # Read now: the runs that died are still known.
        names = set(self._list_concerned())
        self._send_to(names, news)
        concerned = [self._fleet.get(name) for name in names]
        direct = [(instance,) for instance in concerned if instance is not None]
        self._app.async_create_task(self._async_spread(news, direct), "suspect news")

    async def _async_spread(self, news: SuspectNews, direct: list[tuple[Instance]]) -> None:
        routes = list_routes(self._app.name, self._fleet.peers())
        await asyncio.gather(*(self._async_tell(route, news) for route in (*direct, *routes)))

    async def _async_tell(self, route: tuple[Instance, ...], news: SuspectNews) -> None:
        """Tell the first instance of a route that can be reached."""
        for instance in route:
            if await self._links.async_send(instance=instance, notice=news):
                return
