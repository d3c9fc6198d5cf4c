"""Shared parts of the tests of suspicion."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from gypsumrouter.const import Role
from gypsumrouter.core import Application, Remove
from gypsumrouter.link import NoticeHub, Peer
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.suspicion import Suspicion, Token
from gypsumrouter.util.clock import ManualClock

Listener = Callable[[Peer, SuspectAnnouncement], None]


class FakeHub:
    """The listeners for news from other processes."""

    def __init__(self) -> None:
        self.listeners: list[Listener] = []

    def subscribe(self, kind: type[SuspectAnnouncement], listener: Listener) -> Remove:
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)


class Member:
    """One process with its suspicion; what is new to it is kept in `told`."""

    def __init__(self, name: str = "e0", *, fleet: Any = None, pool: str = "") -> None:
        self.clock = ManualClock()
        self.app = Application(
            name=name, role=Role.SIDE, data_centre="dc1", region="r", clock=self.clock
        )
        self.hub = FakeHub()
        self.suspicion = Suspicion(
            app=self.app, notices=cast(NoticeHub, self.hub), fleet=fleet, pool=pool
        )
        self.told: list[SuspectAnnouncement] = []
        self.suspicion.on_news(self.told.append)

    def hear(self, *news: SuspectAnnouncement) -> None:
        for item in news:
            for listener in self.hub.listeners:
                listener(cast(Peer, None), item)

    def die_with(self, *digests: int) -> tuple[SuspectAnnouncement, ...]:
        """Let the upstream die while these digests run."""
        for digest in digests:
            self.suspicion.note_started(digest)
        news = self.suspicion.note_upstream_died()
        for digest in digests:
            self.suspicion.note_ended(digest)
        return news

    def enter(self, digest: int) -> asyncio.Task[Any]:
        return asyncio.ensure_future(self.suspicion.async_enter(digest, asyncio.Event()))

    async def async_enter(self, digest: int) -> Token:
        token = await self.suspicion.async_enter(digest, asyncio.Event())
        assert isinstance(token, Token)
        return token


async def async_settle() -> None:
    """Let every task that can go on do so."""
    for _ in range(10):
        await asyncio.sleep(0)
