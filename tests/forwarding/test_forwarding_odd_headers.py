"""Response headers that can't be read: they count as absent, and the answer arrives whole."""

from __future__ import annotations

import logging

import aiohttp
import pytest
from forwarding_world import ForwardingWorld

from gypsumrouter.standins import RunnerFault

Session = aiohttp.ClientSession
LONG = "9" * 6_000


def count_odd(world: ForwardingWorld, name: str) -> float:
    lines = world.product.app.metrics.render().decode().splitlines()
    prefix = f'gypsumrouter_odd_headers_total{{header="{name}"}} '
    return sum(float(line.removeprefix(prefix)) for line in lines if line.startswith(prefix))


@pytest.mark.parametrize("timeout", [LONG, "²"])
async def test_whole_answer_with_an_odd_keep_alive_is_no_500(
    world: ForwardingWorld,
    session: Session,
    caplog: pytest.LogCaptureFixture,
    timeout: str,
) -> None:
    for runner in world.records:
        runner.more_headers = {"Keep-Alive": f"timeout={timeout}"}
    answers = [
        await world.async_call(session, "GET", "/lookup/a", f"r{number}") for number in range(4)
    ]
    assert {status for status, _, _ in answers} == {200}
    assert all(body.endswith(b" /lookup/a") for _, body, _ in answers)
    assert not [r for r in caplog.records if r.levelno >= logging.ERROR]


async def test_odd_headers_are_counted_and_named_once_for_each_upstream(
    world: ForwardingWorld, session: Session, caplog: pytest.LogCaptureFixture
) -> None:
    for runner in world.records:
        runner.more_headers = {"Keep-Alive": f"timeout={LONG}", "X-Server-Load": "3,²,8"}
    calls = 12
    for number in range(calls):
        await world.async_call(session, "GET", "/lookup/a", f"r{number}")
    assert count_odd(world, "Keep-Alive") == calls
    assert count_odd(world, "X-Server-Load") == calls
    lines = [r.getMessage() for r in caplog.records if "can't be read" in r.getMessage()]
    assert len(lines) == len(set(lines))
    assert 2 <= len(lines) <= 4
    assert all(len(line) < 200 for line in lines)


async def test_headers_without_an_odd_figure_are_not_counted(
    world: ForwardingWorld, session: Session
) -> None:
    sound = {"Keep-Alive": "max=9, timeout=5", "Retry-After": "0", "X-Server-Load": "3,0,8"}
    for runner in world.records:
        runner.more_headers = sound
    await world.async_call(session, "GET", "/lookup/a", "r1")
    for runner in world.records:
        runner.more_headers = {"Keep-Alive": "max=9"}
    await world.async_call(session, "GET", "/lookup/a", "r2")
    assert [count_odd(world, name) for name in sound] == [0, 0, 0]


@pytest.mark.parametrize("encoding", ["", " ", "Identity"])
async def test_content_encoding_that_states_none_does_not_fail_a_whole_answer(
    world: ForwardingWorld, session: Session, encoding: str
) -> None:
    for runner in world.records:
        runner.more_headers = {"Content-Encoding": encoding}
    status, body, _ = await world.async_call(session, "POST", "/reserve/a", "r1", body=b"x")
    assert (status, body.endswith(b" /reserve/a")) == (200, True)


@pytest.mark.parametrize("value", ["1_0", "nan", "inf", "-1", "٣", LONG])
async def test_odd_retry_after_asks_for_no_pause(
    world: ForwardingWorld, session: Session, value: str
) -> None:
    for runner in world.records:
        runner.next_faults.append(RunnerFault.SHED)
        runner.more_headers = {"Retry-After": value}
    await world.async_call(session, "GET", "/lookup/a", "r1")
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "r2")
    assert status == 200
    assert count_odd(world, "Retry-After") >= 2
