"""A fleet in one event loop with fake links, membership and platform, and manual clocks."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

from gypsumrouter.configuration import ConfigurationReplicator, ConfigurationStore
from gypsumrouter.configuration.const import WATCHER_ROTATION_MS
from gypsumrouter.configuration.neighbours import list_watchers
from gypsumrouter.configuration.source import Document, SourceAnswer, Unavailable, Unchanged
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.instances import Address, Instance
from gypsumrouter.link.models import Hello, Notice
from gypsumrouter.settings import Platform
from gypsumrouter.util.clock import ManualClock

LOOP_ITERATIONS = 40
STEP_MS = 250
WALL_MS = 1_700_000_000_000


def make_document(version: int, *, workspaces: int = 3, **changes: Any) -> dict[str, Any]:
    """Return a valid document; `changes` replace its fields."""
    document: dict[str, Any] = {
        "version": version,
        "workspaces": [
            {"name": f"school-{n}", "key_digests": [digest_key(f"key-{n}")]}
            for n in range(workspaces)
        ],
        "classes": [{"name": "parents"}, {"name": "reports", "batch": True}],
        "pools": [
            {"name": "shared", "kind": "engine", "models": ["sizing"]},
            {"name": "spare", "kind": "engine", "models": ["sizing", "quotes"]},
            {"name": "dispatch", "kind": "service"},
        ],
        "rules": [],
        "default_class": "parents",
    }
    return {**document, **changes}


def encode(document: dict[str, Any]) -> bytes:
    """Return a document as JSON."""
    return json.dumps(document).encode()


def digest_key(key: str) -> str:
    """Return the digest of a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()


class FakePlatform:
    """A configuration service that can be down or return stale versions to some processes."""

    def __init__(self) -> None:
        self.documents: dict[int, bytes] = {}
        self.stale: dict[str, int] = {}
        self.down = False
        self.calls = 0

    def publish(self, document: dict[str, Any]) -> None:
        self.documents[int(document["version"])] = encode(document)

    def answer(self, name: str, after: int) -> SourceAnswer | None:
        if self.down:
            return Unavailable(message="down")
        newest = max(self.documents, default=0)
        version = min(newest, self.stale.get(name, newest))
        if name not in self.stale and version <= after:
            return None
        if version not in self.documents:
            return None
        return Document(body=self.documents[version], version=version)


class FakeSource:
    """Configuration source of one process."""

    def __init__(self, *, platform: FakePlatform, name: str, clock: ManualClock) -> None:
        self._platform = platform
        self._name = name
        self._clock = clock

    async def async_read(self) -> SourceAnswer:
        self._platform.calls += 1
        return self._platform.answer(self._name, 0) or Unavailable(message="nothing yet")

    async def async_watch(self, *, after: int, timeout_ms: int) -> SourceAnswer:
        self._platform.calls += 1
        until_ms = self._clock.now_ms() + timeout_ms
        while (answer := self._platform.answer(self._name, after)) is None:
            if self._clock.now_ms() >= until_ms:
                return Unchanged()
            await self._clock.async_sleep(STEP_MS)
        return answer


class FakePeer:
    """One end of a link; notices are delivered to the other process through the event loop."""

    def __init__(self, *, fleet: FakeFleet, here: str, there: str) -> None:
        self._fleet = fleet
        self._here = here
        self._there = there
        self.hello = Hello(name=there, role=Role.ROUTER, incarnation=1)

    def send(self, notice: Notice) -> bool:
        return self._fleet.deliver(self._here, self._there, notice)


