"""A sound upstream that falls silent for a second and goes on costs no caller its answer."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator

import aiohttp
import pytest
from forwarding_world import KEY, PROMPT, ForwardingWorld, make_configuration, make_route

from gypsumrouter.standins.platform_runner import RunnerFault

# Longer than each timer of the routes below, by far shorter than their deadlines.
SILENCE_S = 1.3
EVENTS = 8
CALLERS = 8


@pytest.fixture
async def world(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[ForwardingWorld]:
    monkeypatch.setenv("GYPSUMROUTER_LINK_KEY", KEY)
    started = ForwardingWorld()
    for runner in started.models:
        runner.events = EVENTS
        runner.pause_s = 0.02
    await started.async_start()
    try:
        yield started
    finally:
        await started.async_stop()


async def async_configure(world: ForwardingWorld, *, max_attempts: int) -> None:
    """Publish routes that may be repeated up to `max_attempts` times, with a caller's patience."""
    routes = [
        make_route(
            "quote", "streaming", "models", resumable=True, max_attempts=max_attempts,
            timeout_ms=9_000, target_gap_ms=100,
        ),
        make_route(
            "lookup", "idempotent", "records", max_attempts=max_attempts, timeout_ms=9_000
        ),
    ]  # fmt: skip
    await world.store.async_put_configuration(make_configuration(version=2, routes=routes))
    await world.async_until(lambda: _get_version(world) == 2)


def _get_version(world: ForwardingWorld) -> int:
    routing = world.product.app.dump()["routing"]
    assert isinstance(routing, dict)
    return int(routing["version"])


async def async_stream(world: ForwardingWorld, session: aiohttp.ClientSession, name: str) -> bytes:
    """Return the body of a stream; raises ClientError if it is cut."""
    status, body, _ = await world.async_call(
        session, "POST", f"/quote/{name}", name, body=b"a prompt",
        extra={**PROMPT, "X-Deadline-Ms": "8000"},
    )  # fmt: skip
    assert status == 200
    return body


def list_numbers(body: bytes) -> list[int]:
    return [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]


async def async_silence_all(world: ForwardingWorld) -> None:
    """Let all runners fall silent at once."""
    runners = (*world.models, *world.records)
    await asyncio.gather(*(runner.async_fall_silent(SILENCE_S) for runner in runners))


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
async def test_silent_second_of_all_upstreams_cuts_no_stream(
    world: ForwardingWorld, max_attempts: int
) -> None:
    """Guards against a timer that ends a stream which nothing can take over."""
    await async_configure(world, max_attempts=max_attempts)
    async with aiohttp.ClientSession() as session:
        calls = [asyncio.create_task(async_stream(world, session, f"q{n}")) for n in range(CALLERS)]
        await world.async_until(lambda: sum(len(r.ran) for r in world.models) == CALLERS)
        await asyncio.sleep(0.06)
        await async_silence_all(world)
        bodies = await asyncio.gather(*calls)
    assert [list_numbers(body) for body in bodies] == [list(range(1, EVENTS + 1))] * CALLERS


async def test_silent_second_with_an_empty_retry_budget_cuts_no_stream(
    world: ForwardingWorld,
) -> None:
    """Guards against a stream that is given up before the retry budget was asked."""
    await async_configure(world, max_attempts=3)
    async with aiohttp.ClientSession() as session:
        calls = [asyncio.create_task(async_stream(world, session, f"q{n}")) for n in range(60)]
        await world.async_until(lambda: sum(len(r.ran) for r in world.models) == 60)
        await asyncio.sleep(0.06)
        # One of two upstreams: more streams want to be replaced than the budget allows.
        await world.models[0].async_fall_silent(SILENCE_S)
        bodies = await asyncio.gather(*calls)
    assert [list_numbers(body) for body in bodies] == [list(range(1, EVENTS + 1))] * 60


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
async def test_silent_second_of_all_upstreams_fails_no_repeatable_request(
    world: ForwardingWorld, max_attempts: int
) -> None:
    """Guards against a 502 for a request whose upstream would have answered a moment later."""
    await async_configure(world, max_attempts=max_attempts)
    async with aiohttp.ClientSession() as session:
        silence = asyncio.create_task(async_silence_all(world))
        await asyncio.sleep(0.05)
        answers = await asyncio.gather(
            *(
                world.async_call(
                    session, "GET", f"/lookup/{n}", f"l{n}", extra={"X-Deadline-Ms": "8000"}
                )
                for n in range(CALLERS)
            )
        )
        await silence
    assert [status for status, _, _ in answers] == [200] * CALLERS


async def test_broken_stream_goes_on_at_an_upstream_that_is_silent_for_a_second(
    world: ForwardingWorld,
) -> None:
    """Guards against a cut since the upstreams that are left don't answer just then."""
    await async_configure(world, max_attempts=2)
    for runner in world.models:
        runner.next_faults.append(RunnerFault.RESET_STREAM)
    async with aiohttp.ClientSession() as session:
        call = asyncio.create_task(async_stream(world, session, "q1"))
        await world.async_until(lambda: any(runner.ran for runner in world.models))
        other = next(runner for runner in world.models if not runner.ran)
        other.next_faults.clear()
        await other.async_fall_silent(SILENCE_S)
        assert list_numbers(await call) == list(range(1, EVENTS + 1))


async def test_broken_stream_goes_on_at_an_upstream_that_is_full_for_a_second(
    world: ForwardingWorld,
) -> None:
    """Guards against a cut since the upstreams that are left turn it away just then."""
    await async_configure(world, max_attempts=2)
    for runner in world.models:
        runner.next_faults.append(RunnerFault.RESET_STREAM)
    async with aiohttp.ClientSession() as session:
        call = asyncio.create_task(async_stream(world, session, "q1"))
        await world.async_until(lambda: any(runner.ran for runner in world.models))
        for runner in world.models:
            runner.next_faults.clear()
            runner.default_fault = RunnerFault.SHED
        await asyncio.sleep(SILENCE_S)
        for runner in world.models:
            runner.default_fault = RunnerFault.NONE
        assert list_numbers(await call) == list(range(1, EVENTS + 1))


async def test_server_error_is_returned_while_the_other_upstream_turns_requests_away(
    world: ForwardingWorld,
) -> None:
    """Guards against an answer that is held back until the deadline for want of a better one."""
    await async_configure(world, max_attempts=2)
    faults = deque([RunnerFault.ERROR])
    for runner in world.records:
        runner.next_faults = faults
        runner.default_fault = RunnerFault.SHED
    async with aiohttp.ClientSession() as session, asyncio.timeout(5):
        status, body, _ = await world.async_call(
            session, "GET", "/lookup/a", "l1", extra={"X-Deadline-Ms": "8000"}
        )
    assert (status, body) == (500, b"broken")
