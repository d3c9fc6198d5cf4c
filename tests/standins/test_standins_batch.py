"""Batching of the stand-in engine: queue order, priorities and duration of steps."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import pytest

from gypsumrouter.standins.batch import Batch, Sequence
from gypsumrouter.standins.cache import CacheEventLog, PrefixCache
from gypsumrouter.standins.chat import ChatEncoder, ChatRequest, parse_chat
from gypsumrouter.standins.models import EngineSettings
from gypsumrouter.standins.streams import ResponseStream, StreamState
from gypsumrouter.util.clock import ManualClock

SETTINGS = EngineSettings(slots=2, step_ms_per_sequence=0.5, prefill_ms_per_token=0.1)
SETTLE_ROUNDS = 10


class BatchHarness:
    """A batch without HTTP, and the sequences submitted to it."""

    def __init__(self, clock: ManualClock, settings: EngineSettings = SETTINGS) -> None:
        self.clock = clock
        self.settings = settings
        self.crashed = 0
        self.ended: list[str] = []
        self.sequences: dict[str, Sequence] = {}
        events = CacheEventLog(clock=clock, lag_ms=0, loss=0.0, seed=0)
        self.batch = Batch(
            clock=clock,
            settings=settings,
            cache=PrefixCache(capacity_tokens=10_000, events=events),
            on_change=self._record_ended,
            on_end=lambda state: None,
            on_crash=self._crash,
        )
        self.task = asyncio.get_running_loop().create_task(self.batch.async_run())

    def submit(
        self,
        name: str,
        *,
        tokens: int = 2,
        priority: int = 0,
        size: int = 40,
        crashes: bool = False,
    ) -> Sequence:
        body = {"model": "m", "max_tokens": tokens, "stream": True}
        body["messages"] = [{"role": "user", "content": name.ljust(size, ".")}]
        request = parse_chat(json.dumps(body).encode(), self.settings)
        assert isinstance(request, ChatRequest)
        stream = ResponseStream(clock=self.clock, request_id=name, content_type="")
        sequence = Sequence(
            request=request,
            encoder=ChatEncoder(request=request, request_id=name, wall_ms=0),
            stream=stream,
            chat=name,
            priority=priority,
            crashes=crashes,
        )
        self.sequences[name] = sequence
        self.batch.submit(sequence)
        return sequence

    async def async_advance(self, delay_ms: int) -> None:
        for _ in range(delay_ms):
            self.clock.advance(1)
            await self.async_settle()

    async def async_settle(self) -> None:
        for _ in range(SETTLE_ROUNDS):
            await asyncio.sleep(0)

    def _record_ended(self) -> None:
        for name, sequence in self.sequences.items():
            if sequence.ended and name not in self.ended:
                self.ended.append(name)

    def _crash(self) -> None:
        self.crashed += 1


@pytest.fixture
async def harness(clock: ManualClock) -> AsyncIterator[BatchHarness]:
    harness = BatchHarness(clock)
    yield harness
    harness.task.cancel()


async def test_queued_sequences_run_by_priority_then_by_arrival(clock: ManualClock) -> None:
    harness = BatchHarness(clock, EngineSettings(slots=1))
    for name, priority in (("a", 0), ("b", 0), ("c", 5), ("d", 5), ("e", 9)):
        harness.submit(name, priority=priority)
    await harness.async_advance(200)
    assert harness.ended == ["e", "c", "d", "a", "b"]
    harness.task.cancel()


async def test_running_sequence_is_not_preempted_by_higher_priority(
    harness: BatchHarness,
) -> None:
    harness.submit("a", tokens=20)
    harness.submit("b", tokens=20)
    await harness.async_advance(20)
    harness.submit("late", priority=100)
    await harness.async_settle()
    assert (harness.batch.running, harness.batch.waiting) == (2, 1)
    await harness.async_advance(300)
    assert harness.ended == ["a", "b", "late"]


async def test_each_running_sequence_gets_one_token_per_step(harness: BatchHarness) -> None:
    first = harness.submit("a", tokens=50)
    second = harness.submit("b", tokens=50)
    await harness.async_advance(100)
    assert first.produced == second.produced == harness.batch.steps
    assert 0 < first.produced < 50


async def test_step_duration_includes_sequences_and_prompt_tokens(
    harness: BatchHarness, clock: ManualClock
) -> None:
    sequence = harness.submit("a", tokens=2, size=391)
    assert sequence.request.prompt_tokens == 100
    await harness.async_settle()
    await harness.async_advance(14)
    assert sequence.produced == 0
    await harness.async_advance(1)
    assert sequence.produced == 1
    await harness.async_advance(4)
    assert sequence.produced == 2


async def test_step_after_idle_time_is_not_shorter(harness: BatchHarness) -> None:
    harness.submit("a", tokens=1)
    await harness.async_advance(1_000)
    late = harness.submit("b", tokens=5, size=10)
    await harness.async_settle()
    await harness.async_advance(3)
    assert late.produced == 0


async def test_long_prompt_is_prefilled_in_chunks_while_others_generate(
    clock: ManualClock,
) -> None:
    harness = BatchHarness(clock, EngineSettings(slots=2, prefill_chunk_tokens=16))
    short = harness.submit("short", tokens=100, size=8)
    await harness.async_advance(10)
    produced = short.produced
    long = harness.submit("long", size=640)
    await harness.async_advance(30)
    assert long.produced == 0
    assert short.produced > produced
    await harness.async_advance(100)
    assert long.ended
    harness.task.cancel()


async def test_cancelled_sequence_is_removed_from_the_queue(harness: BatchHarness) -> None:
    for name in "abc":
        harness.submit(name, tokens=50)
    await harness.async_advance(10)
    assert harness.batch.waiting == 1
    harness.sequences["c"].stream.end(StreamState.CANCELLED)
    harness.batch.remove_ended()
    assert harness.batch.waiting == 0


async def test_paused_batch_generates_no_tokens_until_resumed(harness: BatchHarness) -> None:
    sequence = harness.submit("a", tokens=50)
    await harness.async_advance(20)
    harness.batch.pause()
    await harness.async_advance(10)
    held = sequence.produced
    await harness.async_advance(200)
    assert sequence.produced == held
    harness.batch.resume()
    await harness.async_advance(300)
    assert sequence.ended


async def test_sequence_without_reader_is_cancelled_after_timeout(harness: BatchHarness) -> None:
    sequence = harness.submit("a", tokens=8_000)
    sequence.stream.attach()
    await harness.async_advance(10)
    sequence.stream.detach()
    await harness.async_advance(harness.settings.abandon_ms - 100)
    assert not sequence.ended
    await harness.async_advance(200)
    assert sequence.stream.state is StreamState.CANCELLED


async def test_marked_sequence_crashes_the_engine_only_when_admitted(
    harness: BatchHarness,
) -> None:
    for name in "ab":
        harness.submit(name, tokens=3)
    harness.submit("bad", crashes=True)
    await harness.async_advance(4)
    assert harness.crashed == 0
    await harness.async_advance(50)
    assert harness.crashed == 1


def test_step_duration_below_minimum_is_rejected() -> None:
    with pytest.raises(ValueError, match="step_ms"):
        EngineSettings(step_ms=3.9)
