"""The demo's upstreams fall silent for a bounded time and go on."""

from __future__ import annotations

import asyncio

from gypsumrouter.demo.silences import SILENCE_MS, async_draw_silences
from gypsumrouter.util.clock import ManualClock

STEP_MS = 10


class Upstream:
    def __init__(self) -> None:
        self.silent = False

    def freeze(self) -> None:
        self.silent = True

    def thaw(self) -> None:
        self.silent = False


async def async_advance(clock: ManualClock) -> None:
    clock.advance(STEP_MS)
    for _ in range(3):
        await asyncio.sleep(0)


async def test_silences_last_between_their_bounds_and_end_with_the_run() -> None:
    """Guards against an upstream that the demo leaves silent."""
    clock = ManualClock()
    upstreams = [Upstream() for _ in range(6)]
    drawing = asyncio.create_task(
        async_draw_silences(kinds=(upstreams[:4], upstreams[4:]), clock=clock, seed=1)
    )
    await asyncio.sleep(0)
    lengths: list[int] = []
    silent_ms = 0
    while len(lengths) < 20:
        await async_advance(clock)
        if any(upstream.silent for upstream in upstreams):
            silent_ms += STEP_MS
        elif silent_ms:
            lengths.append(silent_ms)
            silent_ms = 0
    assert SILENCE_MS[0] - STEP_MS <= min(lengths) < max(lengths) <= SILENCE_MS[1] + STEP_MS
    while not any(upstream.silent for upstream in upstreams):
        await async_advance(clock)
    drawing.cancel()
    await asyncio.wait((drawing,))
    assert not any(upstream.silent for upstream in upstreams)
