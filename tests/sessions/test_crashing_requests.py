"""A request that crashes its upstreams is rejected after two crashes, although it is retried."""

from __future__ import annotations

import aiohttp
from chat_client import make_chat, make_headers
from small_deployment import StartLocalFleet

from gypsumrouter.const import PATH_CHAT
from gypsumrouter.standins import EngineSettings

MARKER = "boom"
MAX_UPSTREAMS_LOST = 2


async def test_crashing_request_is_rejected_after_at_most_two_upstream_crashes(
    start_local_fleet: StartLocalFleet,
) -> None:
    settings = EngineSettings(crash_marker=MARKER, restart_ms=200)
    fleet = await start_local_fleet(engine_settings=settings, routers=2)
    headers = make_headers(fleet.platform.deployments[0].workspaces[0].key)
    codes = []
    async with aiohttp.ClientSession() as session:
        for attempt in range(6):
            router = fleet.list_caller_addresses()[attempt % 2]
            async with session.post(
                f"http://{router}{PATH_CHAT}", json=make_chat(content=MARKER), headers=headers
            ) as response:
                codes.append((await response.json())["error"]["code"])
            await fleet.async_wait_ready()
        async with session.post(
            f"http://{router}{PATH_CHAT}", json=make_chat(max_tokens=2), headers=headers
        ) as response:
            assert response.status == 200
    crashes = sum(engine.counts.crashes for engine in fleet.platform.engines.values())
    assert crashes <= MAX_UPSTREAMS_LOST
    assert codes[-1] == "suspect"
