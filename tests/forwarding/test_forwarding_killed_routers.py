"""Routers that are killed with an answer under way: none of it may look whole to its caller."""

from __future__ import annotations

import asyncio
import resource
import signal
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import pytest
from dying_world import Seen, read_answer
from stopping_world import StoppingWorld

from bench.raw_caller import make_head

STOP_MS = 8_000
PAUSE_S = 0.1
TOKENS = 40
TIMEOUT_S = 20
SIGNALS = (signal.SIGKILL, signal.SIGABRT)
VERSIONS = ("1.0", "1.1")


@pytest.fixture
def no_core_dumps() -> Iterator[None]:
    """Let processes that a test aborts leave no core dump."""
    limits = resource.getrlimit(resource.RLIMIT_CORE)
    resource.setrlimit(resource.RLIMIT_CORE, (0, limits[1]))
    yield
    resource.setrlimit(resource.RLIMIT_CORE, limits)


@pytest.fixture
async def stopping(tmp_path: Path, no_core_dumps: None) -> AsyncIterator[StoppingWorld]:
    async with StoppingWorld(folder=tmp_path, stop_ms=STOP_MS, pause_s=PAUSE_S) as world:
        yield world


async def async_begin(
    world: StoppingWorld, request_id: str, *, version: str, tokens: int = TOKENS
) -> asyncio.Task[Seen]:
    """Ask for a stream, and return its answer, whose first event has arrived."""
    address = world.processes[0].addresses["callers"]
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = make_head(request_id, "/draft/a", tokens).removesuffix(b"\r\n")
    head += b"Connection: close\r\n\r\n"
    writer.write(head.replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
    async with asyncio.timeout(TIMEOUT_S):
        begun = await reader.readuntil(b"\n\n")
    return asyncio.create_task(_async_read(reader, writer, begun))


async def _async_read(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, received: bytes
) -> Seen:
    reset = False
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while part := await reader.read(65_536):
                received += part
    except ConnectionError:
        reset = True
    writer.close()
    return read_answer(received, reset=reset)


# Guards against the beginning of a stream that looks whole since its router was killed.
@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("number", SIGNALS)
async def test_stream_of_a_router_that_is_killed_looks_whole(
    stopping: StoppingWorld, number: signal.Signals, version: str
) -> None:
    asked = [await async_begin(stopping, f"r{n}", version=version) for n in range(4)]
    stopping.processes[0].send_signal(number)
    for seen in await asyncio.gather(*asked):
        assert (seen.status, bool(seen.body), seen.whole) == (200, True, False)


# Guards against a whole stream that ends with a reset, though its router goes on.
@pytest.mark.parametrize("version", VERSIONS)
async def test_whole_stream_ends_with_a_reset(stopping: StoppingWorld, version: str) -> None:
    asked = [await async_begin(stopping, f"r{n}", version=version, tokens=5) for n in range(4)]
    for seen in await asyncio.gather(*asked):
        assert (seen.status, seen.body.count(b"\n\n"), seen.whole) == (200, 5, True)
