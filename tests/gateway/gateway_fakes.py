"""Fake dependencies of the gateway."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from gypsumrouter.configuration import (
    AtMostOnce,
    CallerClass,
    CallPattern,
    Configuration,
    Pool,
    Workspace,
)
from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.core import Application, Remove
from gypsumrouter.gateway import Gateway
from gypsumrouter.instances import Address, Instance, InstanceList
from gypsumrouter.link import LinkPool
from gypsumrouter.link.models import (
    AnswerEvent,
    Data,
    End,
    Head,
    Open,
    PoolLoad,
    SuspectAnnouncement,
)
from gypsumrouter.outcomes import Refused
from gypsumrouter.placement import PlacementQuery
from gypsumrouter.suspicion import Clear, Verdict
from gypsumrouter.util.clock import ManualClock

TIMEOUT_S = 20
KEY = "caller-key"
AUTHORIZED = {"Authorization": f"Bearer {KEY}"}
MODEL = "inspector-7b"
CHAT: dict[str, Any] = {"model": MODEL, "messages": [{"role": "user", "content": "hello"}]}
ENGINES = ("engine-1", "engine-2", "engine-3")
RECORDS = ("records-1", "records-2", "records-3")
HEAD_JSON = Head(status=200, headers=(("Content-Type", "application/json"),))
HEAD_EVENTS = Head(status=200, headers=(("Content-Type", "text/event-stream"),))
ERROR_FIELDS = ("message", "type", "code", "param", "executed", "request_id", "retry_after_ms")

CONFIGURATION = Configuration(
    version=1,
    workspaces=(Workspace(name="school", key_digests=(hashlib.sha256(KEY.encode()).hexdigest(),)),),
    classes=(CallerClass(name="inspector", penalty=10.0), CallerClass(name="office")),
    pools=(
        Pool(name="engines", kind=UpstreamKind.ENGINE, models=(MODEL,)),
        Pool(
            name="records",
            kind=UpstreamKind.SERVICE,
            at_most_once=AtMostOnce(calls=(CallPattern(method="POST", path_prefix="/defects"),)),
        ),
    ),
    default_class="inspector",
)


def make_instance(name: str, *, role: Role = Role.SIDE, pool: str = "") -> Instance:
    return Instance(
        name=name,
        role=role,
        address=Address(host="127.0.0.1", port=1),
        data_centre="dc-1",
        region="here",
        pool=pool,
    )


def complete_answer(body: bytes, head: Head = HEAD_JSON) -> list[AnswerEvent]:
    """Return the events of a complete answer."""
    return [head, Data(offset=0, body=body), End(length=len(body), checksum=0)]


@dataclass
class FakeExchange:
    """Exchange with scripted events; after an incomplete script it waits for further events."""

    events: asyncio.Queue[AnswerEvent] = field(default_factory=asyncio.Queue)
    confirmed: int = 0
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)
    writer: Callable[[bytes], bool] | None = None
    awaited: bool = False
    delivered: int = 0

    async def async_next(self) -> AnswerEvent:
        self.awaited = True
        event = await self.events.get()
        self.awaited = False
        return event

    def set_consumer(self, writer: Callable[[bytes], bool]) -> None:
        self.writer = writer

    def confirm(self, offset: int) -> None:
        self.confirmed = offset

    def cancel(self) -> None:
        self.cancelled.set()

    def play(self, events: Iterable[AnswerEvent]) -> None:
        for event in events:
            if not self._deliver(event):
                self.events.put_nowait(event)

    def _deliver(self, event: AnswerEvent) -> bool:
        """Pass a part to the writer under the same conditions as a real exchange."""
        if not isinstance(event, Data) or self.writer is None:
            return False
        if not self.awaited or not self.events.empty() or not self.writer(event.body):
            return False
        self.delivered += 1
        self.confirm(event.offset + len(event.body))
        return True


Script = Refused | list[AnswerEvent]


class FakeLinks:
    """Answers each request with the next script of its instance; the last script is repeated."""

    def __init__(self) -> None:
        self.scripts: dict[str, list[Script]] = {}
        self.opened: list[tuple[str, Open]] = []
        self.sent_notices: list[tuple[str, SuspectAnnouncement]] = []
        self.exchanges: list[FakeExchange] = []
        self.was_opened = asyncio.Event()

    async def async_open(self, *, instance: Instance, request: Open) -> FakeExchange | Refused:
        self.opened.append((instance.name, request))
        scripts = self.scripts[instance.name]
        script = scripts.pop(0) if len(scripts) > 1 else scripts[0]
        if isinstance(script, Refused):
            return script
        exchange = FakeExchange()
        exchange.play(script)
        self.exchanges.append(exchange)
        self.was_opened.set()
        return exchange

    async def async_send(self, *, instance: Instance, notice: SuspectAnnouncement) -> bool:
        self.sent_notices.append((instance.name, notice))
        return True

    def script(self, *names: str, with_: Script) -> None:
        for name in names:
            self.scripts.setdefault(name, []).append(with_)

    @property
    def tried(self) -> list[str]:
        return [name for name, _ in self.opened]


class FakeFleet:
    def __init__(self) -> None:
        self.instances = [
            *(make_instance(name, pool="engines") for name in ENGINES),
            *(make_instance(name, pool="records") for name in RECORDS),
        ]
        self.age_ms: int | None = 0
        self.routers: list[Instance] = []
        self.listeners: list[Callable[[], None]] = []

    def members(self, pool: str) -> tuple[Instance, ...]:
        return tuple(instance for instance in self.instances if instance.pool == pool)

    def peers(self) -> tuple[Instance, ...]:
        return (*self.instances, *self.routers)

    def list_age_ms(self) -> int | None:
        return self.age_ms

    def on_change(self, listener: Callable[[], None]) -> Remove:
        self.listeners.append(listener)
        return lambda: None

    def on_list(self, listener: Callable[[InstanceList], None]) -> Remove:
        return lambda: None

    def add_routers(self, *names: str) -> None:
        self.routers.extend(make_instance(name, role=Role.ROUTER) for name in names)
        for listener in self.listeners:
            listener()


class FakePlacement:
    def __init__(self, fleet: FakeFleet) -> None:
        self.fleet = fleet
        self.queries: list[PlacementQuery] = []

    def find_prefix_holders(self, query: PlacementQuery) -> tuple[str, ...]:
        if not query.returning:
            return ()
        return tuple(item.name for item in self.fleet.members(query.pool.name))

    def order(self, query: PlacementQuery) -> tuple[Instance, ...]:
        self.queries.append(query)
        return self.fleet.members(query.pool.name)

    def pool_load(self, pool: Pool) -> PoolLoad | None:
        return None

    def make_hint(self, instance: Instance) -> str:
        return f"hint-{instance.name}"

    def record_served(self, query: PlacementQuery, instance: Instance) -> None:
        pass


class FakeSuspicion:
    def __init__(self) -> None:
        self.verdict: Verdict = Clear()
        self.implications: tuple[SuspectAnnouncement, ...] = ()
        self.parts_refused: Refused | None = None

    def check(self, digest: int) -> Verdict:
        return self.verdict

    def list_implications(self, digest: int) -> tuple[SuspectAnnouncement, ...]:
        return self.implications

    def check_parts(
        self, *, request_id: str, workspace: str, digest: int, parts: tuple[int, ...]
    ) -> Refused | None:
        return self.parts_refused


class FakeStore:
    def __init__(self, configuration: Configuration) -> None:
        self.current = configuration
        self.listeners: list[Callable[[Configuration], None]] = []

    def on_change(self, listener: Callable[[Configuration], None]) -> Remove:
        self.listeners.append(listener)
        return lambda: None

    def offer(self, configuration: Configuration) -> None:
        self.current = configuration
        for listener in self.listeners:
            listener(configuration)


@dataclass
class RouterHarness:
    """A running gateway with its fake dependencies, and an HTTP client."""

    app: Application
    clock: ManualClock
    gateway: Gateway
    links: FakeLinks
    fleet: FakeFleet
    placement: FakePlacement
    suspicion: FakeSuspicion
    store: FakeStore
    http: aiohttp.ClientSession
    address: Address

    @property
    def url(self) -> str:
        return f"http://{self.address}"

    async def async_wait_until(self, condition: Callable[[], bool], *, step_ms: int = 0) -> None:
        """Run the event loop until `condition` is true; each round advances the clock."""
        async with asyncio.timeout(TIMEOUT_S):
            for _ in itertools.repeat(None):
                if condition():
                    return
                self.clock.advance(step_ms)
                await asyncio.sleep(0)

    def use_links(self, links: LinkPool) -> None:
        """Send later requests over real links."""
        self.links.async_open = links.async_open  # type: ignore[assignment, method-assign]

    def async_request(self, path: str, **options: Any) -> Any:
        return self.http.post(self.url + path, headers=AUTHORIZED, **options)

    async def async_post(self, path: str, **options: Any) -> tuple[aiohttp.ClientResponse, Any]:
        """Return the response and its JSON body."""
        headers = {**AUTHORIZED, **options.pop("headers", {})}
        async with self.http.post(self.url + path, headers=headers, **options) as answer:
            return answer, await answer.json()

    async def async_chat(self, **options: Any) -> tuple[aiohttp.ClientResponse, Any]:
        return await self.async_post("/v1/chat/completions", json=CHAT, **options)
