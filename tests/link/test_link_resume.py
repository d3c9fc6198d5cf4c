"""Links that are lost, silent or answered by another process, over real sockets."""

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
PART_BYTES = 1_000

# Far below the time after which a side gives up exchanges without a link.
HANG_S = 20.0


class Gate:
    """A handler that writes the body in parts and waits at a gate in the middle."""

    def __init__(self) -> None:
        self.runs = 0
        self.middle = asyncio.Event()
        self.go_on = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def async_handle(self, _hello: Hello, _request: Open, answer: Answer) -> None:
        self.runs += 1
        answer.head(HEAD)
        for begin in range(0, len(BODY), PART_BYTES):
            if begin == len(BODY) // 2:
                self.middle.set()
                await self._async_wait(answer)
            await answer.async_write(BODY[begin : begin + PART_BYTES])
        if not answer.cancelled.is_set():
            answer.end()

    async def _async_wait(self, answer: Answer) -> None:
        waits = [asyncio.create_task(event.wait()) for event in (self.go_on, answer.cancelled)]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if answer.cancelled.is_set():
            self.cancelled.set()


async def _async_start_second_side(pair: Pair) -> None:
    """Let another incarnation of the side answer behind the relay."""
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
async def test_an_answer_goes_on_over_a_new_link_with_exact_bytes(fault: str) -> None:
    gate = Gate()
    async with linked(gate.async_handle) as pair:
        exchange = await pair.async_exchange()
        reading = asyncio.create_task(async_read_answer(exchange))
        await gate.middle.wait()
        getattr(pair.relay, fault)()
        gate.go_on.set()
        body, end = await reading
        assert body == BODY
        assert isinstance(end, End)
        assert (gate.runs, pair.relay.accepted) == (1, 2)


async def test_an_answer_survives_being_cut_again_and_again() -> None:
    async def handle(_hello: Hello, _request: Open, answer: Answer) -> None:
        answer.head(HEAD)
        for begin in range(0, len(BODY), PART_BYTES):
            await answer.async_write(BODY[begin : begin + PART_BYTES])
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


async def test_a_side_that_was_replaced_leaves_the_outcome_unknown() -> None:
    gate = Gate()
    async with linked(gate.async_handle) as pair:
        exchange = await pair.async_exchange()
        reading = asyncio.create_task(async_read_answer(exchange))
        await gate.middle.wait()
        await _async_start_second_side(pair)
        pair.relay.cut()
        _, event = await reading
        assert isinstance(event, Failed)
        assert event.reason is Reason.SIDE_RESTARTED


async def test_a_link_that_cannot_be_made_again_leaves_the_outcome_unknown() -> None:
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


async def test_a_request_that_never_arrived_is_said_to_be_not_run() -> None:
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


async def test_a_request_lost_on_a_link_that_still_delivers_is_said_to_be_not_run() -> None:
    gate = Gate()
    long_timeout = replace(SETTINGS, silence_ms=60_000)
    async with linked(gate.async_handle, server_settings=long_timeout) as pair:
        reading = asyncio.create_task(async_read_answer(await pair.async_exchange()))
        await gate.middle.wait()
        pair.relay.silence_towards_target()
        _, ending = await async_read_answer(await pair.async_exchange())
        assert isinstance(ending, Refused)
        gate.go_on.set()
        body, end = await reading
        assert body == BODY
        assert isinstance(end, End)
        assert gate.runs == 1


async def test_cancelling_while_the_link_is_lost_reaches_the_side_over_the_next_link() -> None:
    gate = Gate()
    async with linked(gate.async_handle, settings=replace(SETTINGS, resume_ms=60_000)) as pair:
        exchange = await pair.async_exchange()
        await gate.middle.wait()
        pair.relay.refusing = True
        pair.relay.cut()
        await pair.relay.async_wait_closed(1)
        exchange.cancel()
        pair.relay.refusing = False
        await asyncio.wait_for(gate.cancelled.wait(), HANG_S)


async def test_memory_held_by_a_lost_link_goes_to_those_that_are_read() -> None:
    gate = Gate()
    async with linked(gate.async_handle, memory_bytes=200_000) as pair:
        lost = await pair.async_exchange()
        await gate.middle.wait()
        gate.go_on.set()
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
