"""Processes that are killed with a stream under way: none of it may look whole to its caller."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
from collections.abc import Iterator

import pytest
from chat_client import DONE, make_chat, make_headers
from daemon_fleet import DaemonFleet

from gypsumrouter.bootstrap import ADDRESS_CALLERS
from gypsumrouter.const import HEADER_CHAT, PATH_CHAT

TOKENS = 300
FEW_TOKENS = 5
TIMEOUT_S = 20
SIGNALS = (signal.SIGKILL, signal.SIGABRT)


@pytest.fixture(autouse=True)
def no_core_dumps() -> Iterator[None]:
    """Let processes that a test aborts leave no core dump."""
    limits = resource.getrlimit(resource.RLIMIT_CORE)
    resource.setrlimit(resource.RLIMIT_CORE, (0, limits[1]))
    yield
    resource.setrlimit(resource.RLIMIT_CORE, limits)


async def async_open(
    daemons: DaemonFleet, *, tokens: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Ask for a stream with HTTP/1.0."""
    address = daemons.router.addresses[ADDRESS_CALLERS]
    reader, writer = await asyncio.open_connection(address.host, address.port)
    body = json.dumps(make_chat(stream=True, max_tokens=tokens)).encode()
    headers = make_headers(daemons.key, **{HEADER_CHAT: "vessel-7"})
    headers |= {"Content-Type": "application/json", "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"POST {PATH_CHAT} HTTP/1.0\r\nHost: a\r\n{lines}\r\n".encode() + body)
    return reader, writer


async def async_read(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return what arrives, and whether the connection ends with a reset."""
    data = b""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while part := await reader.read(65_536):
                data += part
    except ConnectionError:
        return data, True
    return data, False


# Guards against the beginning of a stream that looks whole since its router was killed.
@pytest.mark.parametrize("number", SIGNALS)
async def test_stream_of_a_router_that_is_killed_looks_whole(
    daemons: DaemonFleet, number: signal.Signals
) -> None:
    reader, writer = await async_open(daemons, tokens=TOKENS)
    async with asyncio.timeout(TIMEOUT_S):
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readuntil(b"\n\n")
    assert b" 200 " in head
    daemons.router.send_signal(number)
    events, reset = await async_read(reader)
    assert DONE not in events
    assert reset
    writer.close()


# Guards against the beginning of a stream that looks whole since the side behind it was killed.
@pytest.mark.parametrize("number", SIGNALS)
async def test_stream_of_a_side_that_is_killed_looks_whole(
    daemons: DaemonFleet, number: signal.Signals
) -> None:
    reader, writer = await async_open(daemons, tokens=TOKENS)
    async with asyncio.timeout(TIMEOUT_S):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readuntil(b"\n\n")
    engines = daemons.platform.engines
    daemons.daemons[next(name for name in engines if engines[name].load)].send_signal(number)
    events, reset = await async_read(reader)
    assert DONE not in events
    assert reset or b'"error"' in events
    writer.close()


# Guards against a whole stream that ends with a reset, though its router goes on.
async def test_whole_stream_ends_with_a_reset(daemons: DaemonFleet) -> None:
    reader, writer = await async_open(daemons, tokens=FEW_TOKENS)
    events, reset = await async_read(reader)
    assert events.rstrip().endswith(DONE)
    assert not reset
    writer.close()
