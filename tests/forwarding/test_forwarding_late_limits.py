"""A process that is late at a request's limit reads first what has arrived until then."""

from __future__ import annotations

import asyncio
import socket

import pytest
from aiohttp import web

from gypsumrouter.forwarding.request_limit import RequestLimit

LIMIT_MS = 20
ANSWER = b"not run\n"


async def _async_read(reader: asyncio.StreamReader, *, tasks: int) -> bytes:
    """Return a line that comes through a number of tasks."""
    if not tasks:
        return await reader.readline()
    return await asyncio.create_task(_async_read(reader, tasks=tasks - 1))


async def _async_run(
    writer: socket.socket, reader: asyncio.StreamReader, answer: bytes, *, tasks: int = 0
) -> str:
    """Stand still from before an answer until behind the limit; return what the request gets."""
    loop = asyncio.get_running_loop()

    def stand_still() -> None:
        writer.send(answer)
        until_s = loop.time() + 2 * LIMIT_MS / 1_000
        while loop.time() < until_s:
            pass

    async def async_attempt() -> web.StreamResponse:
        return web.Response(body=await _async_read(reader, tasks=tasks))

    loop.call_soon(stand_still)
    limit = RequestLimit()
    response = await limit.async_run(async_attempt(), remaining_ms=LIMIT_MS, unanswered_ms=LIMIT_MS)
    assert isinstance(response, web.Response)
    return response.text or ""


# Guards against a 504, may have run, in place of the upstream's word that it has not: the word had
# arrived in time.
@pytest.mark.parametrize("tasks", [0, 2, 4])
async def test_answer_that_arrived_before_the_limit_is_not_read(tasks: int) -> None:
    ours, theirs = socket.socketpair()
    with theirs:
        reader, writer = await asyncio.open_connection(sock=ours)
        text = await _async_run(theirs, reader, ANSWER, tasks=tasks)
        assert text == ANSWER.decode()
        writer.close()


async def test_request_without_an_answer_outlives_its_limit() -> None:
    ours, theirs = socket.socketpair()
    with theirs:
        reader, writer = await asyncio.open_connection(sock=ours)
        with pytest.raises(TimeoutError):
            await _async_run(theirs, reader, b"half")
        writer.close()
