"""Fakes for the tests of crash suspects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from gypsumrouter.const import Role
from gypsumrouter.core import Application, Remove
from gypsumrouter.link import NoticeHub, Peer
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.suspicion import RunPermit, SuspectTracker
from gypsumrouter.util.clock import ManualClock

Listener = Callable[[Peer, SuspectAnnouncement], None]


class FakeNoticeHub:
    """Link to other processes, from which a test can deliver implications."""

    def __init__(self) -> None:
        self.listeners: list[Listener] = []

    def subscribe(self, kind: type[SuspectAnnouncement], listener: Listener) -> Remove:
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)


class FakeProcess:
    """A process with a suspect tracker; `announced` has what its listener received."""

    def __init__(self, name: str = "e0", *, fleet: Any = None, pool: str = "") -> None:
        self.clock = ManualClock()
        self.app = Application(
            name=name, role=Role.SIDE, data_centre="dc1", region="r", clock=self.clock
        )
        self.hub = FakeNoticeHub()
        self.suspicion = SuspectTracker(
            app=self.app, notices=cast(NoticeHub, self.hub), fleet=fleet, pool=pool
        )
        self.announced: list[SuspectAnnouncement] = []
        self.suspicion.on_new_implication(self.announced.append)

    def receive(self, *implications: SuspectAnnouncement) -> None:
        for item in implications:
            for listener in self.hub.listeners:
                listener(cast(Peer, None), item)

    def crash_with(self, *digests: int) -> tuple[SuspectAnnouncement, ...]:
        """Crash the upstream while requests with these digests run."""
        for digest in digests:
            self.suspicion.record_start(digest)
        implications = self.suspicion.handle_upstream_crash()
        for digest in digests:
            self.suspicion.record_end(digest)
        return implications

    def enter(self, digest: int) -> asyncio.Task[Any]:
        return asyncio.ensure_future(self.suspicion.async_enter(digest, asyncio.Event()))

    async def async_enter(self, digest: int) -> RunPermit:
        permit = await self.suspicion.async_enter(digest, asyncio.Event())
        assert isinstance(permit, RunPermit)
        return permit


async def async_settle() -> None:
    """Run all tasks until they wait for the clock or an event."""
    for _ in range(10):
        await asyncio.sleep(0)
