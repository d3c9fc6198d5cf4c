"""Stops a run on its caller's cancellation, on a timeout or on preemption."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from gypsumrouter.core import Application
from gypsumrouter.exchange.sinks import Recorder, Relay, StopReason


@asynccontextmanager
async def supervise_run(
    *,
    app: Application,
    sink: Relay | Recorder,
    disconnected: asyncio.Event | None,
    remaining_ms: int,
    yield_requested: asyncio.Event | None,
    max_run_ms: int | None,
) -> AsyncIterator[None]:
    """Stop the run of the block, by way of `sink`, when one of its conditions occurs.

    `remaining_ms` is the time until the caller's deadline; `max_run_ms` bounds a run that its
    caller cannot stop. `disconnected`, `yield_requested` and `max_run_ms` are ignored if None.
    """
    watchers: list[Coroutine[Any, Any, None]] = [
        _async_watch_timeout(app, sink, remaining_ms, StopReason.DEADLINE)
    ]
    if max_run_ms is not None:
        watchers.append(_async_watch_timeout(app, sink, max_run_ms, StopReason.LIMIT))
    if disconnected is not None:
        watchers.append(_async_watch_caller(sink, disconnected))
    if yield_requested is not None:
        watchers.append(_async_watch_yield(sink, yield_requested))
    tasks = [app.async_create_task(watcher, "exchange supervision") for watcher in watchers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def _async_watch_timeout(
    app: Application, sink: Relay | Recorder, delay_ms: int, stop_reason: StopReason
) -> None:
    await app.clock.async_sleep(delay_ms)
    sink.request_stop(stop_reason)


async def _async_watch_caller(sink: Relay | Recorder, disconnected: asyncio.Event) -> None:
    await disconnected.wait()
    sink.request_stop(StopReason.CALLER_GONE)


async def _async_watch_yield(sink: Relay | Recorder, requested: asyncio.Event) -> None:
    await requested.wait()
    if not sink.has_body:
        sink.request_stop(StopReason.YIELD)
