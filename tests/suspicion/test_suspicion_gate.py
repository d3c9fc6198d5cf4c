"""The gate before an upstream: suspects run alone."""

from __future__ import annotations

import asyncio

from suspicion_world import Member, async_settle

from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion import Token
from gypsumrouter.suspicion.const import (
    ALONE_WAIT_MS,
    CLOSED_MS,
    MAX_WAITING,
    OPEN_MS,
    SHARED_WAIT_MS,
)

CRASHER = 666


async def test_suspect_waits_until_nothing_runs_and_keeps_others_out() -> None:
    member = Member()
    member.die_with(CRASHER, 1)
    running = await member.async_enter(5)
    suspect, other = member.enter(1), member.enter(6)
    await async_settle()
    assert not suspect.done()
    running.end(whole=True)
    await async_settle()
    assert isinstance(suspect.result(), Token)
    assert not other.done()
    member.clock.advance(SHARED_WAIT_MS)
    refused = await other
    assert isinstance(refused, Refused)
    assert (refused.reason, refused.elsewhere) == (Reason.SUSPECT_ISOLATED, True)


async def test_whole_run_alone_clears_and_lets_the_others_in() -> None:
    member = Member()
    member.die_with(CRASHER, 1)
    alone = await member.async_enter(1)
    waiting = member.enter(5)
    await async_settle()
    alone.end(whole=True)
    assert isinstance(await waiting, Token)
    assert isinstance(await member.async_enter(1), Token)


async def test_crasher_brings_down_two_upstreams_and_frees_its_waiting_neighbours() -> None:
    first, second = Member("e0"), Member("e1")
    tokens = [await first.async_enter(digest) for digest in (1, 2, CRASHER)]
    news = [item for token in tokens for item in token.died()]
    assert len(news) == 3
    second.hear(*news)
    crasher = await second.async_enter(CRASHER)
    neighbours = [second.enter(digest) for digest in (1, 2)]
    await async_settle()
    proof = crasher.died()
    crasher.end(whole=False)
    entered = await asyncio.gather(*neighbours)
    assert [type(token) for token in entered] == [Token, Token]
    first.hear(*proof)
    for member in (first, second):
        refused = await member.suspicion.async_enter(CRASHER, asyncio.Event())
        assert isinstance(refused, Refused)
        assert refused.reason is Reason.SUSPECT


async def test_suspect_that_waits_is_refused_when_its_proof_arrives() -> None:
    member, other = Member("e0"), Member("e1")
    news = member.die_with(CRASHER, 1)
    other.hear(*news)
    await member.async_enter(5)
    waiting = member.enter(CRASHER)
    await async_settle()
    member.hear(*other.die_with(CRASHER))
    refused = await waiting
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.SUSPECT


async def test_wait_of_a_suspect_is_bounded_and_opens_the_gate_again() -> None:
    member = Member()
    member.die_with(CRASHER, 1)
    await member.async_enter(5)
    waiting = member.enter(1)
    await async_settle()
    member.clock.advance(ALONE_WAIT_MS)
    refused = await waiting
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.SUSPECT_ISOLATED
    assert isinstance(await member.async_enter(6), Token)


async def test_cancelled_suspect_gives_its_place_up() -> None:
    member = Member()
    member.die_with(CRASHER, 1)
    await member.async_enter(5)
    cancelled = asyncio.Event()
    waiting = asyncio.ensure_future(member.suspicion.async_enter(1, cancelled))
    await async_settle()
    cancelled.set()
    assert isinstance(await waiting, Refused)
    assert isinstance(await member.async_enter(6), Token)


async def test_number_of_waiting_suspects_is_bounded() -> None:
    member = Member()
    member.die_with(CRASHER, 1)
    await member.async_enter(5)
    waiting = [member.enter(1) for _ in range(MAX_WAITING)]
    await async_settle()
    assert isinstance(await member.suspicion.async_enter(1, asyncio.Event()), Refused)
    for task in waiting:
        task.cancel()


async def test_gate_opens_for_other_work_between_many_suspects() -> None:
    member = Member()
    member.die_with(CRASHER, 1, 2)
    first = await member.async_enter(1)
    second = member.enter(2)
    await async_settle()
    member.clock.advance(CLOSED_MS)
    first.end(whole=True)
    await async_settle()
    assert not second.done()
    other = await member.async_enter(5)
    member.clock.advance(OPEN_MS)
    await async_settle()
    assert not second.done()
    other.end(whole=True)
    assert isinstance(await second, Token)
