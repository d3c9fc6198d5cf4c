"""Requests whose callers have left before the router reads that their connections have ended."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import aiohttp
import pytest
from forwarding_world import ForwardingWorld

from gypsumrouter.forwarding.connections import ConnectionPool

SEEN_LATE_S = 0.3


# Guards against a request that is sent on though the end of its caller's connection has arrived: a
# busy router reads that behind the request.
@pytest.mark.parametrize("kept", [True, False], ids=["kept_connection", "new_connection"])
async def test_request_is_sent_on_after_its_caller_has_left(
    world: ForwardingWorld, session: aiohttp.ClientSession, *, kept: bool
) -> None:
    if kept:
        # A request of each leaves a kept connection to both upstreams.
        for number in range(4):
            await world.async_call(session, "GET", "/lookup/a", f"first{number}")
    leave(world, [f"left{number}" for number in range(10)])
    await asyncio.sleep(SEEN_LATE_S)
    started = {request_id for runner in world.records for request_id in runner.ran}
    assert not {request_id for request_id in started if request_id.startswith("left")}


# Guards against the same where the caller leaves while its request waits for a connection.
async def test_request_is_sent_on_after_its_caller_has_left_during_the_connect(
    world: ForwardingWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    address = world.product.addresses["callers"]
    caller = socket.create_connection((address.host, address.port))
    acquire = ConnectionPool.async_acquire
    acquired = asyncio.Event()

    async def async_acquire(*args: Any, **options: Any) -> Any:
        pooled = await acquire(*args, **options)
        caller.close()
        time.sleep(0.05)  # noqa: ASYNC251
        acquired.set()
        return pooled

    monkeypatch.setattr(ConnectionPool, "async_acquire", async_acquire)
    caller.sendall(make_request(world, "left"))
    async with asyncio.timeout(10):
        await acquired.wait()
    await asyncio.sleep(SEEN_LATE_S)
    assert [request_id for runner in world.records for request_id in runner.ran] == []


def make_request(world: ForwardingWorld, request_id: str) -> bytes:
    """Return a request without a body."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in world.headers(request_id).items())
    return f"GET /lookup/a HTTP/1.1\r\n{lines}\r\n".encode()


def leave(world: ForwardingWorld, request_ids: list[str]) -> None:
    """Send requests and close their connections, all while the router reads nothing."""
    address = world.product.addresses["callers"]
    for request_id in request_ids:
        with socket.create_connection((address.host, address.port)) as caller:
            caller.sendall(make_request(world, request_id))
    # The ends of the connections arrive.
    time.sleep(0.05)
