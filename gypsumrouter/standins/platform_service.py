"""What the stand-ins of the configuration service and of the instance list have in common."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

from aiohttp import web

from gypsumrouter.instances import Address
from gypsumrouter.standins.change_notifier import ChangeNotifier
from gypsumrouter.standins.faults import Gate, Outage, OutageKind
from gypsumrouter.standins.json_responses import MAX_BODY_BYTES
from gypsumrouter.standins.listener import StandinListener
from gypsumrouter.util.clock import Clock


class PlatformService(ABC):
    """A service with waiting reads, which may have an outage; subclasses add its routes."""

    __slots__ = ("_changes", "_clock", "_gate", "_listener", "_outage", "_random")

    def __init__(self, *, clock: Clock, host: str, port: int, seed: int) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._changes = ChangeNotifier(clock=clock)
        self._gate = Gate()
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._gate.async_middleware]
        )
        self._listener = StandinListener(app=app, host=host, port=port)
        self._outage = Outage(
            listener=self._listener, gate=self._gate, on_change=self._changes.notify
        )
        app.router.add_post("/standin/outage", self._outage.async_post)
        self._add_routes(app)

    @abstractmethod
    def _add_routes(self, app: web.Application) -> None:
        """Add the routes of the service."""

    @property
    def address(self) -> Address:
        """Return the address of the listener."""
        return self._listener.address

    @property
    def waiting(self) -> int:
        """Return the number of waiting reads."""
        return self._changes.waiting

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        return await self._listener.async_start()

    async def async_stop(self) -> None:
        """Stop the service and reset its connections."""
        await self._listener.async_stop()

    async def async_set_outage(self, kind: OutageKind) -> None:
        """Start, change or end (NONE) an outage."""
        await self._outage.async_set(kind)
