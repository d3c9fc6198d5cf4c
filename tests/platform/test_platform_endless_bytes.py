"""Answers of upstreams and of the store that do not end: what is read of them is bounded."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from gypsumrouter.helpers.http_connection import HttpConnection, async_connect
from gypsumrouter.helpers.http_response import (
    MAX_ANSWER_BYTES,
    MAX_PAGE_BYTES,
    ConnectionBroken,
)
from gypsumrouter.instances import Address
from gypsumrouter.platform.engines import async_list_cached_parts, async_read_start
from gypsumrouter.platform.store import StoreClient
from gypsumrouter.published.models import StoreUnavailable
from gypsumrouter.standins.endless_upstream import EndlessUpstream

CONNECT_TIMEOUT_MS = 1_000
# An answer without end that is valid as far as it goes.
VALID = "unsigned_body"


@pytest.fixture
async def endless() -> AsyncIterator[EndlessUpstream]:
    """Return an upstream that answers each question with a body without end."""
    upstream = EndlessUpstream(choose=lambda _head: VALID)
    yield upstream
    await upstream.async_stop()


# Guards against the answers to many questions at a time that each take megabytes.
@pytest.mark.parametrize("ask", [async_read_start, async_list_cached_parts])
async def test_answer_to_a_question_without_end_is_given_up_early(
    endless: EndlessUpstream, ask: Callable[[HttpConnection], Awaitable[object]]
) -> None:
    address: Address = await endless.async_start()
    connection = await async_connect(address=address, timeout_ms=CONNECT_TIMEOUT_MS)
    with pytest.raises(ConnectionBroken, match="has more than"):
        await ask(connection)
    connection.close()
    assert endless.most_written < MAX_ANSWER_BYTES


@pytest.mark.parametrize("call", ["list", "watch"])
async def test_answer_of_the_store_without_end_is_given_up(
    endless: EndlessUpstream, call: str
) -> None:
    client = StoreClient(address=await endless.async_start(), prefix="x/")
    with pytest.raises(StoreUnavailable, match="has more than"):
        await (client.async_list() if call == "list" else client.async_watch(after=1, wait_ms=1))


# Guards against lists that are bounded page by page, and whose pages do not end.
async def test_list_of_valid_pages_without_end_is_given_up_behind_a_size() -> None:
    key = "k" * (MAX_PAGE_BYTES // 4)
    page = {"as_of": 5, "more_pages": True, "items": [{"key": "a", "padding": key}]}
    body = json.dumps(page).encode()
    pages = 0
    closed = asyncio.Event()

    async def async_handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal pages
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, OSError):
                writer.close()
                closed.set()
                return
            pages += 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    server = await asyncio.start_server(async_handle, "127.0.0.1", 0)
    client = StoreClient(
        address=Address(host="127.0.0.1", port=server.sockets[0].getsockname()[1]), prefix="x/"
    )
    with pytest.raises(StoreUnavailable, match="not complete"):
        await client.async_list()
    client.close()
    await closed.wait()
    server.close()
    assert pages == 4
