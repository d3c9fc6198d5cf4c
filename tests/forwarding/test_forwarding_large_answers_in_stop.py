"""Large plain answers that a stopping router takes late."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from forwarding_world import make_configuration, make_route
from stopping_world import StoppingWorld

from bench.raw_caller import CLOCK, DEADLINE_MS, Answer, End

STOP_MS = 8_000
CALLERS = 12
LATE_MS = 3_100
EVERY_MS = 20
BODY_BYTES = 900_000
PARTS = 30
PAUSE_S = 0.02
SLOWDOWN = 10
# What is read late ends by then, and so is taken by any router, however slow others were before.
VIEW_MS = 3_600


@pytest.fixture
async def stopping(tmp_path: Path) -> AsyncIterator[StoppingWorld]:
    async with StoppingWorld(folder=tmp_path, stop_ms=STOP_MS) as world:
        more = {"timeout_ms": DEADLINE_MS, "target_latency_ms": 5_000, "max_attempts": 1}
        routes = [
            make_route("draft", "streaming", "models", target_gap_ms=2_000, **more),
            make_route("reserve", "non_idempotent", "models", **more),
            make_route(
                "view",
                "idempotent",
                "models",
                **more | {"timeout_ms": VIEW_MS, "target_latency_ms": 100, "max_attempts": 2},
            ),
        ]
        await world.store.async_put_configuration(make_configuration(2, routes=routes))
        async with asyncio.timeout(10):
            while (
                await world.async_ask_once(
                    world.processes[0], "there", path="/reserve/a", tokens=None
                )
            ).status != 200:
                await CLOCK.async_sleep(50)
        yield world


# Guards against large plain answers that are taken late by an estimate, have begun at the end of
# the stop, and so get no final response in place of the cut.
async def test_late_plain_answers_in_parts_are_reset_when_load_slows_their_upstreams(
    stopping: StoppingWorld,
) -> None:
    process = stopping.processes[0]

    async def async_ask(name: str) -> Answer:
        return await stopping.async_ask_once(process, name, path="/reserve/a", tokens=None)

    for runner in stopping.runners:
        runner.pause_s = PAUSE_S
    seen = await asyncio.gather(*(async_ask(f"b{n}") for n in range(4 * CALLERS)))
    assert {a.status for a in seen} == {200}
    lasting = asyncio.create_task(stopping.async_ask_once(process, "long", tokens=1_000))
    await stopping.async_wait_ran("long")
    stop = asyncio.create_task(stopping.async_stop(process, [(0, signal.SIGTERM)]))

    async def async_ask_late(number: int) -> Answer:
        await CLOCK.async_sleep(LATE_MS + number * EVERY_MS)
        return await async_ask(f"late{number}")

    late = asyncio.gather(*map(async_ask_late, range(CALLERS)))
    for runner in stopping.runners:
        runner.body_bytes, runner.body_parts = BODY_BYTES, PARTS
        runner.pause_s = SLOWDOWN * PAUSE_S
    answers = await late
    await stop
    await lasting
    assert stopping.list_reset(answers) == []
    assert {a.end for a in answers} == {End.WHOLE}
    # Some ran, and were not answered in time.
    assert {502} <= {a.status for a in answers}


# Guards against a second run of an idempotent request whose answer arrives, read whole.
async def test_late_answer_that_arrives_in_parts_counts_as_silent(stopping: StoppingWorld) -> None:
    process = stopping.processes[0]

    async def async_ask(name: str) -> Answer:
        return await stopping.async_ask_once(process, name, path="/view/a", tokens=None)

    for runner in stopping.runners:
        runner.pause_s = PAUSE_S
    seen = await asyncio.gather(*(async_ask(f"b{n}") for n in range(4 * CALLERS)))
    assert {a.status for a in seen} == {200}
    lasting = asyncio.create_task(stopping.async_ask_once(process, "long", tokens=1_000))
    await stopping.async_wait_ran("long")
    stop = asyncio.create_task(stopping.async_stop(process, [(0, signal.SIGTERM)]))
    await CLOCK.async_sleep(LATE_MS)
    # Longer than a sound upstream is silent, and in time.
    for runner in stopping.runners:
        runner.body_bytes, runner.body_parts, runner.pause_s = BODY_BYTES, PARTS, 3 * PAUSE_S
    answers = await asyncio.gather(*(async_ask(f"late{n}") for n in range(CALLERS)))
    await stop
    await lasting
    assert {(a.status, a.end) for a in answers} == {(200, End.WHOLE)}
    runs = {
        a.request_id: sum(list(r.ran).count(a.request_id) for r in stopping.runners)
        for a in answers
    }
    assert runs == dict.fromkeys(runs, 1)
