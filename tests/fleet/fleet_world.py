"""Test doubles and builders of the membership tests."""

from __future__ import annotations

import asyncio

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address, Fleet, Instance, InstanceList, Unchanged
from gypsumrouter.settings import Platform
from gypsumrouter.util.clock import ManualClock
from gypsumrouter.util.revisions import make_revision

POOL = "engines"
START_MS = 1_700_000_000_000
FetchResult = InstanceList | Unchanged | None


class ScriptedSource:
    """A source that returns queued results, one per fetch."""

    def __init__(self) -> None:
        self.fetches: list[int | None] = []
        self._results: asyncio.Queue[FetchResult] = asyncio.Queue()

    def put(self, result: FetchResult) -> None:
        self._results.put_nowait(result)

    async def async_fetch(self, *, after_revision: int | None) -> FetchResult:
        self.fetches.append(after_revision)
        return await self._results.get()


class World:
    """A fleet with a scripted list source and a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock(wall_ms=START_MS)
        self.app = Application(
            name="r1", role=Role.ROUTER, data_centre="dc1", region="r", clock=self.clock
        )
        self.source = ScriptedSource()
        self.settings = Platform()
        self.fleet = Fleet(app=self.app, settings=self.settings, source=self.source)
        self.changes = 0
        self.fleet.on_change(self._count_change)

    async def async_respond(self, result: FetchResult) -> None:
        """Return one result to the fleet and wait for its next fetch."""
        fetches = len(self.source.fetches)
        self.source.put(result)
        while len(self.source.fetches) <= fetches:
            await asyncio.sleep(0)
            self.clock.advance(self.settings.list_poll_ms)

    async def async_publish(self, revision: int, *instances: Instance, epoch: int = 0) -> None:
        as_of_ms = self.clock.wall_ms()
        await self.async_respond(make_list(revision, *instances, as_of_ms=as_of_ms, epoch=epoch))

    def member_names(self, pool: str = POOL) -> list[str]:
        return [instance.name for instance in self.fleet.members(pool)]

    def _count_change(self) -> None:
        self.changes += 1


def make_engine(name: str, *, port: int = 7000, leaving: bool = False) -> Instance:
    return Instance(
        name=name,
        role=Role.SIDE,
        address=Address(host="10.0.0.1", port=port),
        data_centre="dc1",
        region="r",
        pool=POOL,
        state=InstanceState.LEAVING if leaving else InstanceState.LIVE,
    )


def make_engines(count: int) -> list[Instance]:
    return [make_engine(f"e{number}") for number in range(count)]


def make_list(
    number: int, *instances: Instance, as_of_ms: int = START_MS, epoch: int = 0
) -> InstanceList:
    revision = make_revision(epoch=epoch, number=number)
    return InstanceList(revision=revision, as_of_ms=as_of_ms, instances=tuple(instances))
