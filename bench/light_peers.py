"""Lightweight routers and sides, many in a process: real links, but no routing or admission."""

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
    """One instance: a link listener, a link pool, and the latest announced configuration."""

    def __init__(self, *, name: str, role: Role, data_centre: str, region: str, key: bytes) -> None:
        self.app = Application(name=name, role=role, data_centre=data_centre, region=region)
        self.notices = NoticeHub(app=self.app)
        self.pool = LinkPool(app=self.app, settings=Link(), key=key, notices=self.notices)
        self.server = LinkServer(
            app=self.app,
            settings=Link(),
            key=key,
            notices=self.notices,
            handler=self._async_handle_request if role is Role.SIDE else None,
            answer_memory_bytes=ANSWER_MEMORY_BYTES,
        )
        self.load = 0
        self._configuration = ConfigurationAnnouncement(version=0, digest=0)
        self.notices.subscribe(ConfigurationAnnouncement, self._handle_announcement)
        self.notices.subscribe(ConfigurationPartsRequest, self._handle_parts_request)

    async def async_start(self) -> Address:
        """Start the link listener and return its address."""
        self.app.async_start()
        return await self.server.async_start()

    def publish_status(self, *, model: str, number: int) -> None:
        """Send a status; its load differs from that of the previous `number`."""
        self.server.publish_status(
            Status(
                load=self.load + number % 2,
                running=self.load,
                weight=1.0,
                leaving=False,
                ready=True,
                models=(model,),
            )
        )

    async def _async_handle_request(self, _hello: Hello, request: Open, answer: Answer) -> None:
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

    def _handle_announcement(self, _peer: Peer, announcement: ConfigurationAnnouncement) -> None:
        if announcement.version > self._configuration.version:
            self._configuration = announcement

    def _handle_parts_request(self, peer: Peer, _request: ConfigurationPartsRequest) -> None:
        peer.send(self._configuration)


class LightRouters:
    """Sends requests from many lightweight routers to one side; `rate_s` is the total rate."""

    def __init__(
        self,
        *,
        peers: list[LightPeer],
        target: Instance,
        model: str,
        workspace: str,
        caller_class: str,
    ) -> None:
        self._peers = peers
        self._target = target
        self._model = model
        self._workspace = workspace
        self._caller_class = caller_class
        self._random = random.Random(len(peers))
        self._tasks: set[asyncio.Task[None]] = set()
        self._sent = 0
        self.rate_s = 0.0
        self.tokens = 1
        self.completed = 0
        self.failed = 0

    async def async_open_links(self) -> None:
        """Open the link of each router to the side."""
        for peer in self._peers:
            await peer.pool.async_send(
                instance=self._target, notice=ConfigurationPartsRequest(version=0)
            )

    def start_requests(self, *, count: int, tokens: int) -> None:
        """Start `count` requests at once, distributed round robin over the routers."""
        for _ in range(count):
            peer = self._peers[self._sent % len(self._peers)]
            self._sent += 1
            task = asyncio.get_running_loop().create_task(self._async_request(peer, tokens))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def async_send_continuously(self) -> None:
        """Send requests at `rate_s` with exponentially distributed gaps, until cancelled."""
        while True:
            if self.rate_s <= 0:
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(self._random.expovariate(self.rate_s))
            self.start_requests(count=1, tokens=self.tokens)

    async def _async_request(self, peer: LightPeer, tokens: int) -> None:
        opened = await peer.pool.async_open(instance=self._target, request=self._make_open(tokens))
        if isinstance(opened, Refused):
            self.failed += 1
            return
        while True:
            match await opened.async_next():
                case Data(offset=offset, body=body):
                    opened.confirm(offset + len(body))
                case End():
                    self.completed += 1
                    return
                case Refused() | Failed():
                    self.failed += 1
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
            caller_class=self._caller_class,
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
