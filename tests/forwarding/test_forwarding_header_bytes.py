"""Headers with bytes that are no UTF-8, from callers and from upstreams."""

from __future__ import annotations

import asyncio

from forwarding_world import CALLER_KEY, HOST, ForwardingWorld

LATIN_1 = b"caf\xe9 \xff\xfe"
HANG_S = 10


async def async_exchange(world: ForwardingWorld, *lines: bytes) -> bytes:
    """Send one request with further header lines and return all bytes of the answer."""
    address = world.product.addresses["callers"]
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = (
        f"GET /lookup/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 2500\r\n"
        f"Api-Key: {CALLER_KEY}\r\nConnection: close\r\n"
    )
    writer.write(head.encode() + b"".join(line + b"\r\n" for line in lines) + b"\r\n")
    async with asyncio.timeout(HANG_S):
        answer = await reader.read()
    writer.close()
    return answer


async def test_header_of_a_caller_lost_the_bytes_that_are_no_utf8(world: ForwardingWorld) -> None:
    answer = await async_exchange(world, b"X-Note: " + LATIN_1)
    assert answer.startswith(b"HTTP/1.1 200")
    (arrival,) = world.arrivals("r1")
    assert arrival.headers["X-Note"].encode("utf-8", "surrogateescape") == LATIN_1
