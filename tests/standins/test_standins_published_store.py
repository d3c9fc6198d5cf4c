"""Store stand-in: a watch that ends while something is written."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp

from gypsumrouter.platform import names
from gypsumrouter.standins import PublishedStoreStandin

WAIT_MS = 100
PAUSE_S = 0.2
# Before the end of the watch; after the pause both are due in the same iteration of the event loop.
WRITTEN_S = 0.02


# Guards against a write that no watch returns: the watch that ended beside it stated its revision,
# and left it out.
async def test_write_beside_the_end_of_a_watch_is_in_its_answer(
    session: aiohttp.ClientSession,
) -> None:
    store = PublishedStoreStandin()
    address = await store.async_start()
    before = store.revision

    async def async_watch() -> dict[str, Any]:
        query = f"prefix=a&after={before}&wait_ms={WAIT_MS}"
        async with session.get(f"http://{address}{names.CALL_WATCH}?{query}") as response:
            content: dict[str, Any] = await response.json()
            return content

    watching = asyncio.create_task(async_watch())
    async with asyncio.timeout(10):
        while not store.calls:  # noqa: ASYNC110
            await asyncio.sleep(0)
    asyncio.get_running_loop().call_later(WRITTEN_S / 2, time.sleep, PAUSE_S)
    await asyncio.sleep(WRITTEN_S)
    await store.async_put("a", {})
    answer = await watching
    await store.async_stop()
    written = [event["revision"] for event in answer["events"]]
    assert (written, answer["as_of"]) in (([before + 1], before + 1), ([], before))
