"""Helpers for tests that advance a manual clock while real connections are open."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from gypsumrouter.util.clock import ManualClock

T = TypeVar("T")
HANG_S = 20.0


async def async_drive(clock: ManualClock, work: Awaitable[T], *, step_ms: int = 1) -> T:
    """Advance the clock until the work is done, and return its result."""
    task = asyncio.ensure_future(work)
    async with asyncio.timeout(HANG_S):
        while not task.done():
            clock.advance(step_ms)
            await asyncio.sleep(0)
    return await task


async def async_until(condition: Callable[[], bool]) -> None:
    """Run the event loop until a condition holds, without advancing the clock."""
    async with asyncio.timeout(HANG_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0)
