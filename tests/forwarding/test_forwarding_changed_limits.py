"""Limits that grow or shrink while connections are open: the newest ones hold for them, too."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

import pytest
from forwarding_world import ForwardingWorld, make_configuration

MARGIN = "gypsumrouter.forwarding.forwarder.CALLER_TIMEOUT_MARGIN_MS"
SHORT_MS = 300
LONG_MS = 8_000
LIMITS = {
    "max_header_bytes": 2_000,
    "max_body_bytes": 100_000,
    "header_timeout_ms": LONG_MS,
    "idle_timeout_ms": LONG_MS,
}
HANG_S = 20
HEAD_START = "GET /open/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: {}\r\n"
HEAD_END = "X-Deadline-Ms: 2500\r\n\r\n"


async def async_publish(world: ForwardingWorld, version: int, **more: int) -> None:
    await world.async_publish(make_configuration(version, limits=LIMITS | more))


class Caller:
    """A caller's connection that is kept open."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    def send(self, text: str) -> None:
        self._writer.write(text.encode())

    async def async_read(self) -> str:
        """Return the status line of the next answer, empty if the connection was closed."""
        try:
            async with asyncio.timeout(HANG_S):
                head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
                length = int(head.lower().partition("content-length: ")[2].partition("\r\n")[0])
                await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return ""
        return head.partition("\r\n")[0]

    async def async_call(self, request_id: str, fill: str = "") -> str:
        self.send(HEAD_START.format(request_id) + fill + HEAD_END)
        return await self.async_read()

    def close(self) -> None:
        self._writer.close()


async def async_connect(world: ForwardingWorld) -> Caller:
    address = world.product.addresses["callers"]
    return Caller(*await asyncio.open_connection(address.host, address.port))


@pytest.mark.parametrize("used", [False, True])
async def test_idle_connection_is_not_closed_before_an_idle_timeout_that_has_grown(
    world: ForwardingWorld, used: bool
) -> None:
    """Callers reuse a connection for four fifths of the newest limit, and lose a request else."""
    with patch(MARGIN, 0):
        await async_publish(world, 2, idle_timeout_ms=SHORT_MS)
        caller = await async_connect(world)
        if used:
            assert "200" in await caller.async_call("r-1")
        await async_publish(world, 3)
        await asyncio.sleep(3 * SHORT_MS / 1_000)
        assert "200" in await caller.async_call("r-2")
        await asyncio.sleep(3 * SHORT_MS / 1_000)
        assert "200" in await caller.async_call("r-3")
        caller.close()


@pytest.mark.parametrize("begun", [False, True])
async def test_slow_head_is_not_cut_before_a_head_timeout_that_has_grown(
    world: ForwardingWorld, begun: bool
) -> None:
    """The head begins before or after the limit has grown."""
    with patch(MARGIN, 0):
        await async_publish(world, 2, header_timeout_ms=SHORT_MS)
        caller = await async_connect(world)
        assert "200" in await caller.async_call("r-1")
        if begun:
            caller.send(HEAD_START.format("r-2"))
        await async_publish(world, 3)
        if not begun:
            caller.send(HEAD_START.format("r-2"))
        await asyncio.sleep(3 * SHORT_MS / 1_000)
        caller.send(HEAD_END)
        assert "200" in await caller.async_read()
        caller.close()


@pytest.mark.parametrize("begun", [False, True])
async def test_slow_body_is_not_refused_before_an_idle_timeout_that_has_grown(
    world: ForwardingWorld, begun: bool
) -> None:
    """The body pauses for longer than the older limit; it begins before or after the change."""
    await async_publish(world, 2, idle_timeout_ms=SHORT_MS)
    caller = await async_connect(world)
    head = HEAD_START.format("r-1") + "Content-Length: 8\r\n" + HEAD_END
    if begun:
        caller.send(head + "half")
    await async_publish(world, 3)
    if not begun:
        caller.send(head + "half")
    await asyncio.sleep(3 * SHORT_MS / 1_000)
    caller.send("half")
    assert "200" in await caller.async_read()
    caller.close()


async def test_body_that_pauses_for_longer_than_an_idle_timeout_that_has_shrunk_is_refused(
    world: ForwardingWorld,
) -> None:
    await async_publish(world, 2)
    caller = await async_connect(world)
    await async_publish(world, 3, idle_timeout_ms=SHORT_MS)
    caller.send(HEAD_START.format("r-1") + "Content-Length: 8\r\n" + HEAD_END + "half")
    assert "408" in await caller.async_read()
    caller.close()
    assert not world.arrivals("r-1")


@pytest.mark.parametrize("used", [False, True])
async def test_large_head_on_a_kept_connection_is_accepted_once_its_size_is_allowed(
    world: ForwardingWorld, used: bool
) -> None:
    """A refusal by the limit of an older configuration denies a proper request."""
    await async_publish(world, 2)
    caller = await async_connect(world)
    if used:
        assert "200" in await caller.async_call("r-1")
    await async_publish(world, 3, max_header_bytes=20_000)
    assert "200" in await caller.async_call("r-2", f"X-Fill: {'x' * 5_000}\r\n")
    caller.close()


async def test_large_head_on_a_kept_connection_is_refused_once_its_size_is_not_allowed(
    world: ForwardingWorld,
) -> None:
    await async_publish(world, 2, max_header_bytes=20_000)
    caller = await async_connect(world)
    assert "200" in await caller.async_call("r-1", f"X-Fill: {'x' * 5_000}\r\n")
    await async_publish(world, 3)
    assert "431" in await caller.async_call("r-2", f"X-Fill: {'x' * 5_000}\r\n")
    caller.close()
    assert not world.arrivals("r-2")


async def test_idle_connection_is_closed_after_an_idle_timeout_that_has_shrunk(
    world: ForwardingWorld,
) -> None:
    """It may stay open for as long as the limit allowed when it was opened."""
    with patch(MARGIN, 0):
        await async_publish(world, 2, idle_timeout_ms=1_500)
        caller = await async_connect(world)
        assert "200" in await caller.async_call("r-1")
        await async_publish(world, 3, idle_timeout_ms=SHORT_MS)
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert await caller.async_read() == ""
        assert 0.8 * SHORT_MS / 1_000 < loop.time() - began < HANG_S
        caller.close()
