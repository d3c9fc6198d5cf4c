"""Requests whose callers have left before the router reads that their connections have ended."""

from __future__ import annotations

import asyncio
import socket
import time

import aiohttp
import pytest
from forwarding_world import ForwardingWorld

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


def leave(world: ForwardingWorld, request_ids: list[str]) -> None:
    """Send requests and close their connections, all while the router reads nothing."""
    address = world.product.addresses["callers"]
    for request_id in request_ids:
        with socket.create_connection((address.host, address.port)) as caller:
            lines = "".join(
                f"{name}: {value}\r\n" for name, value in world.headers(request_id).items()
            )
            caller.sendall(f"GET /lookup/a HTTP/1.1\r\n{lines}\r\n".encode())
    # The ends of the connections arrive.
    time.sleep(0.05)
