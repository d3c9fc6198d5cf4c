"""Waiting for an event with a timeout, and work that is cancelled by an event."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from gypsumrouter.util.clock import Clock

_T = TypeVar("_T")


async def async_wait(event: asyncio.Event, *, clock: Clock, timeout_ms: int) -> bool:
    """Wait for the event up to `timeout_ms`; return whether it is set."""
    if event.is_set():
        return True
    await async_run_until_set(event, clock.async_sleep(timeout_ms))
    return event.is_set()


async def async_run_until_set(event: asyncio.Event, work: Coroutine[Any, Any, _T]) -> _T | None:
    """Return the result of the work, or cancel it and return None if the event is set first."""
    running = asyncio.ensure_future(work)
    waiting = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait((running, waiting), return_when=asyncio.FIRST_COMPLETED)
        return running.result() if running.done() else None
    finally:
        for task in (running, waiting):
            task.cancel()
        await asyncio.gather(running, waiting, return_exceptions=True)
