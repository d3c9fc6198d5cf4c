"""Seeded schedules of faults, two at a time."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Final

from msgspec import Struct

from bench.faults_network import (
    async_crash_upstream,
    async_cut_links,
    async_freeze_upstream,
    async_refuse_links,
    async_silence_links,
    async_silence_upstream,
    async_slow_links,
    async_split,
    async_split_from_platform,
)
from bench.faults_platform import (
    async_flap,
    async_lag_list,
    async_lose_configuration,
    async_lose_list,
    async_publish,
    async_serve_stale_configuration,
    async_serve_stale_list,
)
from bench.faults_processes import (
    async_kill_router,
    async_kill_side,
    async_kill_side_renamed,
    async_pause_router,
    async_pause_side,
    async_replace_paused_side,
    async_stop_listed_side,
    async_stop_router,
    async_stop_side,
)
from bench.faults_requests import async_crash_by_request, async_surge
from bench.faults_stage import NoTarget, Stage

_LOGGER = logging.getLogger(__name__)

AT_ONCE: Final = 2
BETWEEN_MS: Final = (100, 600)

FaultRun = Callable[[Stage, random.Random], Coroutine[Any, Any, None]]


class Fault(Struct, frozen=True, kw_only=True):
    """One kind of fault; those of one `part` never go on at the same time."""

    kind: str
    run: FaultRun
    part: str = ""


FAULTS: Final = (
    Fault(kind="side killed", run=async_kill_side),
    Fault(kind="side killed, new name", run=async_kill_side_renamed),
    Fault(kind="router killed", run=async_kill_router),
    Fault(kind="side paused", run=async_pause_side),
    Fault(kind="router paused", run=async_pause_router),
    Fault(kind="paused side replaced", run=async_replace_paused_side),
    Fault(kind="side stopped", run=async_stop_side),
    Fault(kind="side leaves by list", run=async_stop_listed_side, part="list"),
    Fault(kind="router stopped", run=async_stop_router),
    Fault(kind="links cut", run=async_cut_links),
    Fault(kind="links refused", run=async_refuse_links),
    Fault(kind="links silent", run=async_silence_links),
    Fault(kind="links slow", run=async_slow_links),
    Fault(kind="partition", run=async_split, part="partition"),
    Fault(kind="partition, list lost", run=async_split_from_platform, part="partition"),
    Fault(kind="upstream crashed", run=async_crash_upstream),
    Fault(kind="upstream frozen", run=async_freeze_upstream),
    Fault(kind="upstream silent", run=async_silence_upstream),
    Fault(kind="list down", run=async_lose_list, part="list"),
    Fault(kind="list stale", run=async_serve_stale_list, part="list"),
    Fault(kind="list late", run=async_lag_list, part="list"),
    Fault(kind="listing flaps", run=async_flap, part="list"),
    Fault(kind="configuration down", run=async_lose_configuration, part="configuration"),
    Fault(kind="configuration stale", run=async_serve_stale_configuration, part="configuration"),
    Fault(kind="configuration published", run=async_publish, part="configuration"),
    Fault(kind="surge", run=async_surge),
    Fault(kind="crashing request", run=async_crash_by_request, part="crasher"),
)


class Schedule:
    """Draws faults by a seed; kinds that came least often so far come first."""

    def __init__(self, *, stage: Stage, seed: int, counts: Counter[str]) -> None:
        self._stage = stage
        self._seed = seed
        self._counts = counts
        self._order = random.Random(seed)
        self._busy: set[str] = set()
        self._stopped = asyncio.Event()

    async def async_run(self) -> None:
        """Keep two faults going until stopped, and wait for the last ones to end."""
        await asyncio.gather(*(self._async_work(number) for number in range(AT_ONCE)))

    def stop(self) -> None:
        """Begin no further fault."""
        self._stopped.set()

    async def _async_work(self, number: int) -> None:
        randomness = random.Random(f"{self._seed}-{number}")
        while not self._stopped.is_set():
            await self._stage.async_pause(randomness, *BETWEEN_MS)
            fault = self._draw()
            part = fault.part or fault.kind
            self._busy.add(part)
            try:
                await self._async_run_fault(fault, randomness)
            finally:
                self._busy.discard(part)

    async def _async_run_fault(self, fault: Fault, randomness: random.Random) -> None:
        try:
            with self._stage.journal.window(fault.kind):
                await fault.run(self._stage, randomness)
        except NoTarget:
            _LOGGER.info("No target is free for %s", fault.kind)
        except Exception:
            # One fault that could not be brought about must not end the others.
            self._stage.journal.broken_faults[fault.kind] += 1
            _LOGGER.exception("The fault %s could not be brought about", fault.kind)

    def _draw(self) -> Fault:
        free = [fault for fault in FAULTS if (fault.part or fault.kind) not in self._busy]
        least = min(self._counts[fault.kind] for fault in free)
        fault = self._order.choice([item for item in free if self._counts[item.kind] == least])
        self._counts[fault.kind] += 1
        return fault
