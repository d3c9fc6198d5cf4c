"""Requests and responses of complete sessions, compared with golden files."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import aiohttp
import pytest
from chat_client import make_chat, make_headers
from golden_session import Recorder, check_golden, write_json
from small_deployment import LIST_LEASE_MS, StartLocalFleet

from bench.load import make_uuid7
from gypsumrouter.const import (
    HEADER_CHAT,
    HEADER_IDEMPOTENCY_KEY,
    MAX_REQUEST_BODY_BYTES,
    PATH_CHAT,
    PATH_SERVICES,
)
from gypsumrouter.demo.local_fleet import LocalFleet
from gypsumrouter.standins import EngineSettings
from gypsumrouter.util.clock import SystemClock

POLL_MS = 20
MARGIN_MS = 200
JSON = {"Content-Type": "application/json"}
DEFECTS = f"{PATH_SERVICES}records/defects"


@pytest.fixture
async def http() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
def recorder(local_fleet: LocalFleet, http: aiohttp.ClientSession) -> Recorder:
    return Recorder(router=local_fleet.list_caller_addresses()[0], session=http)


@pytest.fixture
def headers(local_fleet: LocalFleet) -> dict[str, str]:
    return make_headers(local_fleet.platform.deployments[0].workspaces[0].key) | JSON


def make_key() -> str:
    return make_uuid7(wall_ms=SystemClock().wall_ms(), randomness=random.Random(7))


async def test_streamed_chat(
    recorder: Recorder, headers: dict[str, str], write_golden: bool
) -> None:
    body = write_json(make_chat(stream=True, max_tokens=3))
    await recorder.async_request(
        "POST", PATH_CHAT, headers=headers | {HEADER_CHAT: "v7"}, body=body
    )
    check_golden("streamed_chat", recorder.make_transcript(), write=write_golden)


async def test_non_streamed_chat(
    recorder: Recorder, headers: dict[str, str], write_golden: bool
) -> None:
    body = write_json(make_chat(max_tokens=3))
    await recorder.async_request("POST", PATH_CHAT, headers=headers, body=body)
    check_golden("whole_chat", recorder.make_transcript(), write=write_golden)


async def test_at_most_once_service_call_and_its_repeat(
    local_fleet: LocalFleet, recorder: Recorder, headers: dict[str, str], write_golden: bool
) -> None:
    await async_wait_until_new_keys_are_accepted(local_fleet)
    keyed = headers | {HEADER_IDEMPOTENCY_KEY: make_key()}
    for _ in range(2):
        await recorder.async_request("POST", DEFECTS, headers=keyed, body=b'{"vessel": 7}')
    await recorder.async_request("POST", DEFECTS, headers=keyed, body=b'{"vessel": 8}')
    assert local_fleet.platform.count_repeated_calls() == 0
    check_golden("service_call", recorder.make_transcript(), write=write_golden)


async def test_refusals(recorder: Recorder, headers: dict[str, str], write_golden: bool) -> None:
    chat = write_json(make_chat())
    recorder.add_comment("no key")
    await recorder.async_request("POST", PATH_CHAT, headers=JSON, body=chat)
    recorder.add_comment("a wrong key")
    await recorder.async_request("POST", PATH_CHAT, headers=make_headers("wrong") | JSON, body=chat)
    recorder.add_comment("an unknown model")
    unknown = write_json(make_chat(model="no-such-model"))
    await recorder.async_request("POST", PATH_CHAT, headers=headers, body=unknown)
    recorder.add_comment("a wrong field")
    invalid = write_json(make_chat(max_tokens="many"))
    await recorder.async_request("POST", PATH_CHAT, headers=headers, body=invalid)
    recorder.add_comment("an unknown service")
    await recorder.async_request("GET", f"{PATH_SERVICES}nowhere/x", headers=headers)
    recorder.add_comment("a call that must not be repeated, without an idempotency key")
    await recorder.async_request("POST", DEFECTS, headers=headers, body=b"{}")
    recorder.add_comment("a body that is too large")
    large = b"x" * (MAX_REQUEST_BODY_BYTES + 1)
    await recorder.async_request("POST", PATH_CHAT, headers=headers, body=large)
    check_golden("refusals", recorder.make_transcript(), write=write_golden)


async def test_planned_stop_of_the_router_during_a_stream(
    start_local_fleet: StartLocalFleet, http: aiohttp.ClientSession, write_golden: bool
) -> None:
    fleet = await start_local_fleet(engine_settings=EngineSettings(step_ms=200.0))
    recorder = Recorder(router=fleet.list_caller_addresses()[0], session=http)
    headers = make_headers(fleet.platform.deployments[0].workspaces[0].key) | JSON
    body = write_json(make_chat(stream=True, max_tokens=20))
    answer = await recorder.async_send("POST", PATH_CHAT, headers=headers, body=body)
    router = next(iter(fleet.routers.values()))
    recorder.add_comment("the router is asked to stop while this answer runs")
    drain = asyncio.create_task(router.app.async_drain())
    while not router.app.dump()["gateway"]["closed"]:  # type: ignore[index]
        await router.app.clock.async_sleep(POLL_MS)
    recorder.add_comment("the router takes no new requests")
    await recorder.async_request("POST", PATH_CHAT, headers=headers, body=write_json(make_chat()))
    assert not drain.done()
    recorder.add_comment("the first answer goes on to its end")
    await recorder.async_read(answer)
    await drain
    check_golden("planned_stop", recorder.make_transcript(), write=write_golden)


async def async_wait_until_new_keys_are_accepted(local_fleet: LocalFleet) -> None:
    """Wait until sides accept new keys, because no earlier owner can have run them."""
    clock = next(iter(local_fleet.sides.values())).app.clock
    await clock.async_sleep(LIST_LEASE_MS + MARGIN_MS)
