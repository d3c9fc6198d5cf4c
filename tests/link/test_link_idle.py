"""Idle links are closed, and opened again on demand."""

from __future__ import annotations

import asyncio

from link_harness import (
    SETTINGS,
    async_read_answer,
    linked,
)
from msgspec.structs import replace

from gypsumrouter.core import Application

IDLE_CLOSE_MS = 50
CLOSED_TIMEOUT_S = 20


# Guards against a dialer that keeps idle links, or can't open them again. The server closes none: a
# request sent before the dialer has seen that is refused, as it never arrived.
async def test_idle_link_is_closed_and_reopened_on_demand() -> None:
    dialer_settings = replace(SETTINGS, idle_close_ms=IDLE_CLOSE_MS)
    async with linked(settings=dialer_settings, server_settings=SETTINGS) as pair:
        await async_read_answer(await pair.async_exchange())
        await pair.relay.async_wait_closed(1)
        body, _ = await async_read_answer(await pair.async_exchange())
        assert (body, pair.relay.accepted) == (b"hello {}", 2)


# Guards against a server that keeps idle links, and a dialer that can't open those again.
async def test_idle_link_that_the_server_closed_is_reopened_on_demand() -> None:
    server_settings = replace(SETTINGS, idle_close_ms=IDLE_CLOSE_MS)
    async with linked(settings=SETTINGS, server_settings=server_settings) as pair:
        await async_read_answer(await pair.async_exchange())
        await pair.relay.async_wait_closed(1)
        async with asyncio.timeout(CLOSED_TIMEOUT_S):
            while count_open_links(pair.pool_app):
                await asyncio.get_running_loop().run_in_executor(None, lambda: None)
        body, _ = await async_read_answer(await pair.async_exchange())
        assert (body, pair.relay.accepted) == (b"hello {}", 2)


def count_open_links(app: Application) -> object:
    dump = app.dump()["link"]
    assert isinstance(dump, dict)
    return dump["open"]
