"""Stop a run when its caller is gone, its time is over or it is asked to give way."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from gypsumrouter.core import Application
from gypsumrouter.exchange.sinks import Recorder, Relay, Stop


@asynccontextmanager
async def supervise_run(
    *,
    app: Application,
    sink: Relay | Recorder,
    gone: asyncio.Event | None,
    left_ms: int,
    yield_asked: asyncio.Event | None,
    limit_ms: int | None,
) -> AsyncIterator[None]:
    """Watch over a run while the block lasts.

    `left_ms` is what is left of the caller's time, `limit_ms` what a run may take that its caller
    can't stop. `gone` and `yield_asked` are given only where they count.
    """
    watches: list[Coroutine[Any, Any, None]] = [
        _async_watch_time(app, sink, left_ms, Stop.DEADLINE)
    ]
    if limit_ms is not None:
        watches.append(_async_watch_time(app, sink, limit_ms, Stop.LIMIT))
    if gone is not None:
        watches.append(_async_watch_caller(sink, gone))
    if yield_asked is not None:
        watches.append(_async_watch_yield(sink, yield_asked))
    tasks = [app.async_create_task(watch, "exchange supervision") for watch in watches]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def _async_watch_time(
    app: Application, sink: Relay | Recorder, left_ms: int, stop: Stop
) -> None:
    await app.clock.async_sleep(left_ms)
    sink.ask_to_stop(stop)


async def _async_watch_caller(sink: Relay | Recorder, gone: asyncio.Event) -> None:
    await gone.wait()
    sink.ask_to_stop(Stop.CALLER_GONE)


async def _async_watch_yield(sink: Relay | Recorder, asked: asyncio.Event) -> None:
    await asked.wait()
    if not sink.has_body:
        sink.ask_to_stop(Stop.YIELD)
