"""Sides with stand-in engines, connected by fake links that call each other directly."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import cast

from gypsumrouter.const import Role, UpstreamKind, make_engine_chat_id
from gypsumrouter.core import Application
from gypsumrouter.instances import Address, Instance
from gypsumrouter.link import Answer, NoticeHub, Peer
from gypsumrouter.link.models import AnswerEvent, Data, End, Head, Hello, Notice, Open
from gypsumrouter.outcomes import Failure, Reason, Refused
from gypsumrouter.prefixes import Prefixes
from gypsumrouter.settings import Upstream
from gypsumrouter.standins import Engine, EngineSettings
from gypsumrouter.standins.tokens import hash_blocks
from gypsumrouter.util.clock import SystemClock

POOL = "models"
WORKSPACE = "utility"
CHAT = "chat-1"
PROMPT = bytes(range(256)) * 32
MODEL = "gypsum-chat"
BLOCKS = hash_blocks(PROMPT, model=MODEL)


class FakeAnswer:
    def __init__(self) -> None:
        self.events: deque[AnswerEvent] = deque()
        self.offset = 0
        self.cancelled = asyncio.Event()

    def head(self, head: Head) -> None:
        self.events.append(head)

    async def async_write(self, body: bytes) -> None:
        self.events.append(Data(offset=self.offset, body=body))
        self.offset += len(body)

    def end(self) -> None:
        self.events.append(End(length=self.offset, checksum=0))

    def fail(self, failure: Failure) -> None:
        self.events.append(failure)


class FakeExchange:
    def __init__(self, answer: FakeAnswer) -> None:
        self.answer = answer

    async def async_next(self) -> AnswerEvent:
        return self.answer.events.popleft()

    def confirm(self, offset: int) -> None:
        pass

    def cancel(self) -> None:
        pass


@dataclass(slots=True)
class FakeLinks:
    """The links of one side; sides in `cut` are unreachable."""

    name: str
    fleet: FakeFleet
    cut: set[str] = field(default_factory=set)
    requested: list[tuple[str, str]] = field(default_factory=list)
    notified: list[str] = field(default_factory=list)

    async def async_open(self, *, instance: Instance, request: Open) -> FakeExchange | Refused:
        self.requested.append((instance.name, request.path))
        if instance.name in self.cut:
            return Refused(reason=Reason.UNREACHABLE, elsewhere=True)
        answer = FakeAnswer()
        hello = Hello(name=self.name, role=Role.SIDE, incarnation=1)
        await self.fleet.sides[instance.name].handler(hello, request, cast(Answer, answer))
        return FakeExchange(answer)

    async def async_send(self, *, instance: Instance, notice: Notice) -> bool:
        self.notified.append(instance.name)
        hello = Hello(name=self.name, role=Role.SIDE, incarnation=1)
        peer = Peer(hello=hello, connection=None, dialed=False)  # type: ignore[arg-type]
        self.fleet.sides[instance.name].notices.publish(peer, notice)
        return True


class Side:
    """One side of the pool and its engine."""

    def __init__(self, *, name: str, fleet: FakeFleet) -> None:
        self.engine = Engine(
            clock=SystemClock(), settings=EngineSettings(cache_event_lag_ms=0, cache_event_loss=0)
        )
        self.app = Application(
            name=name, role=Role.SIDE, data_centre="dc-1", region="region-1", incarnation=1
        )
        self.fleet = fleet
        self.links = FakeLinks(name=name, fleet=fleet)
        self.notices = NoticeHub()
        self.passed: list[Open] = []

    async def async_start(self) -> None:
        address = await self.engine.async_start()
        self.app.async_start()
        upstream = Upstream(
            pool=POOL, kind=UpstreamKind.ENGINE, host=address.host, port=address.port
        )
        self.prefixes = Prefixes(
            app=self.app,
            settings=upstream,
            fleet=self.fleet,
            links=self.links,  # type: ignore[arg-type]
            notices=self.notices,
        )
        self.handler = self.prefixes.wrap(self._async_pass)  # type: ignore[arg-type]
        await self.prefixes.async_start()
        self.app.async_started()

    async def async_stop(self) -> None:
        await self.app.async_stop()
        await self.engine.async_stop()

    async def async_serve(self, request: Open) -> None:
        """Simulate one run: fetch the prefix, fill the cache of the engine, record the run."""
        await self.prefixes.async_fetch(request)
        self.engine.cache.store(chat=make_engine_chat_id(WORKSPACE, request.chat), blocks=BLOCKS)
        self.prefixes.record_served(request, complete=True)
        self.prefixes.record_run_ended(request)
        await asyncio.sleep(0)

    def count_held(self) -> int:
        return self.engine.cache.find_prefix(BLOCKS)

    async def _async_pass(self, hello: Hello, request: Open, answer: FakeAnswer) -> None:
        self.passed.append(request)
        answer.fail(Refused(reason=Reason.BAD_REQUEST))


@dataclass(slots=True)
class FakeFleet:
    sides: dict[str, Side] = field(default_factory=dict)

    def get(self, name: str) -> Instance | None:
        return make_instance(name) if name in self.sides else None

    def members(self, pool: str) -> tuple[Instance, ...]:
        return tuple(make_instance(name) for name in sorted(self.sides))


def make_instance(name: str) -> Instance:
    return Instance(
        name=name,
        role=Role.SIDE,
        address=Address(host="127.0.0.1", port=1),
        data_centre="dc-1",
        region="region-1",
        pool=POOL,
    )


def make_request(
    *holders: str, chat: str = CHAT, prompt_bytes: int = len(PROMPT), path: str = "/v1/x"
) -> Open:
    return Open(
        sequence=1,
        request_id="request-1",
        kind=UpstreamKind.ENGINE,
        pool=POOL,
        workspace=WORKSPACE,
        caller_class="inspectors",
        method="POST",
        path=path,
        headers=(),
        body=b"",
        stream=True,
        deadline_ms=30_000,
        waited_ms=0,
        digest=1,
        chat=chat,
        returning=True,
        prompt_bytes=prompt_bytes,
        holders=holders,
    )
