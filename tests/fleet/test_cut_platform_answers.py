"""Answers of the platform to sides and routers that end after any byte."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest
from ending_connections import FRAMINGS, EndingServers, frame_body
from fleet_world import World
from valid_entries import INSTANCE_LIST

from gypsumrouter.configuration.source import Document, HttpConfigurationSource, Unavailable
from gypsumrouter.core import Application
from gypsumrouter.fleet import HttpInstanceListSource, InstanceList, Unchanged
from gypsumrouter.settings import Platform
from gypsumrouter.util.body_formats import is_complete_json

CONFIGURATION = {"version": 7, "routes": []}
DOCUMENT = json.dumps(CONFIGURATION).encode()
WAIT_MS = 10_000
UNCHANGED = b"HTTP/1.1 204 No Content\r\nX-As-Of-Ms: 600\r\n\r\n"

# Serves an answer whose connection ends after it, with a reset or a close; returns the origin.
Serve = Callable[[bytes, bool], Awaitable[str]]


def frame(document: Any, framing: str) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nX-Version: 7\r\nContent-Type: application/json\r\n"
    return frame_body(json.dumps(document).encode(), framing, head=head)


@pytest.fixture
async def serve() -> AsyncIterator[Serve]:
    async with EndingServers() as servers:

        async def async_serve(answer: bytes, resets: bool) -> str:
            async def async_answer(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> bool:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
                return resets

            return f"http://{await servers.async_start(async_answer)}"

        yield async_serve


async def async_fetch(app: Application, origin: str) -> InstanceList | Unchanged | None:
    source = HttpInstanceListSource(app=app, settings=Platform(instances=(origin,)))
    return await source.async_fetch(after_revision=2)


# Guards against a shorter list, or one that counts as confirmed, from an answer that ended early.
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("kind", [*FRAMINGS, "unchanged"])
async def test_instance_list_that_ends_after_any_byte_is_used(
    serve: Serve, world: World, kind: str, resets: bool
) -> None:
    whole = UNCHANGED if kind == "unchanged" else frame(INSTANCE_LIST, kind)
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
