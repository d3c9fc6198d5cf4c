"""Requests that wait in the router under contention, end to end, with the failures around them."""

from __future__ import annotations

import asyncio
import logging

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld, make_configuration

from gypsumrouter.contention import Expected
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import Contention
from gypsumrouter.standins import RunnerFault

Session = aiohttp.ClientSession
# The routes have a target of 200 ms and a deadline of 2.5 s.
LATE_MS = 1_000
LATE_FOR_LONG_TARGET_MS = 1_700


class Backlog:
    """The backlog that every estimate shows."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.backlog_ms = 0.0
        self.own_ms = 10.0
        monkeypatch.setattr(Placer, "estimate", lambda *_: self._make())

    def _make(self) -> Expected:
        return Expected(backlog_ms=self.backlog_ms, own_ms=self.own_ms)


@pytest.fixture
def backlog(monkeypatch: pytest.MonkeyPatch) -> Backlog:
    """Return the backlog of all upstreams; it is 0 at first."""
    return Backlog(monkeypatch)


@pytest.fixture
async def product(world: ForwardingWorld) -> RunningProcess:
    """Start a second forwarder, which lets requests wait."""
    product = await world.async_start_forwarder("entry-2", contention=Contention())
    await world.async_until(product.is_ready)
    return product


def count_waiting(product: RunningProcess) -> int:
    section = product.app.dump()["contention"]
    assert isinstance(section, dict)
    return sum(service["waiting"] for service in section.values())


def list_events(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if hasattr(record, "event")]


def get_event(caplog: pytest.LogCaptureFixture, name: str) -> dict[str, object]:
    (record,) = (record for record in caplog.records if record.getMessage() == name)
    return dict(vars(record)["event"])


async def async_allow_long_waits(world: ForwardingWorld, product: RunningProcess) -> None:
    """Publish a target of 2 s, so that requests wait up to a second."""
    configuration = make_configuration(2)
    for route in configuration["routes"]:
        route["target_latency_ms"] = 2_000
    await world.async_publish(configuration, product)


async def async_ask(
    world: ForwardingWorld, session: Session, product: RunningProcess, request_id: str
) -> tuple[int, bytes, dict[str, str]]:
    return await world.async_call(
        session, "POST", "/draft/a", request_id, product=product, extra=PROMPT, body=b"{}"
    )


async def test_no_request_waits_while_upstreams_are_in_time(
    world: ForwardingWorld,
    product: RunningProcess,
    session: Session,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a queue that holds requests without contention."""
    caplog.set_level(logging.INFO)
    for number in range(20):
        status, _, _ = await async_ask(world, session, product, f"s{number}")
        assert status == 200
        status, _, _ = await world.async_call(
            session, "GET", "/lookup/a", f"p{number}", product=product
        )
        assert status == 200
    assert "request_queued" not in list_events(caplog)


async def test_forwarder_without_the_setting_builds_no_queue(world: ForwardingWorld) -> None:
    assert "contention" not in world.product.app.dump()


