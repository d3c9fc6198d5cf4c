"""Limits from the configuration on callers' heads, bodies and idle connections."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

import aiohttp
import pytest
from forwarding_world import ForwardingWorld, make_configuration

MARGIN = "gypsumrouter.forwarding.forwarder.CALLER_TIMEOUT_MARGIN_MS"
LIMITS = {
    "max_header_bytes": 2_000,
    "max_body_bytes": 100_000,
    "header_timeout_ms": 100,
    "idle_timeout_ms": 8_000,
}
SHORT_IDLE_MS = 300
HANG_S = 20
LOOKUP = (
    "GET /open/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: 2500\r\n\r\n"
)


async def async_publish_limits(world: ForwardingWorld, **more: int) -> None:
    await world.async_publish(make_configuration(2, limits=LIMITS | more))


async def async_connect(
    world: ForwardingWorld,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    address = world.product.addresses["callers"]
    return await asyncio.open_connection(address.host, address.port)


async def async_measure_close(reader: asyncio.StreamReader) -> float:
    """Return the milliseconds until the connection was closed without sending a byte."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.timeout(HANG_S):
        assert await reader.read() == b""
    return 1000 * (loop.time() - began)


async def test_head_above_the_size_limit_is_rejected_and_not_forwarded(
    world: ForwardingWorld, session: aiohttp.ClientSession
) -> None:
    await async_publish_limits(world)
    large = {f"X-Fill-{number}": "x" * 500 for number in range(5)}
    status, body, _ = await world.async_call(session, "GET", "/open/a", "r-1", extra=large)
    assert status == 431
    assert b'"executed": "not_run"' in body
    assert world.arrivals("r-1") == []
    status, _, _ = await world.async_call(session, "GET", "/open/a", "r-2")
    assert status == 200


async def test_connection_with_an_incomplete_head_is_closed_after_the_head_timeout(
    world: ForwardingWorld,
) -> None:
    await async_publish_limits(world)
    with patch(MARGIN, 0):
        reader, writer = await async_connect(world)
        writer.write(b"GET /open/a HTTP/1.1\r\nHost: a")
        elapsed_ms = await async_measure_close(reader)
    writer.close()
    assert elapsed_ms < LIMITS["idle_timeout_ms"]


async def test_incomplete_second_head_is_subject_to_the_head_timeout(
    world: ForwardingWorld,
) -> None:
    await async_publish_limits(world)
    with patch(MARGIN, 0):
        reader, writer = await async_connect(world)
        writer.write(LOOKUP.format("r-1").encode())
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        await reader.readexactly(length)
        writer.write(b"GET /open/b HTTP/1.1\r\nHost: a")
        elapsed_ms = await async_measure_close(reader)
    writer.close()
    assert elapsed_ms < LIMITS["idle_timeout_ms"]


@pytest.mark.parametrize("bytes_before", [b"", LOOKUP.format("r-1").encode()])
async def test_idle_connection_is_closed_after_the_idle_timeout(
    world: ForwardingWorld, bytes_before: bytes
) -> None:
    """Callers reuse a connection until four fifths of the idle timeout."""
    await async_publish_limits(world, idle_timeout_ms=SHORT_IDLE_MS)
    with patch(MARGIN, 0):
        reader, writer = await async_connect(world)
        if bytes_before:
            writer.write(bytes_before)
            await reader.readuntil(b"\r\n\r\n")
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.timeout(HANG_S):
            await reader.read()
        elapsed_ms = 1000 * (loop.time() - began)
    writer.close()
    assert elapsed_ms > 0.8 * SHORT_IDLE_MS


async def test_remainder_of_a_rejected_body_does_not_start_the_head_timeout(
    world: ForwardingWorld,
) -> None:
    """The connection stays open for the idle timeout, which is longer."""
    await async_publish_limits(world)
    size = LIMITS["max_body_bytes"] + 1
    head = f"POST /open/a HTTP/1.1\r\nHost: api.example\r\nContent-Length: {size}\r\n\r\n"
    with patch(MARGIN, 0):
        reader, writer = await async_connect(world)
        writer.write(head.encode() + b"x" * 10)
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 413")
        length = int(answer.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        await reader.readexactly(length)
        writer.write(b"x" * (size - 10))
        await asyncio.sleep(2 * LIMITS["header_timeout_ms"] / 1_000)
        writer.write(LOOKUP.format("r-9").encode())
        async with asyncio.timeout(HANG_S):
            answer = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert answer.startswith(b"HTTP/1.1 200")
