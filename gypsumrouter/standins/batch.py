"""Continuous batching of the stand-in engine: each running sequence gets one token per step."""

from __future__ import annotations

import asyncio
import heapq
import math
from collections.abc import Callable
from typing import Final

from gypsumrouter.standins.cache import PrefixCache
from gypsumrouter.standins.chat import ChatEncoder, ChatRequest
from gypsumrouter.standins.models import EngineSettings
from gypsumrouter.standins.streams import ResponseStream, StreamState
from gypsumrouter.util.clock import Clock

# A step that ends late by up to this much shortens the next one; sleeps take whole milliseconds.
MAX_ROUNDING_MS: Final = 1


class Sequence:
    """A request in the batch, its progress and the response that it writes."""

    __slots__ = (
        "blocks",
        "cached_tokens",
        "chat",
        "crashes",
        "encoder",
        "prefill_remaining",
        "priority",
        "produced",
        "request",
        "stream",
    )

    def __init__(
        self,
        *,
        request: ChatRequest,
        encoder: ChatEncoder,
        stream: ResponseStream,
        chat: str,
        priority: int,
        crashes: bool,
    ) -> None:
        self.request = request
        self.encoder = encoder
        self.stream = stream
        self.chat = chat
        self.priority = priority
        self.crashes = crashes
        self.blocks = request.hash_prompt()
        self.cached_tokens = 0
        self.prefill_remaining = 0
        self.produced = 0

    @property
    def ended(self) -> bool:
        """Return whether the response is complete or cancelled."""
        return self.stream.state is not StreamState.ACTIVE

    def produce(self) -> None:
        """Generate one token, and end the response after the last one."""
        if self.request.stream:
            self.stream.append(self.encoder.make_event(self.produced))
        self.produced += 1
        if self.produced < self.request.tokens:
            return
        if self.request.stream:
            self.stream.append(self.encoder.make_last_events(cached_tokens=self.cached_tokens))
        else:
            self.stream.append(self.encoder.make_body(cached_tokens=self.cached_tokens))
        self.stream.end(StreamState.COMPLETE)


class Batch:
    """Runs up to `slots` sequences in steps and queues the others by priority, then by arrival.

    Running sequences are not preempted. `on_change` is called when the load changes, `on_end` when
    a sequence ends, and `on_crash` when a sequence that crashes the engine is admitted.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_on_change",
        "_on_crash",
        "_on_end",
        "_resumed",
        "_running",
        "_settings",
        "_step_end_ms",
        "_submitted",
        "_waiting",
        "_work_available",
        "cached_tokens",
        "produced_tokens",
        "prompt_tokens",
        "steps",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        settings: EngineSettings,
        cache: PrefixCache,
        on_change: Callable[[], None],
        on_end: Callable[[StreamState], None],
        on_crash: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._cache = cache
        self._on_change = on_change
        self._on_end = on_end
        self._on_crash = on_crash
        self._running: list[Sequence] = []
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._submitted = 0
        self._step_end_ms = 0.0
        self._work_available = asyncio.Event()
        self._resumed = asyncio.Event()
        self._resumed.set()
        self.steps = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.produced_tokens = 0

    @property
    def running(self) -> int:
        """Return the number of running sequences."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of sequences that wait for a slot."""
        return len(self._waiting)

    def submit(self, sequence: Sequence) -> None:
        """Add a sequence to the queue."""
        self._submitted += 1
        heapq.heappush(self._waiting, (-sequence.priority, self._submitted, sequence))
        self._work_available.set()
        self._on_change()

    def remove_ended(self) -> None:
        """Remove the sequences whose responses are complete or cancelled."""
        for _, _, sequence in self._waiting:
            if sequence.ended:
                self._on_end(sequence.stream.state)
        self._waiting = [entry for entry in self._waiting if not entry[2].ended]
        heapq.heapify(self._waiting)
        self._remove_ended_running()

    def pause(self) -> None:
        """Pause before the next step."""
        self._resumed.clear()

    def resume(self) -> None:
        """Resume the steps."""
        self._resumed.set()

    def clear(self) -> None:
        """Remove all sequences, as a restart does."""
        self._running.clear()
        self._waiting.clear()
        self._on_change()

    async def async_run(self) -> None:
        """Run steps while there are sequences, otherwise wait for one."""
        while True:
            if not self._running and not self._waiting:
                self._work_available.clear()
                await self._work_available.wait()
                self._step_end_ms = self._clock.now_ms()
            await self._resumed.wait()
            self._cancel_abandoned()
            self._admit()
            duration_ms = self._settings.step_ms + self._prefill()
            duration_ms += self._settings.step_ms_per_sequence * len(self._running)
            await self._async_wait_step(duration_ms)
            self._produce()

    def _cancel_abandoned(self) -> None:
        limit_ms = self._clock.now_ms() - self._settings.abandon_ms
        for sequence in self._running:
            no_reader_since_ms = sequence.stream.no_reader_since_ms
            if no_reader_since_ms is not None and no_reader_since_ms <= limit_ms:
                sequence.stream.end(StreamState.CANCELLED)
        self._remove_ended_running()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._settings.slots:
            _, _, sequence = heapq.heappop(self._waiting)
            self._running.append(sequence)
            self._look_up_prefix(sequence)
            if sequence.crashes:
                self._on_crash()
                return

    def _look_up_prefix(self, sequence: Sequence) -> None:
        prompt_tokens = sequence.request.prompt_tokens
        cached = self._cache.find_prefix(sequence.blocks)
        sequence.cached_tokens = min(cached, prompt_tokens - 1)
        sequence.prefill_remaining = prompt_tokens - sequence.cached_tokens
        self.prompt_tokens += prompt_tokens
        self.cached_tokens += sequence.cached_tokens

    def _prefill(self) -> float:
        """Prefill up to one chunk of prompt tokens and return its duration in milliseconds."""
        budget = self._settings.prefill_chunk_tokens
        for sequence in self._running:
            if sequence.prefill_remaining == 0:
                continue
            taken = min(budget, sequence.prefill_remaining)
            sequence.prefill_remaining -= taken
            budget -= taken
            if sequence.prefill_remaining == 0:
                self._cache.store(chat=sequence.chat, blocks=sequence.blocks)
        computed = self._settings.prefill_chunk_tokens - budget
        return computed * self._settings.prefill_ms_per_token

    async def _async_wait_step(self, duration_ms: float) -> None:
        now_ms = self._clock.now_ms()
        self._step_end_ms = max(self._step_end_ms, now_ms - MAX_ROUNDING_MS) + duration_ms
        await self._clock.async_sleep(max(0, math.ceil(self._step_end_ms - now_ms)))

    def _produce(self) -> None:
        self.steps += 1
        for sequence in self._running:
            if sequence.prefill_remaining > 0 or sequence.ended:
                continue
            sequence.produce()
            self.produced_tokens += 1
            if sequence.ended:
                self._cache.store(chat=sequence.chat, blocks=sequence.request.hash_conversation())
        self._remove_ended_running()

    def _remove_ended_running(self) -> None:
        for sequence in self._running:
            if sequence.ended:
                self._on_end(sequence.stream.state)
        self._running = [sequence for sequence in self._running if not sequence.ended]
        self._on_change()
