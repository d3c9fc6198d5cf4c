"""Exchanges, refusals, failures, flow control and notices over real sockets."""

from __future__ import annotations

import asyncio
import random

from link_harness import (
    HEAD,
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
from gypsumrouter.core import Application
from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.link import (
    Answer,
    ConfigurationAnnouncement,
    Data,
    End,
    Exchange,
    Head,
    Hello,
    LinkPool,
    LinkServer,
    NoticeHub,
    Open,
    Peer,
    PoolLoad,
    Status,
)
from gypsumrouter.link.outstanding import Outstanding
from gypsumrouter.outcomes import Failed, Reason, Refused
from gypsumrouter.util.clock import ManualClock

IDLE_CLOSE_MS = 50
CLOSED_TIMEOUT_S = 20
STATUS = Status(load=1, running=1, weight=1.0, leaving=False, ready=True, models=("m",))


async def test_request_and_answer_are_transferred_unchanged() -> None:
    seen: list[tuple[Hello, Open]] = []

    async def handle(hello: Hello, request: Open, answer: Answer) -> None:
        seen.append((hello, request))
        await async_answer_hello(hello, request, answer)

    sent = replace(
        REQUEST,
        body=b"world",
        idempotency_key="k",
        pool_load=PoolLoad(mean=2.5, known=2, members=3, age_ms=40),
    )
    async with linked(handle) as pair:
        exchange = await pair.async_exchange(sent)
        assert await exchange.async_next() == HEAD
        body, end = await async_read_answer(exchange)
        assert (body, isinstance(end, End)) == (b"hello world", True)
        hello, request = seen[0]
        assert request == exchange.request == replace(sent, sequence=request.sequence)
        assert hello == Hello(
            name="router-1", role=Role.ROUTER, incarnation=pair.pool_app.incarnation
        )


async def test_concurrent_exchanges_share_one_link() -> None:
    async with linked() as pair:
        requests = [replace(REQUEST, body=b"%d" % number * 100) for number in range(50)]
        exchanges = await asyncio.gather(*map(pair.async_exchange, requests))
        answers = await asyncio.gather(*map(async_read_answer, exchanges))
        assert [body for body, _ in answers] == [b"hello " + r.body for r in requests]
        assert pair.relay.accepted == 1


async def test_consumed_and_read_chunks_form_the_answer_in_order() -> None:
    sent = random.Random(5).randbytes(4 * SETTINGS.window_bytes)

    async def handle(hello: Hello, request: Open, answer: Answer) -> None:
        answer.head(HEAD)
        for begin in range(0, len(sent), 1_000):
            await answer.async_write(sent[begin : begin + 1_000])
            await asyncio.sleep(0)
        answer.end()

    taken = bytearray()
    consumed: list[int] = []
    read: list[int] = []

    def take(body: bytes) -> bool:
        if len(consumed) > 2 * len(read):
            return False
        consumed.append(len(body))
        taken.extend(body)
        return True

    async with linked(handle) as pair:
        exchange = await pair.async_exchange()
        assert await exchange.async_next() == HEAD
        exchange.set_consumer(take)
        while isinstance(event := await exchange.async_next(), Data):
            assert event.offset == len(taken)
            read.append(len(event.body))
            taken.extend(event.body)
            exchange.confirm(len(taken))
        assert isinstance(event, End)
        assert bytes(taken) == sent
        assert consumed
        assert read
        # The answer exceeds the window, so it ends only if consumed chunks are confirmed as well.
        assert exchange.confirmed == len(sent)


async def test_consumer_is_not_called_while_the_reader_is_busy() -> None:
    def take(body: bytes) -> bool:
        raise AssertionError("the reader was busy")

    owner = Outstanding(clock=ManualClock(), settings=SETTINGS)
    exchange = Exchange(request=REQUEST, owner=owner, opened_ms=0)
    exchange.receive_head(HEAD)
    assert await exchange.async_next() == HEAD
    exchange.receive_data(0, b"one")
    assert await exchange.async_next() == Data(offset=0, body=b"one")
    exchange.set_consumer(take)
    exchange.receive_data(3, b"two")
    assert await exchange.async_next() == Data(offset=3, body=b"two")


async def test_refusal_is_transferred_with_all_fields() -> None:
    refused = Refused(
        reason=Reason.OVER_CAP, message="over the cap", retry_after_ms=500, elsewhere=True
    )

    async def handle(_hello: Hello, _request: Open, answer: Answer) -> None:
        answer.fail(refused)

    async with linked(handle) as pair:
        assert await (await pair.async_exchange()).async_next() == refused


async def test_server_without_handler_refuses_requests() -> None:
    async with linked(None) as pair:
        event = await (await pair.async_exchange()).async_next()
        assert isinstance(event, Refused)


async def test_handler_that_raises_or_returns_early_fails_the_exchange() -> None:
    async def handle(_hello: Hello, request: Open, answer: Answer) -> None:
        answer.head(HEAD)
        if request.request_id == "raises":
            raise ValueError("broken upstream")

    async with linked(handle) as pair:
        for request_id in ("raises", "forgets"):
            exchange = await pair.async_exchange(replace(REQUEST, request_id=request_id))
            assert isinstance(await exchange.async_next(), Head)
            event = await exchange.async_next()
            assert isinstance(event, Failed)
            assert event.reason is Reason.UPSTREAM_PROTOCOL


async def test_broken_invariant_in_a_handler_stops_the_process() -> None:
    async def handle(_hello: Hello, _request: Open, _answer: Answer) -> None:
        raise InvariantBroken("contradiction")

    async with linked(handle) as pair:
        await pair.async_exchange()
        await pair.server_app.stopping.wait()
        assert isinstance(pair.server_app.fatal, InvariantBroken)


async def test_cancel_stops_the_handler_and_ends_the_exchange() -> None:
    stopped = asyncio.Event()

    async def handle(_hello: Hello, _request: Open, answer: Answer) -> None:
        answer.head(HEAD)
        await answer.cancelled.wait()
        await answer.async_write(b"too late")
        stopped.set()

    async with linked(handle) as pair:
        exchange = await pair.async_exchange()
        await exchange.async_next()
        exchange.cancel()
        event = await exchange.async_next()
        assert isinstance(event, Failed)
        assert event.reason is Reason.CANCELLED
        await stopped.wait()


async def test_link_key_mismatch_refuses_the_request() -> None:
    async with linked(pool_key=b"another key, not the fleet's") as pair:
        result = await pair.pool.async_open(instance=pair.instance, request=REQUEST)
        assert isinstance(result, Refused)
        assert (result.reason, result.elsewhere) == (Reason.UNREACHABLE, True)


async def test_unexpected_instance_name_refuses_the_request() -> None:
    async with linked() as pair:
        other = replace(pair.instance, name="side-2")
        assert isinstance(await pair.pool.async_open(instance=other, request=REQUEST), Refused)


async def test_unreachable_instance_refuses_the_request_and_notifies_listeners() -> None:
    contacts: list[tuple[str, bool]] = []
    async with linked() as pair:
        pair.pool.on_connect_attempt(lambda name, reachable: contacts.append((name, reachable)))
        pair.relay.refusing = True
        result = await pair.pool.async_open(instance=pair.instance, request=REQUEST)
        assert isinstance(result, Refused)
        assert contacts == [("side-1", False)]


async def test_slow_reader_blocks_the_handler_at_the_window() -> None:
    settings = replace(SETTINGS, window_bytes=32_768)
    written = 0

    async def handle(_hello: Hello, request: Open, answer: Answer) -> None:
        nonlocal written
        answer.head(HEAD)
        parts = 100 if request.request_id == "slow" else 1
        for _ in range(parts):
            await answer.async_write(b"x" * 4_096)
            if request.request_id == "slow":
                written += 4_096
        answer.end()

    async with linked(handle, settings=settings) as pair:
        slow = await pair.async_exchange(replace(REQUEST, request_id="slow"))
        assert await slow.async_next() == HEAD
        await pair.relay.async_wait_relayed(settings.window_bytes)
        quick, end = await async_read_answer(await pair.async_exchange())
        assert (len(quick), isinstance(end, End)) == (4_096, True)
        assert written <= settings.window_bytes
        body, end = await async_read_answer(slow)
        assert (len(body), isinstance(end, End)) == (409_600, True)


async def test_answer_memory_is_limited_and_shared_fairly() -> None:
    memory_bytes = 64 * 1024
    peak = 0

    async def handle(_hello: Hello, _request: Open, answer: Answer) -> None:
        nonlocal peak
        answer.head(HEAD)
        for _ in range(20):
            await answer.async_write(b"x" * 4_096)
            peak = max(peak, pair.read_answer_memory())
        answer.end()

    async with linked(handle, memory_bytes=memory_bytes) as pair:
        slow = [await pair.async_exchange() for _ in range(4)]
        for exchange in slow:
            await exchange.async_next()
        quick, end = await async_read_answer(await pair.async_exchange())
        assert (len(quick), isinstance(end, End)) == (81_920, True)
        assert 0 < peak <= memory_bytes
        for exchange in slow:
            body, end = await async_read_answer(exchange)
            assert (len(body), isinstance(end, End)) == (81_920, True)


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


# Guards against a dialer that keeps idle links, or can't open them again. The server closes none: a
# request sent before the dialer has seen that is refused, as it never arrived.
async def test_idle_link_is_closed_and_reopened_on_demand() -> None:
    dialer_settings = replace(SETTINGS, idle_close_ms=IDLE_CLOSE_MS)
    async with linked(settings=dialer_settings, server_settings=SETTINGS) as pair:
        await async_read_answer(await pair.async_exchange())
        await pair.relay.async_wait_closed(1)
        body, _ = await async_read_answer(await pair.async_exchange())
        assert (body, pair.relay.accepted) == (b"hello {}", 2)


# Guards against a server that keeps idle links, and a dialer that can't open those again.
async def test_idle_link_that_the_server_closed_is_reopened_on_demand() -> None:
    server_settings = replace(SETTINGS, idle_close_ms=IDLE_CLOSE_MS)
    async with linked(settings=SETTINGS, server_settings=server_settings) as pair:
        await async_read_answer(await pair.async_exchange())
        await pair.relay.async_wait_closed(1)
        async with asyncio.timeout(CLOSED_TIMEOUT_S):
            while count_open_links(pair.pool_app):
                await asyncio.get_running_loop().run_in_executor(None, lambda: None)
        body, _ = await async_read_answer(await pair.async_exchange())
        assert (body, pair.relay.accepted) == (b"hello {}", 2)


def count_open_links(app: Application) -> object:
    dump = app.dump()["link"]
    assert isinstance(dump, dict)
    return dump["open"]


async def test_stopping_the_router_fails_outstanding_exchanges() -> None:
    async def handle(_hello: Hello, _request: Open, answer: Answer) -> None:
        await answer.cancelled.wait()

    async with linked(handle) as pair:
        exchange = await pair.async_exchange()
        await pair.pool_app.async_stop()
        event = await exchange.async_next()
        assert isinstance(event, Failed)
        assert event.reason is Reason.STOPPED


async def test_drain_waits_until_answers_are_confirmed() -> None:
    begun, release = asyncio.Event(), asyncio.Event()

    async def handle(hello: Hello, request: Open, answer: Answer) -> None:
        begun.set()
        await release.wait()
        await async_answer_hello(hello, request, answer)

    async with linked(handle) as pair:
        exchange = await pair.async_exchange()
        await begun.wait()
        drained = asyncio.create_task(pair.server_app.async_drain())
        release.set()
        await drained
        assert isinstance((await async_read_answer(exchange))[1], End)


async def test_dump_shows_bytes_by_kind() -> None:
    async with linked() as pair:
        await async_read_answer(await pair.async_exchange())
        dump = pair.pool_app.dump()["link"]
        assert isinstance(dump, dict)
        assert dump["open"] == 1
        assert dump["bytes"]["data"]["received"] == 16 + 8 + len(b"hello {}")
        assert dump["control_bytes"]["sent"] > 0


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
