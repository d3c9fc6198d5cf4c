"""Flow control of answers over real sockets: windows, memory, and who takes the chunks."""

from __future__ import annotations

import asyncio
import random

from link_harness import (
    HEAD,
    REQUEST,
    SETTINGS,
    async_read_answer,
    linked,
)
from msgspec.structs import replace

from gypsumrouter.link import (
    Answer,
    Data,
    End,
    Exchange,
    Hello,
    Open,
)
from gypsumrouter.link.outstanding import Outstanding
from gypsumrouter.util.clock import ManualClock


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
