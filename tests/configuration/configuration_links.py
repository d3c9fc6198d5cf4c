"""Processes that replicate configurations over real links on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from gypsumrouter.configuration import ConfigurationReplicator, ConfigurationStore
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.instances import Instance
from gypsumrouter.link import LinkPool, LinkServer, NoticeHub
from gypsumrouter.settings import Link, Platform

KEY = b"a key of the links for tests"
WAIT_S = 20
LINK = Link()


class StaticFleet:
    """A fleet with a fixed list of instances."""

    def __init__(self, name: str, instances: list[Instance]) -> None:
        self._name = name
        self._instances = instances

    def peers(self) -> tuple[Instance, ...]:
        return tuple(i for i in self._instances if i.name != self._name)

    def list_age_ms(self) -> int | None:
        return 0

    def on_change(self, listener: Callable[[], None]) -> Callable[[], None]:
        return lambda: None


class Process:
    """One process with a store and a replicator over real links."""

    def __init__(self, *, name: str, instances: list[Instance], origins: tuple[str, ...]) -> None:
        self.app = Application(name=name, role=Role.SIDE, data_centre="dc-1", region="hr-zagreb")
        self.store = ConfigurationStore(app=self.app)
        self.changed = asyncio.Event()
        self.store.on_change(lambda configuration: self.changed.set())
        notices = NoticeHub(app=self.app)
        self.server = LinkServer(
            app=self.app,
            settings=LINK,
            key=KEY,
            notices=notices,
            handler=None,
            answer_memory_bytes=1024,
        )
        self.replicator = ConfigurationReplicator(
            app=self.app,
            settings=Platform(configuration=origins),
            store=self.store,
            fleet=cast(Any, StaticFleet(name, instances)),
            pool=LinkPool(app=self.app, settings=LINK, key=KEY, notices=notices),
            notices=notices,
        )
        self._instances = instances

    async def async_listen(self) -> None:
        address = await self.server.async_start()
        instance = Instance(
            name=self.app.name,
            role=Role.SIDE,
            address=address,
            data_centre="dc-1",
            region="hr-zagreb",
        )
        self._instances.append(instance)

    async def async_wait(self, version: int) -> None:
        async with asyncio.timeout(WAIT_S):
            while self.store.current.version < version:
                self.changed.clear()
                await self.changed.wait()
