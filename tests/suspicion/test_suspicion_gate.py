"""Tests of the isolation gate: suspects run alone, without blocking other requests for long."""

from __future__ import annotations

import asyncio

from suspicion_world import FakeProcess, async_settle

from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion import RunPermit
from gypsumrouter.suspicion.const import (
    GATE_CLOSED_MS,
    GATE_OPEN_MS,
    ISOLATED_WAIT_MS,
    MAX_WAITING_SUSPECTS,
    SHARED_WAIT_MS,
)

CRASHING_DIGEST = 666


async def test_suspect_waits_for_running_requests_and_blocks_new_ones() -> None:
    process = FakeProcess()
    process.crash_with(CRASHING_DIGEST, 1)
    running = await process.async_enter(5)
    suspect, other = process.enter(1), process.enter(6)
    await async_settle()
    assert not suspect.done()
    running.end(complete=True)
    await async_settle()
    assert isinstance(suspect.result(), RunPermit)
    assert not other.done()
    process.clock.advance(SHARED_WAIT_MS)
    refused = await other
    assert isinstance(refused, Refused)
    assert (refused.reason, refused.elsewhere) == (Reason.SUSPECT_ISOLATED, True)


async def test_complete_isolated_run_clears_suspect_and_opens_gate() -> None:
    process = FakeProcess()
    process.crash_with(CRASHING_DIGEST, 1)
    alone = await process.async_enter(1)
    waiting = process.enter(5)
    await async_settle()
    alone.end(complete=True)
    assert isinstance(await waiting, RunPermit)
    assert isinstance(await process.async_enter(1), RunPermit)


async def test_second_crash_proves_digest_and_clears_waiting_suspects() -> None:
    first, second = FakeProcess("e0"), FakeProcess("e1")
    permits = [await first.async_enter(digest) for digest in (1, 2, CRASHING_DIGEST)]
    implications = [item for permit in permits for item in permit.report_crash()]
    assert len(implications) == 3
    second.receive(*implications)
    crashing_permit = await second.async_enter(CRASHING_DIGEST)
    waiting = [second.enter(digest) for digest in (1, 2)]
    await async_settle()
    proof = crashing_permit.report_crash()
    crashing_permit.end(complete=False)
    entered = await asyncio.gather(*waiting)
    assert [type(permit) for permit in entered] == [RunPermit, RunPermit]
    first.receive(*proof)
    for process in (first, second):
        refused = await process.suspicion.async_enter(CRASHING_DIGEST, asyncio.Event())
        assert isinstance(refused, Refused)
        assert refused.reason is Reason.SUSPECT


async def test_waiting_suspect_is_refused_when_proven_elsewhere() -> None:
    process, other = FakeProcess("e0"), FakeProcess("e1")
    implications = process.crash_with(CRASHING_DIGEST, 1)
    other.receive(*implications)
    await process.async_enter(5)
    waiting = process.enter(CRASHING_DIGEST)
    await async_settle()
    process.receive(*other.crash_with(CRASHING_DIGEST))
    refused = await waiting
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.SUSPECT


async def test_suspect_wait_times_out_and_gate_opens() -> None:
    process = FakeProcess()
    process.crash_with(CRASHING_DIGEST, 1)
    await process.async_enter(5)
    waiting = process.enter(1)
    await async_settle()
    process.clock.advance(ISOLATED_WAIT_MS)
    refused = await waiting
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.SUSPECT_ISOLATED
    assert isinstance(await process.async_enter(6), RunPermit)


async def test_cancelled_suspect_no_longer_blocks_other_requests() -> None:
    process = FakeProcess()
    process.crash_with(CRASHING_DIGEST, 1)
    await process.async_enter(5)
    cancelled = asyncio.Event()
    waiting = asyncio.ensure_future(process.suspicion.async_enter(1, cancelled))
    await async_settle()
    cancelled.set()
    assert isinstance(await waiting, Refused)
    assert isinstance(await process.async_enter(6), RunPermit)


async def test_number_of_waiting_suspects_is_limited() -> None:
    process = FakeProcess()
    process.crash_with(CRASHING_DIGEST, 1)
    await process.async_enter(5)
    waiting = [process.enter(1) for _ in range(MAX_WAITING_SUSPECTS)]
    await async_settle()
    assert isinstance(await process.suspicion.async_enter(1, asyncio.Event()), Refused)
    for task in waiting:
        task.cancel()


async def test_gate_opens_for_other_requests_between_suspects() -> None:
    process = FakeProcess()
    process.crash_with(CRASHING_DIGEST, 1, 2)
    first = await process.async_enter(1)
    second = process.enter(2)
    await async_settle()
    process.clock.advance(GATE_CLOSED_MS)
    first.end(complete=True)
    await async_settle()
    assert not second.done()
    other = await process.async_enter(5)
    process.clock.advance(GATE_OPEN_MS)
    await async_settle()
    assert not second.done()
    other.end(complete=True)
    assert isinstance(await second, RunPermit)
