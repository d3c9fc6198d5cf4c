"""Exchanges, refusals, failures and stops over real sockets."""

from __future__ import annotations

import asyncio

from link_harness import (
    HEAD,
    REQUEST,
    async_answer_hello,
    async_read_answer,
    linked,
)
from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.link import (
    Answer,
    End,
    Head,
    Hello,
    Open,
    PoolLoad,
)
from gypsumrouter.outcomes import Failed, Reason, Refused


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
