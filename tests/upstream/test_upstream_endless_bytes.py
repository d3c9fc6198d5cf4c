"""Upstreams of a side that send bytes without end: what is read of them is bounded."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from upstream_fakes import POOL

from gypsumrouter.const import UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.helpers.http_response import MAX_ANSWER_BYTES
from gypsumrouter.orders.engine import OrderClient
from gypsumrouter.orders.models import Indeterminate
from gypsumrouter.prefixes.engine import CacheClient
from gypsumrouter.settings import Upstream
from gypsumrouter.standins.endless_upstream import STATES, EndlessUpstream
from gypsumrouter.upstream import ConnectionBroken, Transport

# An answer without end that is valid as far as it goes.
VALID = "unsigned_body"
# Beside the bound: what the buffers of both ends of a connection hold.
MAX_WRITTEN = MAX_ANSWER_BYTES + 8 * 1024 * 1024
ServeEndless = Callable[[str], Awaitable[tuple[EndlessUpstream, Upstream]]]


@pytest.fixture
async def serve_endless() -> AsyncIterator[ServeEndless]:
    """Start an upstream that answers with the bytes of a state, without end."""
    started: list[EndlessUpstream] = []

    async def async_serve(state: str) -> tuple[EndlessUpstream, Upstream]:
        endless = EndlessUpstream(choose=lambda _head: state)
        started.append(endless)
        address = await endless.async_start()
        settings = Upstream(
            pool=POOL, kind=UpstreamKind.ENGINE, host=address.host, port=address.port
        )
        return endless, settings

    yield async_serve
    for endless in started:
        await endless.async_stop()


# Guards against polls and probes that read until their timeout, whatever comes.
@pytest.mark.parametrize("state", STATES.keys())
async def test_answer_to_a_poll_without_end_is_given_up_behind_a_bound(
    app: Application, serve_endless: ServeEndless, state: str
) -> None:
    endless, settings = await serve_endless(state)
    transport = Transport(app=app, settings=settings)
    transport.open_session()
    app.on_stop(transport.async_close)
    # A poll that ends by its timeout has found no bound.
    with pytest.raises((ConnectionBroken, ValueError)):
        await transport.async_fetch_json("/load")
    assert endless.most_written < MAX_WRITTEN


async def test_answer_of_the_cache_api_without_end_is_given_up_behind_a_bound(
    app: Application, serve_endless: ServeEndless
) -> None:
    endless, settings = await serve_endless(VALID)
    client = CacheClient(app=app, settings=settings)
    await client.async_start()
    assert await client.async_export("chat") is None
    assert endless.most_written < MAX_WRITTEN


async def test_answer_of_the_order_api_without_end_is_given_up_behind_a_bound(
    app: Application, serve_endless: ServeEndless
) -> None:
    endless, settings = await serve_endless(VALID)
    client = OrderClient(app=app, settings=settings)
    await client.async_start()
    cancelled = await client.async_cancel("m", find_block_reason=lambda: "")
    assert isinstance(cancelled, Indeterminate)
    assert endless.most_written < MAX_WRITTEN