class FakeProcess:
    """One process with a store and a replicator."""

    def __init__(self, *, fleet: FakeFleet, instance: Instance, seed: int) -> None:
        self.fleet = fleet
        self.instance = instance
        self.clock = ManualClock(now_ms=fleet.now_ms, wall_ms=WALL_MS + fleet.now_ms)
        self.paused = False
        self.inbox: list[tuple[str, Notice]] = []
        self.versions: list[int] = []
        self.listeners: dict[type[Any], Callable[[Any, Any], None]] = {}
        self.app = Application(
            name=instance.name,
            role=Role.ROUTER,
            data_centre=instance.data_centre,
            region=instance.region,
            clock=self.clock,
        )
        self.store = ConfigurationStore(app=self.app)
        self.store.on_change(lambda configuration: self.versions.append(configuration.version))
        self.replicator = ConfigurationReplicator(
            app=self.app,
            settings=Platform(),
            store=self.store,
            fleet=cast(Any, self),
            pool=cast(Any, self),
            notices=cast(Any, self),
            source=FakeSource(platform=fleet.platform, name=instance.name, clock=self.clock),
            rng=random.Random(seed),
        )

    @property
    def version(self) -> int:
        return self.store.current.version

    def peers(self) -> tuple[Instance, ...]:
        return tuple(i for i in self.fleet.instances if i.name != self.instance.name)

    def list_age_ms(self) -> int | None:
        return 0

    def on_change(self, listener: Callable[[], None]) -> Callable[[], None]:
        return lambda: None

    def subscribe(
        self, kind: type[Any], listener: Callable[[Any, Any], None]
    ) -> Callable[[], None]:
        self.listeners[kind] = listener
        return lambda: None

    async def async_send(self, *, instance: Instance, notice: Notice) -> bool:
        return self.fleet.deliver(self.instance.name, instance.name, notice)

    def receive(self) -> None:
        if self.paused:
            return
        while self.inbox:
            sender, notice = self.inbox.pop(0)
            peer = FakePeer(fleet=self.fleet, here=self.instance.name, there=sender)
            self.listeners[type(notice)](peer, notice)


class FakeFleet:
    """Processes that can reach each other if they are in the same partition group."""

    def __init__(self, *, names: tuple[str, ...], data_centres: int = 3) -> None:
        self.platform = FakePlatform()
        self.now_ms = 0
        self.groups: dict[str, int] = {}
        self.sent: Counter[str] = Counter()
        self.processes: dict[str, FakeProcess] = {}
        self.instances = tuple(
            Instance(
                name=name,
                role=Role.ROUTER,
                address=Address(host="127.0.0.1", port=1),
                data_centre=f"dc-{number % data_centres}",
                region="hr-zagreb",
            )
            for number, name in enumerate(names)
        )

    async def async_start(self, name: str, seed: int = 1) -> FakeProcess:
        """Start a process; stop an earlier one of the same name."""
        await self.async_stop(name)
        instance = next(i for i in self.instances if i.name == name)
        process = FakeProcess(fleet=self, instance=instance, seed=seed)
        self.processes[name] = process
        await process.replicator.async_start()
        return process

    async def async_start_all(self) -> None:
        for number, instance in enumerate(self.instances):
            await self.async_start(instance.name, seed=number)

    async def async_stop(self, name: str) -> None:
        process = self.processes.pop(name, None)
        if process is not None:
            await process.app.async_stop()

    async def async_stop_all(self) -> None:
        for name in tuple(self.processes):
            await self.async_stop(name)

    def deliver(self, here: str, there: str, notice: Notice) -> bool:
        """Deliver a notice; a paused process receives it when it resumes."""
        receiver = self.processes.get(there)
        if receiver is None or self.groups.get(here, 0) != self.groups.get(there, 0):
            return False
        if here not in self.processes:
            return False
        self.sent[type(notice).__name__] += 1
        receiver.inbox.append((here, notice))
        asyncio.get_running_loop().call_soon(receiver.receive)
        return True

    async def async_advance(self, duration_ms: int) -> None:
        """Advance the clocks of all processes that are not paused, in small steps."""
        for _ in range(0, duration_ms, STEP_MS):
            self.now_ms += STEP_MS
            for process in self.processes.values():
                if not process.paused:
                    process.clock.advance(self.now_ms - process.clock.now_ms())
            await async_settle()

    async def async_resume(self, name: str) -> None:
        """Resume a paused process: its clock jumps and buffered notices are delivered."""
        process = self.processes[name]
        process.paused = False
        process.clock.advance(self.now_ms - process.clock.now_ms())
        asyncio.get_running_loop().call_soon(process.receive)
        await async_settle()

    def list_watchers(self) -> frozenset[str]:
        rotation = (WALL_MS + self.now_ms) // WATCHER_ROTATION_MS
        return list_watchers(self.instances, "hr-zagreb", rotation)

    def list_versions(self) -> set[int]:
        return {process.version for process in self.processes.values()}


async def async_settle() -> None:
    """Run all tasks that can make progress without advancing the clocks."""
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
