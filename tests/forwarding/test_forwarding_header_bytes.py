"""Headers with bytes that are no UTF-8, from callers and from upstreams."""

from __future__ import annotations

import asyncio

from forwarding_world import CALLER_KEY, HOST, ForwardingWorld

from gypsumrouter.instances import Address

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


async def async_answer_in_latin_1(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the requests of a connection with a header that is no UTF-8."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = head.lower().partition(b"x-request-id: ")[2].partition(b"\r\n")[0]
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Server-Stamp: i-9.07.5a2.600.0.c9f2a4d1\r\nX-Request-Id: "
                + request_id
                + b"\r\nX-Note: "
                + LATIN_1
                + b"\r\nContent-Length: 2\r\n\r\nok"
            )
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        writer.close()


async def test_header_of_an_upstream_lost_the_bytes_that_are_no_utf8(
    world: ForwardingWorld,
) -> None:
    server = await asyncio.start_server(async_answer_in_latin_1, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with server:
        for runner in world.records:
            await world.store.async_remove(f"servers/{runner.name}")
        await world.store.async_put_runner(
            "i-9", service="records", address=Address(host=host, port=port), state="ready"
        )
        await world.async_until(lambda: "i-9" in str(world.product.app.dump()["directory"]))
        answer = await async_exchange(world)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"X-Note: " + LATIN_1 in answer
