"""Upstreams that answer before they have read a long body, and read it later."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from cut_heads import CuttingRunner, CuttingWorld, read_head
from forwarding_world import CALLER_KEY, HOST

BODY_BYTES = 90_000
READ_LATER_S = 0.5
TIMEOUT_S = 10
REQUESTS = 5


class EarlyRunner(CuttingRunner):
    """Answers each head at once, and reads the body that belongs to it later."""

    def __init__(self, *, name: str, closes: bool) -> None:
        super().__init__(name=name, scripts={})
        self._closes = closes
        self.bodies: list[bytes] = []

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                target, headers = read_head(await reader.readuntil(b"\r\n\r\n"))
                play = self._take(target, headers, 1)
                writer.write(play.data)
                if "x-request-id" not in headers:
                    continue
                if self._closes:
                    await writer.drain()
                    break
                await asyncio.sleep(READ_LATER_S)
                self.bodies.append(await reader.readexactly(int(headers["content-length"])))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


@pytest.fixture(params=[False, True], ids=["reads_later", "closes"])
async def world(link_key: None, request: pytest.FixtureRequest) -> AsyncIterator[CuttingWorld]:
    world = CuttingWorld(runners=1)
    world.cutting = [EarlyRunner(name="i-0", closes=request.param)]
    async with world:
        yield world


# Guards against a connection that is lost by an answer that comes before the body is read, and
# against bytes of a body where the next request is due.
async def test_early_answer_loses_the_connection_of_its_caller(world: CuttingWorld) -> None:
    address = world.product.addresses["callers"]
    reader, writer = await asyncio.open_connection(address.host, address.port)
    names = [f"r{number}" for number in range(REQUESTS)]
    async with asyncio.timeout(TIMEOUT_S):
        for name in names:
            writer.write(
                f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n"
                f"X-Deadline-Ms: 8000\r\nApi-Key: {CALLER_KEY}\r\n"
                f"Content-Length: {BODY_BYTES}\r\n\r\n".encode() + name[-1:].encode() * BODY_BYTES
            )
            head = await reader.readuntil(b"\r\n\r\n")
            headers = read_head(head)[1]
            await reader.readexactly(int(headers["content-length"]))
            assert (head.split(b" ")[1], headers.get("connection")) == (b"200", None)
    writer.close()
    (runner,) = world.cutting
    assert [arrived for arrived, _ in runner.arrivals] == names
    assert isinstance(runner, EarlyRunner)
    assert all(body == body[:1] * BODY_BYTES for body in runner.bodies)
