"""Stand-in service: executions by key, delays, crashes and freezes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
from driven_clock import async_drive, async_until

from gypsumrouter.standins import Service
from gypsumrouter.standins.service import digest_body
from gypsumrouter.util.clock import ManualClock

MARKER = "crash-the-service"


@pytest.fixture
async def service(clock: ManualClock) -> AsyncIterator[Service]:
    service = Service(clock=clock, crash_marker=MARKER)
    await service.async_start()
    yield service
    await service.async_stop()


async def async_post(
    session: aiohttp.ClientSession, service: Service, body: bytes, **headers: str
) -> dict[str, Any]:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    url = f"http://{service.address}/reservations?school=3"
    async with session.post(url, data=body, headers=named) as response:
        answer: dict[str, Any] = json.loads(await response.read())
    return answer


async def test_response_identifies_its_call(
    service: Service, session: aiohttp.ClientSession
) -> None:
    answer = await async_post(session, service, b"cloth", Idempotency_Key="k1")
    assert answer == {
        "method": "POST",
        "path": "/reservations?school=3",
        "key": "k1",
        "execution": 1,
        "body_digest": digest_body(b"cloth"),
    }


async def test_executions_are_counted_by_key_and_request_id(
    service: Service, session: aiohttp.ClientSession
) -> None:
    for request_id in ("r1", "r2"):
        await async_post(session, service, b"", Idempotency_Key="k", X_Request_Id=request_id)
    answer = await async_post(session, service, b"", Idempotency_Key="k", X_Request_Id="r2")
    assert answer["execution"] == 3
    assert service.executions_by_request == {"r1": 1, "r2": 2}
    assert [execution.number for execution in service.executions] == [1, 2, 3]


async def test_call_counts_if_the_caller_disconnects_before_the_response(
    service: Service, session: aiohttp.ClientSession
) -> None:
    headers = {"Idempotency_Key": "k", "X_Standin_Delay_Ms": "500"}
    call = asyncio.ensure_future(async_post(session, service, b"", **headers))
    await async_until(lambda: service.executions_by_key["k"] == 1)
    call.cancel()
    await async_until(lambda: service.history.samples[-1].running == 0)
    assert service.executions_by_key["k"] == 1


async def test_delay_header_delays_the_response(
    service: Service, session: aiohttp.ClientSession, clock: ManualClock
) -> None:
    call = asyncio.ensure_future(async_post(session, service, b"", X_Standin_Delay_Ms="300"))
    await async_until(lambda: len(service.executions) == 1)
    assert not call.done()
    await async_drive(clock, call)
    assert clock.now_ms() >= 300


async def test_marked_call_counts_and_crashes_the_service(
    service: Service, session: aiohttp.ClientSession, clock: ManualClock
) -> None:
    with pytest.raises(aiohttp.ClientError):
        await async_post(session, service, MARKER.encode(), Idempotency_Key="bad")
    with pytest.raises(aiohttp.ClientConnectorError):
        await async_post(session, service, b"", Idempotency_Key="early")

    async def async_repeat() -> dict[str, Any]:
        while True:
            try:
                return await async_post(session, service, b"", Idempotency_Key="late")
            except aiohttp.ClientConnectorError:
                continue

    answer = await async_drive(clock, async_repeat(), step_ms=10)
    assert answer["execution"] == 1
    assert service.executions_by_key == {"bad": 1, "late": 1}
    assert service.crashes == 1


async def test_frozen_service_does_not_respond_until_thawed(
    service: Service, session: aiohttp.ClientSession
) -> None:
    await session.post(f"http://{service.address}/standin/freeze")
    call = asyncio.ensure_future(async_post(session, service, b""))
    for _ in range(100):
        await asyncio.sleep(0)
    assert not call.done()
    await session.post(f"http://{service.address}/standin/thaw")
    assert (await call)["execution"] == 1


async def test_load_and_executions_endpoints(
    service: Service, session: aiohttp.ClientSession, clock: ManualClock
) -> None:
    await async_post(session, service, b"", Idempotency_Key="k")
    async with session.get(f"http://{service.address}/load") as response:
        assert await response.json() == {"running": 0, "as_of_ms": clock.wall_ms() - 500}
    async with session.get(f"http://{service.address}/standin/executions") as response:
        (execution,) = (await response.json())["executions"]
    assert execution["key"] == "k"
