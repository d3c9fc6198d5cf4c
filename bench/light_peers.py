"""Light routers and sides that share a process: links as in the product, and nothing else."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Final

from bench.paced_engine import DONE, get_gap_ms, make_event
from gypsumrouter.const import MS_PER_S, Role, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.instances import Address, Instance
from gypsumrouter.link import (
    Answer,
    ConfigurationAnnouncement,
    ConfigurationPartsRequest,
    Data,
    End,
    Head,
    Hello,
    LinkPool,
    LinkServer,
    NoticeHub,
    Open,
    Peer,
    Status,
)
from gypsumrouter.outcomes import Failed, Refused
from gypsumrouter.settings import Link

ANSWER_MEMORY_BYTES: Final = 1024 * 1024
HTTP_OK: Final = 200
DEADLINE_MS: Final = 120_000
PROMPT_BYTES: Final = 400
EVENT_STREAM: Final = (("Content-Type", "text/event-stream"),)


class LightPeer:
    """One instance: its listener and its pool, and the version that its peers told of last."""

    def __init__(self, *, name: str, role: Role, data_centre: str, region: str, key: bytes) -> None:
        self.app = Application(name=name, role=role, data_centre=data_centre, region=region)
        self.notices = NoticeHub(app=self.app)
        self.pool = LinkPool(app=self.app, settings=Link(), key=key, notices=self.notices)
        self.server = LinkServer(
            app=self.app,
            settings=Link(),
            key=key,
            notices=self.notices,
            handler=self._async_answer if role is Role.SIDE else None,
            answer_memory_bytes=ANSWER_MEMORY_BYTES,
        )
        self.load = 0
        self._news = ConfigurationAnnouncement(version=0, digest=0)
        self.notices.subscribe(ConfigurationAnnouncement, self._take_news)
        self.notices.subscribe(ConfigurationPartsRequest, self._answer_request)

    async def async_start(self) -> Address:
        """Listen and return the address."""
        self.app.async_start()
        return await self.server.async_start()

    def publish(self, *, model: str, turn: int) -> None:
        """Tell a load that is another one than before."""
        self.server.publish_status(
            Status(
                load=self.load + turn % 2,
                running=self.load,
                weight=1.0,
                leaving=False,
                ready=True,
                models=(model,),
            )
        )

    async def _async_answer(self, _hello: Hello, request: Open, answer: Answer) -> None:
        gap_s = get_gap_ms(request.max_output_tokens) / MS_PER_S
        self.load += 1
        try:
            answer.head(Head(status=HTTP_OK, headers=EVENT_STREAM))
            for number in range(request.max_output_tokens):
                await asyncio.sleep(gap_s)
                if answer.cancelled.is_set():
                    return
                await answer.async_write(make_event(number))
            await answer.async_write(DONE)
        finally:
            self.load -= 1
        answer.end()

    def _take_news(self, _peer: Peer, news: ConfigurationAnnouncement) -> None:
        if news.version > self._news.version:
            self._news = news

    def _answer_request(self, peer: Peer, _request: ConfigurationPartsRequest) -> None:
        peer.send(self._news)


class LightRouters:
    """Requests of many light routers to one side, at a rate of all of them together."""

    def __init__(
        self, *, peers: list[LightPeer], target: Instance, model: str, workspace: str, name: str
    ) -> None:
        self._peers = peers
        self._target = target
        self._model = model
        self._workspace = workspace
        self._class = name
        self._random = random.Random(len(peers))
        self._tasks: set[asyncio.Task[None]] = set()
        self._sent = 0
        self.rate_s = 0.0
        self.tokens = 1
        self.whole = 0
        self.broken = 0

    async def async_link(self) -> None:
        """Open the link of each router."""
        for peer in self._peers:
            await peer.pool.async_send(
                instance=self._target, notice=ConfigurationPartsRequest(version=0)
            )

    def send(self, *, count: int, tokens: int) -> None:
        """Begin a number of requests now, each from another router."""
        for _ in range(count):
            peer = self._peers[self._sent % len(self._peers)]
            self._sent += 1
            task = asyncio.get_running_loop().create_task(self._async_request(peer, tokens))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def async_keep_sending(self) -> None:
        """Send at the set rate, with the gaps of independent callers."""
        while True:
            if self.rate_s <= 0:
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(self._random.expovariate(self.rate_s))
            self.send(count=1, tokens=self.tokens)

    async def _async_request(self, peer: LightPeer, tokens: int) -> None:
        opened = await peer.pool.async_open(instance=self._target, request=self._make_open(tokens))
        if isinstance(opened, Refused):
            self.broken += 1
            return
        while True:
            match await opened.async_next():
                case Data(offset=offset, body=body):
                    opened.confirm(offset + len(body))
                case End():
                    self.whole += 1
                    return
                case Refused() | Failed():
                    self.broken += 1
                    return

    def _make_open(self, tokens: int) -> Open:
        content = f"{self._sent} " + "x" * PROMPT_BYTES
        payload = {
            "model": self._model,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": content}],
        }
        return Open(
            sequence=0,
            request_id=f"light-{self._random.getrandbits(64):016x}",
            kind=UpstreamKind.ENGINE,
            pool=self._target.pool,
            workspace=self._workspace,
            caller_class=self._class,
            method="POST",
            path="/v1/chat/completions",
            headers=(("Content-Type", "application/json"),),
            body=json.dumps(payload).encode(),
            stream=True,
            deadline_ms=DEADLINE_MS,
            waited_ms=0,
            digest=self._random.getrandbits(64),
            model=self._model,
            max_output_tokens=tokens,
        )
