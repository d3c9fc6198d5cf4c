"""Requests that wait in the queue of a stopping router are refused before it cuts connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from forwarding_world import KEY, PROMPT, ForwardingWorld, make_configuration, make_route

from gypsumrouter.contention import Expected
from gypsumrouter.forwarding.drain.const import CUT_MARGIN_MS
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.settings import Bounds, Contention
from gypsumrouter.util.clock import SystemClock

STOP_MS = 4_000
TARGET_MS = 8_000
DEADLINE_MS = 9_000
# Too late for the target, and in time for the deadline.
BACKLOG_MS = 6_800.0


@pytest.fixture
async def world(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[ForwardingWorld]:
    monkeypatch.setenv("GYPSUMROUTER_LINK_KEY", KEY)
    started = ForwardingWorld()
    await started.async_start()
    route = make_route(
        "draft", "streaming", "models", timeout_ms=DEADLINE_MS, target_latency_ms=TARGET_MS
    )
    await started.store.async_put_configuration(make_configuration(version=2, routes=[route]))
    try:
        yield started
    finally:
        await started.async_stop()


async def test_request_that_waits_in_the_queue_outlasts_the_stop(
    world: ForwardingWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    expected = Expected(backlog_ms=BACKLOG_MS, own_ms=10.0)
    monkeypatch.setattr(Placer, "estimate", lambda *_: expected)
    product = await world.async_start_forwarder(
        "entry-2", contention=Contention(), bounds=Bounds(stop_ms=STOP_MS)
    )
    await world.async_until(product.is_ready)
    clock = SystemClock()
    async with aiohttp.ClientSession() as session:
        call = asyncio.create_task(
            world.async_call(
                session, "POST", "/draft/a", "r1", product=product, body=b"x",
                extra={**PROMPT, "X-Deadline-Ms": str(DEADLINE_MS)},
            )
        )  # fmt: skip
        await world.async_until(lambda: '"waiting": 1' in str(product.app.dump()).replace("'", '"'))
        begun_ms = clock.now_ms()
        drain = asyncio.create_task(product.app.async_drain())
        status, _, headers = await call
    assert status == 503
    assert headers["X-Gypsum-Executed"] == "not_run"
    assert clock.now_ms() - begun_ms < STOP_MS - CUT_MARGIN_MS
    await drain
