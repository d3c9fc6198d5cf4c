"""A stopping router leaves a stream at its silent upstream where another one would end too late."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from forwarding_world import KEY, PROMPT, ForwardingWorld, make_configuration, make_route

from gypsumrouter.settings import Bounds

SOUND_S = 1.0
# Longer than a sound upstream is silent.
HUNG_S = 4.0
EVENTS = 8
STOP_MS = 5_000


@pytest.fixture
async def world(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[ForwardingWorld]:
    monkeypatch.setenv("GYPSUMROUTER_LINK_KEY", KEY)
    started = ForwardingWorld()
    for runner in started.models:
        runner.events = EVENTS
        runner.pause_s = 0.02
    await started.async_start()
    # The pause that the route allows is exceeded by far.
    route = make_route(
        "quote", "streaming", "models", resumable=True, timeout_ms=9_000, target_gap_ms=100
    )
    await started.store.async_put_configuration(make_configuration(version=2, routes=[route]))
    try:
        yield started
    finally:
        await started.async_stop()


@pytest.mark.parametrize(
    ("stops", "silence_s", "runs"), [(False, SOUND_S, 2), (True, SOUND_S, 1), (True, HUNG_S, 2)]
)
async def test_stop_does_not_replace_a_silent_upstream_by_one_of_unknown_pace(
    world: ForwardingWorld, stops: bool, silence_s: float, runs: int
) -> None:
    """Guards against a replacement whose own first event comes after the end of the stop."""
    product = await world.async_start_forwarder("entry-2", bounds=Bounds(stop_ms=STOP_MS))
    await world.async_until(product.is_ready)
    async with aiohttp.ClientSession() as session:
        call = asyncio.create_task(
            world.async_call(
                session, "POST", "/quote/a", "q1", product=product, body=b"a prompt",
                extra={**PROMPT, "X-Deadline-Ms": "8000"},
            )
        )  # fmt: skip
        await world.async_until(lambda: any(runner.ran for runner in world.models))
        silent = next(runner for runner in world.models if runner.ran)
        drain = asyncio.create_task(product.app.async_drain()) if stops else None
        await silent.async_fall_silent(silence_s)
        status, body, _ = await call
    if drain is not None:
        await drain
    assert status == 200
    assert body.count(b"\nid: ") + body.startswith(b"id: ") == EVENTS
    assert sum(len(runner.ran) for runner in world.models) == runs
