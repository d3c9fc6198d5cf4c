"""Requests that are still arriving at a router with sides when it drains."""

from __future__ import annotations

import asyncio
import json

import pytest
from gateway_fakes import AUTHORIZED, CHAT, RouterHarness

from gypsumrouter.gateway.const import DRAIN_DELAY_MS

HANG_S = 10
STEP_MS = 100
BODY = json.dumps(CHAT).encode()
LINES = [
    "POST /v1/chat/completions HTTP/1.1",
    "Host: router.example",
    "Content-Type: application/json",
    *(f"{name}: {value}" for name, value in AUTHORIZED.items()),
    f"Content-Length: {len(BODY)}",
]
HEAD = "\r\n".join([*LINES, "", ""]).encode()
CUTS = {"half_a_head": len(HEAD) // 2, "half_a_body": len(HEAD) + len(BODY) // 2}


async def async_send(
    router: RouterHarness, data: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a part of a request, and return once the router has read it."""
    reader, writer = await asyncio.open_connection(router.address.host, router.address.port)
    writer.write(data)
    for _ in range(3):
        async with router.http.get(f"{router.url}/v1/models", headers=AUTHORIZED) as listed:
            assert listed.status == 200
    return reader, writer


async def async_read_status(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(HANG_S):
        return (await reader.readuntil(b"\r\n\r\n"))[: len(b"HTTP/1.1 503")]


# Guards against silence towards callers whose requests do not end before the process has to.
@pytest.mark.parametrize("cut", CUTS.values(), ids=CUTS.keys())
async def test_request_that_never_ends_is_refused_before_a_drain_runs_out(
    router: RouterHarness, cut: int
) -> None:
    router.fleet.age_ms = 0
    reader, writer = await async_send(router, (HEAD + BODY)[:cut])
    drain = asyncio.create_task(router.app.async_drain())
    answer = asyncio.create_task(async_read_status(reader))
    await router.async_wait_until(answer.done, step_ms=STEP_MS)
    assert answer.result() == b"HTTP/1.1 503"
    writer.close()
    await router.async_wait_until(drain.done, step_ms=STEP_MS)


# Guards against a drain that ends, and closes the connection, while a head is half in.
async def test_request_whose_head_was_half_in_at_a_drain_is_answered(
    router: RouterHarness,
) -> None:
    cut = CUTS["half_a_head"]
    reader, writer = await async_send(router, HEAD[:cut])
    drain = asyncio.create_task(router.app.async_drain())
    await asyncio.sleep(0)
    router.clock.advance(DRAIN_DELAY_MS)
    for _ in range(10):
        await asyncio.sleep(0)
    assert not drain.done()
    writer.write(HEAD[cut:] + BODY)
    assert await async_read_status(reader) == b"HTTP/1.1 503"
    writer.close()
    await router.async_wait_until(drain.done, step_ms=STEP_MS)
