"""Exchanges over links that are cut, silent or reopened to another process, on real sockets."""

from __future__ import annotations

import asyncio
import random

import pytest
from link_harness import (
    HEAD,
    KEY,
    MEMORY_BYTES,
    REQUEST,
    SETTINGS,
    Pair,
    async_answer_hello,
    async_read_answer,
    linked,
    make_app,
)
from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.link import Answer, Data, End, Hello, LinkServer, NoticeHub, Open
from gypsumrouter.outcomes import Failed, Reason, Refused

BODY = random.Random(7).randbytes(200_000)
CHUNK_BYTES = 1_000

# Far less than the time after which a side discards the exchanges of a lost link.
CANCEL_TIMEOUT_S = 20.0


class Gate:
    """A handler that writes the body in chunks and waits for `release` in the middle."""

    def __init__(self) -> None:
        self.runs = 0
        self.middle = asyncio.Event()
        self.release = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def async_handle(self, _hello: Hello, _request: Open, answer: Answer) -> None:
        self.runs += 1
        answer.head(HEAD)
        for begin in range(0, len(BODY), CHUNK_BYTES):
            if begin == len(BODY) // 2:
                self.middle.set()
                await self._async_wait(answer)
            await answer.async_write(BODY[begin : begin + CHUNK_BYTES])
        if not answer.cancelled.is_set():
            answer.end()

    async def _async_wait(self, answer: Answer) -> None:
        waits = [asyncio.create_task(event.wait()) for event in (self.release, answer.cancelled)]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if answer.cancelled.is_set():
            self.cancelled.set()


async def _async_replace_side(pair: Pair) -> None:
    """Start another incarnation of the side and make it the target of the relay."""
    app = make_app("side-1", Role.SIDE)
    pair.extra.append(app)
    server = LinkServer(
        app=app,
        settings=SETTINGS,
        key=KEY,
        notices=NoticeHub(app=app),
        handler=async_answer_hello,
        answer_memory_bytes=MEMORY_BYTES,
    )
    pair.relay.target = await server.async_start()


@pytest.mark.parametrize("fault", ["cut", "silence"])
async def test_answer_is_resumed_over_a_new_link(fault: str) -> None:
    gate = Gate()
    async with linked(gate.async_handle) as pair:
        exchange = await pair.async_exchange()
        reading = asyncio.create_task(async_read_answer(exchange))
        await gate.middle.wait()
        getattr(pair.relay, fault)()
        gate.release.set()
        body, end = await reading
        assert body == BODY
        assert isinstance(end, End)
        assert (gate.runs, pair.relay.accepted) == (1, 2)


async def test_answer_is_resumed_after_repeated_cuts() -> None:
    async def handle(_hello: Hello, _request: Open, answer: Answer) -> None:
        answer.head(HEAD)
        for begin in range(0, len(BODY), CHUNK_BYTES):
            await answer.async_write(BODY[begin : begin + CHUNK_BYTES])
        answer.end()

    async with linked(handle, settings=replace(SETTINGS, window_bytes=20_000)) as pair:
        exchange = await pair.async_exchange()
        body = bytearray()
        cuts = 0
        while not isinstance(event := await exchange.async_next(), End):
            if not isinstance(event, Data):
                assert event == HEAD
                continue
            body += event.body
            exchange.confirm(len(body))
            if len(body) > 40_000 * (cuts + 1) and cuts < 4:
                cuts += 1
                pair.relay.cut()
        assert bytes(body) == BODY
        assert (cuts, pair.relay.accepted) == (4, 5)


async def test_restarted_side_fails_the_exchange() -> None:
    gate = Gate()
    async with linked(gate.async_handle) as pair:
        exchange = await pair.async_exchange()
        reading = asyncio.create_task(async_read_answer(exchange))
        await gate.middle.wait()
        await _async_replace_side(pair)
        pair.relay.cut()
        _, event = await reading
        assert isinstance(event, Failed)
        assert event.reason is Reason.SIDE_RESTARTED


async def test_link_that_cannot_be_reopened_fails_the_exchange() -> None:
    gate = Gate()
    async with linked(gate.async_handle, settings=replace(SETTINGS, resume_ms=200)) as pair:
        exchange = await pair.async_exchange()
        reading = asyncio.create_task(async_read_answer(exchange))
        await gate.middle.wait()
        pair.relay.refusing = True
        pair.relay.cut()
        _, event = await reading
        assert isinstance(event, Failed)
        assert event.reason is Reason.LINK_LOST
        await gate.cancelled.wait()


async def test_request_on_a_silent_link_is_refused_as_not_run() -> None:
    runs = 0

    async def handle(hello: Hello, request: Open, answer: Answer) -> None:
        nonlocal runs
        runs += 1
        await async_answer_hello(hello, request, answer)

    async with linked(handle) as pair:
        await async_read_answer(await pair.async_exchange())
        pair.relay.silence()
        exchange = await pair.async_exchange()
        event = await exchange.async_next()
        assert isinstance(event, Refused)
        assert (event.reason, event.elsewhere) == (Reason.UNREACHABLE, True)
        assert runs == 1
        assert isinstance((await async_read_answer(await pair.async_exchange()))[1], End)


async def test_request_on_a_half_open_link_is_refused_as_not_run() -> None:
    gate = Gate()
    long_timeout = replace(SETTINGS, silence_ms=60_000)
    async with linked(gate.async_handle, server_settings=long_timeout) as pair:
        reading = asyncio.create_task(async_read_answer(await pair.async_exchange()))
        await gate.middle.wait()
        pair.relay.silence_towards_target()
        _, ending = await async_read_answer(await pair.async_exchange())
        assert isinstance(ending, Refused)
        gate.release.set()
        body, end = await reading
        assert body == BODY
        assert isinstance(end, End)
        assert gate.runs == 1


async def test_cancel_while_the_link_is_lost_is_sent_over_the_next_link() -> None:
    gate = Gate()
    async with linked(gate.async_handle, settings=replace(SETTINGS, resume_ms=60_000)) as pair:
        exchange = await pair.async_exchange()
        await gate.middle.wait()
        pair.relay.refusing = True
        pair.relay.cut()
        await pair.relay.async_wait_closed(1)
        exchange.cancel()
        pair.relay.refusing = False
        await asyncio.wait_for(gate.cancelled.wait(), CANCEL_TIMEOUT_S)


async def test_memory_of_a_lost_link_is_released_for_other_answers() -> None:
    gate = Gate()
    async with linked(gate.async_handle, memory_bytes=200_000) as pair:
        lost = await pair.async_exchange()
        await gate.middle.wait()
        gate.release.set()
        app = make_app("router-2", Role.ROUTER)
        pair.extra.append(app)
        other = pair.make_pool(app)
        pair.relay.refusing = True
        pair.relay.cut()
        await pair.relay.async_wait_closed(1)
        direct = replace(pair.instance, address=pair.require_target())
        exchanges = [await other.async_open(instance=direct, request=REQUEST) for _ in range(2)]
        for exchange in exchanges:
            assert not isinstance(exchange, Refused)
            body, end = await async_read_answer(exchange)
            assert (body == BODY, isinstance(end, End)) == (True, True)
        pair.relay.refusing = False
        while isinstance(event := await lost.async_next(), Data) or event == HEAD:
            continue
        assert isinstance(event, End | Failed)
