"""Statuses and notices over real sockets, beside exchanges."""

from __future__ import annotations

import asyncio

from link_harness import (
    KEY,
    MEMORY_BYTES,
    REQUEST,
    SETTINGS,
    async_answer_hello,
    async_read_answer,
    linked,
    make_app,
)
from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.link import (
    Answer,
    ConfigurationAnnouncement,
    Exchange,
    Hello,
    LinkPool,
    LinkServer,
    NoticeHub,
    Open,
    Peer,
    Status,
)
from gypsumrouter.outcomes import Failed, Reason

STATUS = Status(load=1, running=1, weight=1.0, leaving=False, ready=True, models=("m",))


async def test_statuses_and_notices_are_delivered_in_both_directions() -> None:
    received: asyncio.Queue[object] = asyncio.Queue()
    async with linked() as pair:
        pair.server.publish_status(STATUS)
        pair.pool.on_status(lambda hello, status: received.put_nowait((hello.name, status)))

        def send_reply(peer: Peer, announcement: ConfigurationAnnouncement) -> None:
            peer.send(replace(announcement, version=announcement.version + 1))

        pair.server_hub.subscribe(ConfigurationAnnouncement, send_reply)
        pair.pool_hub.subscribe(
            ConfigurationAnnouncement, lambda _peer, announcement: received.put_nowait(announcement)
        )
        announcement = ConfigurationAnnouncement(version=7, digest=(1 << 64) - 1)
        assert await pair.pool.async_send(instance=pair.instance, notice=announcement)
        assert await received.get() == ("side-1", STATUS)
        assert await received.get() == replace(announcement, version=8)
        leaving = replace(STATUS, leaving=True)
        pair.server.publish_status(leaving)
        assert await received.get() == ("side-1", leaving)
        view = pair.pool.status("side-1")
        assert view is not None
        assert (view.status, view.incarnation) == (leaving, pair.server_app.incarnation)


async def test_answer_frames_report_the_load() -> None:
    received: asyncio.Queue[Status] = asyncio.Queue()

    async def handle(hello: Hello, request: Open, answer: Answer) -> None:
        pair.server.publish_status(replace(STATUS, load=41))
        await async_answer_hello(hello, request, answer)

    async with linked(handle) as pair:
        pair.server.publish_status(STATUS)
        pair.pool.on_status(lambda _hello, status: received.put_nowait(status))
        announcement = ConfigurationAnnouncement(version=1, digest=1)
        assert await pair.pool.async_send(instance=pair.instance, notice=announcement)
        assert await received.get() == STATUS
        await async_read_answer(await pair.async_exchange())
        view = pair.pool.status("side-1")
        assert view is not None
        assert view.status == replace(STATUS, load=41)
        assert received.empty()


async def test_notice_is_delivered_before_a_later_failure() -> None:
    announcement = ConfigurationAnnouncement(version=7, digest=1)
    received: list[object] = []

    async def handle(hello: Hello, _request: Open, answer: Answer) -> None:
        pair.server.send_to({"another"}, replace(announcement, version=8))
        pair.server.send_to({hello.name}, announcement)
        answer.fail(Failed(reason=Reason.UPSTREAM_LOST))

    async with linked(handle) as pair:
        pair.pool_hub.subscribe(
            ConfigurationAnnouncement, lambda _peer, item: received.append(item)
        )
        exchange = await pair.async_exchange()
        assert isinstance(await exchange.async_next(), Failed)
        assert received == [announcement]


async def test_pool_and_server_of_one_process_share_a_notice_hub() -> None:
    async with linked() as pair:
        pool = LinkPool(app=pair.server_app, settings=SETTINGS, key=KEY, notices=pair.server_hub)
        app = make_app("side-9", Role.SIDE)
        pair.extra.append(app)
        hub = NoticeHub(app=app)
        server = LinkServer(
            app=app,
            settings=SETTINGS,
            key=KEY,
            notices=hub,
            handler=None,
            answer_memory_bytes=MEMORY_BYTES,
        )
        instance = replace(pair.instance, name="side-9", address=await server.async_start())
        result = await pool.async_open(instance=instance, request=REQUEST)
        assert isinstance(result, Exchange)
