"""Requests whose connection to their upstream is opened while the forwarder stands still."""

from __future__ import annotations

import asyncio
import time

import pytest
from dying_world import DyingWorld
from forwarding_world import KEY

from gypsumrouter.forwarding.const import CONNECT_TIMEOUT_MS
from gypsumrouter.instances import Address

PAUSE_S = 1.25 * CONNECT_TIMEOUT_MS / 1_000
# A request is read, placed and sent within as many iterations of the event loop.
ITERATIONS = 20
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: i-1.07.5a2.600.0.c9f2a4d1\r\n"
    b"Connection: close\r\nContent-Length: 2\r\n\r\nok"
)


async def async_answer_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one request, so that each of them needs a connection of its own."""
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    writer.close()


# Guards against a request that is refused, as its sound upstream counts as unreachable: the time in
# which the forwarder stood still counted towards the timeout of the connect.
async def test_request_is_refused_after_a_pause_of_the_forwarder_in_its_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("GYPSUMROUTER_LINK_KEY", KEY)
    server = await asyncio.start_server(async_answer_once, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    statuses = []
    async with server, DyingWorld() as world:
        await world.store.async_put_runner(
            "i-1", service="records", address=Address(host=host, port=port), state="ready"
        )
        await world.async_until(lambda: "i-1" in str(world.product.app.dump()["directory"]))
        for number in range(ITERATIONS):
            asked = asyncio.create_task(world.async_ask(f"r{number}", "/lookup/a", events=False))
            for _ in range(number):
                await asyncio.sleep(0)
            time.sleep(PAUSE_S)  # noqa: ASYNC251
            statuses.append((await asked).status)
    assert statuses == [200] * ITERATIONS