async def test_waiting_request_is_sent_once_there_is_capacity(
    world: ForwardingWorld,
    product: RunningProcess,
    session: Session,
    backlog: Backlog,
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    backlog.backlog_ms = LATE_MS
    call = asyncio.create_task(async_ask(world, session, product, "r1"))
    await world.async_until(lambda: count_waiting(product) == 1)
    assert world.arrivals("r1") == []
    backlog.backlog_ms = 0
    status, _, _ = await call
    assert status == 200
    assert len(world.arrivals("r1")) == 1
    queued = get_event(caplog, "request_queued")
    assert queued["service"] == "models"
    assert queued["expected_ms"] == LATE_MS + 10
    assert get_event(caplog, "request_released")["request_id"] == "r1"


async def test_request_without_time_is_refused_on_arrival_as_not_run(
    world: ForwardingWorld,
    product: RunningProcess,
    session: Session,
    backlog: Backlog,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against refusals after a wait, and against untrue ones."""
    caplog.set_level(logging.INFO)
    backlog.backlog_ms = 10_000
    status, _, headers = await async_ask(world, session, product, "r1")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert world.arrivals("r1") == []
    refused = get_event(caplog, "request_refused")
    assert refused["reason"] == "target_hopeless"
    assert isinstance(refused["room_in_ms"], int)
    assert refused["room_in_ms"] > 7_000
    assert "request_queued" not in list_events(caplog)


async def test_nothing_is_sent_for_a_caller_that_left_while_it_waited(
    world: ForwardingWorld, product: RunningProcess, session: Session, backlog: Backlog
) -> None:
    """Guards against work for callers that have gone."""
    backlog.backlog_ms = LATE_MS
    call = asyncio.create_task(async_ask(world, session, product, "r1"))
    await world.async_until(lambda: count_waiting(product) == 1)
    call.cancel()
    await world.async_until(lambda: count_waiting(product) == 0)
    await world.async_until(lambda: not product.list_running())
    backlog.backlog_ms = 0
    status, _, _ = await async_ask(world, session, product, "r2")
    assert status == 200
    assert world.arrivals("r1") == []


async def test_router_killed_with_requests_waiting_has_sent_none_of_them(
    world: ForwardingWorld, product: RunningProcess, session: Session, backlog: Backlog
) -> None:
    """Guards against requests that run although their callers see the connection closed."""
    await async_allow_long_waits(world, product)
    backlog.backlog_ms = LATE_FOR_LONG_TARGET_MS
    calls = [
        asyncio.create_task(async_ask(world, session, product, f"r{number}")) for number in range(5)
    ]
    await world.async_until(lambda: count_waiting(product) == 5)
    world.products.remove(product)
    await product.app.async_stop()
    for number, outcome in enumerate(await asyncio.gather(*calls, return_exceptions=True)):
        assert isinstance(outcome, aiohttp.ClientError) or (
            isinstance(outcome, tuple) and outcome[0] == 503
        )
        assert world.arrivals(f"r{number}") == []


@pytest.mark.parametrize("recovers", [False, True])
async def test_drain_serves_or_refuses_all_that_wait(
    world: ForwardingWorld,
    product: RunningProcess,
    session: Session,
    backlog: Backlog,
    recovers: bool,
) -> None:
    """Guards against requests cut off by a planned stop."""
    await async_allow_long_waits(world, product)
    backlog.backlog_ms = LATE_FOR_LONG_TARGET_MS
    calls = [
        asyncio.create_task(async_ask(world, session, product, f"r{number}")) for number in range(8)
    ]
    await world.async_until(lambda: count_waiting(product) == 8)
    if recovers:
        backlog.backlog_ms = 0
    await product.app.async_drain()
    assert count_waiting(product) == 0
    statuses = [status for status, _, _ in await asyncio.gather(*calls)]
    assert set(statuses) <= ({200} if recovers else {200, 503})
    for number, status in enumerate(statuses):
        assert len(world.arrivals(f"r{number}")) == (1 if status == 200 else 0)


async def test_removed_service_refuses_what_waits_for_it(
    world: ForwardingWorld, product: RunningProcess, session: Session, backlog: Backlog
) -> None:
    """Guards against requests that wait for a service until their deadline."""
    await async_allow_long_waits(world, product)
    backlog.backlog_ms = LATE_FOR_LONG_TARGET_MS
    call = asyncio.create_task(async_ask(world, session, product, "r1"))
    await world.async_until(lambda: count_waiting(product) == 1)
    changed = make_configuration(3)
    changed["routes"] = [route for route in changed["routes"] if route["service"] == "records"]
    changed["services"] = [item for item in changed["services"] if item["name"] == "records"]
    await world.store.async_put_configuration(changed)
    status, _, _ = await call
    assert status == 503
    assert world.arrivals("r1") == []
    assert count_waiting(product) == 0


async def test_only_first_attempts_wait(
    world: ForwardingWorld,
    product: RunningProcess,
    session: Session,
    backlog: Backlog,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a request that waits again, or is refused, after an attempt."""
    caplog.set_level(logging.INFO)

    def start_contention() -> None:
        backlog.backlog_ms = 10_000

    for runner in world.records:
        runner.on_run = start_contention
        runner.next_faults.append(RunnerFault.ERROR)
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "r1", product=product)
    assert status == 500
    assert len(world.arrivals("r1")) == 2
    assert "request_queued" not in list_events(caplog)
