"""Answers of the platform to sides and routers that end after any byte."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from typing import Any

import pytest
from fleet_world import World

from gypsumrouter.configuration.source import Document, HttpConfigurationSource, Unavailable
from gypsumrouter.core import Application
from gypsumrouter.fleet import HttpInstanceListSource, InstanceList, Unchanged
from gypsumrouter.settings import Platform
from gypsumrouter.util.body_formats import is_complete_json

RESET_LINGER = struct.pack("ii", 1, 0)
FRAMINGS = ("length", "chunked", "neither")
ENTRY = {
    "name": "e0",
    "role": "side",
    "host": "10.0.0.1",
    "port": 7000,
    "data_centre": "dc1",
    "region": "r",
    "pool": "engines",
    "weight": 2.0,
    "state": "leaving",
}
LISTED = {"revision": 3, "as_of_ms": 500, "instances": [ENTRY]}
CONFIGURATION = {"version": 7, "routes": []}
DOCUMENT = json.dumps(CONFIGURATION).encode()
WAIT_MS = 10_000
UNCHANGED = b"HTTP/1.1 204 No Content\r\nX-As-Of-Ms: 600\r\n\r\n"

# Serves an answer whose connection ends after it, with a reset or a close; returns the origin.
Serve = Callable[[bytes, bool], Awaitable[str]]


def frame(document: Any, framing: str) -> bytes:
    body = json.dumps(document).encode()
    head = b"HTTP/1.1 200 OK\r\nX-Version: 7\r\nContent-Type: application/json\r\n"
    match framing:
        case "length":
            return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        case "chunked":
            head += b"Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n"
            return head + b"%x;a=b\r\n%b\r\n0\r\nT: v\r\n\r\n" % (len(body), body)
        case _:
            return head + b"Connection: close\r\n\r\n" + body


@pytest.fixture
async def serve() -> AsyncIterator[Serve]:
    servers: list[asyncio.Server] = []

    async def async_handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answer: bytes, resets: bool
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            if resets:
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                writer.transport.abort()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def async_serve(answer: bytes, resets: bool) -> str:
        handle = partial(async_handle, answer=answer, resets=resets)
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        servers.append(server)
        return f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"

    yield async_serve
    for server in servers:
        server.close()


async def async_fetch(app: Application, origin: str) -> InstanceList | Unchanged | None:
    source = HttpInstanceListSource(app=app, settings=Platform(instances=(origin,)))
    return await source.async_fetch(after_revision=2)


# Guards against a shorter list, or one that counts as confirmed, from an answer that ended early.
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("kind", [*FRAMINGS, "unchanged"])
async def test_instance_list_that_ends_after_any_byte_is_used(
    serve: Serve, world: World, kind: str, resets: bool
) -> None:
    whole = UNCHANGED if kind == "unchanged" else frame(LISTED, kind)
    assert await async_fetch(world.app, await serve(whole, False)) is not None
    for cut in range(len(whole)):
        assert await async_fetch(world.app, await serve(whole[:cut], resets)) is None, cut


# Guards against a configuration that is shorter than the published one.
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_configuration_that_ends_after_any_byte_is_a_document(
    serve: Serve, world: World, framing: str, resets: bool
) -> None:
    whole = frame(CONFIGURATION, framing)
    origins = [await serve(whole[:cut], resets) for cut in range(len(whole))]
    # Each call is made to the next origin.
    source = HttpConfigurationSource(app=world.app, origins=(*origins, await serve(whole, False)))
    answers = [await source.async_watch(after=6, timeout_ms=WAIT_MS) for _ in range(len(whole) + 1)]
    documents = [answer.body for answer in answers if isinstance(answer, Document)]
    assert [body for body in documents if is_complete_json(body)] == [DOCUMENT]
    assert all(isinstance(answer, Document | Unavailable) for answer in answers)
    # Without a length or chunks, the checks of the document find that it is no JSON.
    assert len(documents) == 1 or framing == "neither"
