"""Answers of the store, and of engines to the router's questions, that end after any byte."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest
from ending_connections import FRAMINGS, EndingServers, frame_body

from gypsumrouter.helpers.http_connection import HttpConnection, async_connect
from gypsumrouter.helpers.http_response import ConnectionBroken
from gypsumrouter.instances import Address
from gypsumrouter.platform.engines import async_list_cached_parts, async_read_start
from gypsumrouter.platform.store import StoreClient
from gypsumrouter.published.models import HistoryLost, ItemBatch, StoreUnavailable
from gypsumrouter.util.revisions import make_revision

ERA = 1
ITEM = {"key": "op/config", "revision": 7, "value": base64.b64encode(b"{}").decode()}
OTHER = {"key": "op/evacuate/dc-a", "revision": 8, "value": ""}
FIRST_PAGE = {"items": [ITEM], "more_pages": True, "as_of": 9}
LAST_PAGE = {"items": [OTHER], "more_pages": False, "as_of": 9}
CHANGES = {"events": [{"key": "op/config", "revision": 7, "tombstone": True}], "as_of": 9}
WAIT_MS = 10_000

# Answers of the upstream, one for each request, and whether it resets its connection after the
# last one; the connection ends there.
Serve = Callable[[list[bytes], bool], Awaitable[Address]]


def frame(document: Any, framing: str, *, status: str = "200 OK") -> bytes:
    """Return a whole answer, with interim ones before it where it has a length."""
    head = f"HTTP/1.1 {status}\r\nStore-Era: {ERA}\r\nContent-Type: application/json\r\n"
    whole = frame_body(json.dumps(document).encode(), framing, head=head.encode())
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    return interim + whole if framing == "length" else whole


@pytest.fixture
async def serve() -> AsyncIterator[Serve]:
    async with EndingServers() as servers:

        async def async_serve(answers: list[bytes], resets: bool) -> Address:
            async def async_answer(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> bool:
                for answer in answers:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(answer)
                    await writer.drain()
                return resets

            return await servers.async_start(async_answer)

        yield async_serve


async def async_read_list(address: Address) -> ItemBatch | HistoryLost | None:
    """Return a list, None if the store counts as unavailable."""
    store = StoreClient(address=address, prefix="op/")
    try:
        return await store.async_list()
    except StoreUnavailable:
        return None
    finally:
        store.close()


async def async_read_changes(address: Address) -> ItemBatch | HistoryLost | None:
    """Return changes, None if the store counts as unavailable."""
    store = StoreClient(address=address, prefix="op/")
    try:
        after = make_revision(epoch=ERA, number=5)
        return await store.async_watch(after=after, wait_ms=WAIT_MS)
    except StoreUnavailable:
        return None
    finally:
        store.close()


# Guards against a shorter list, and so a removed configuration, of a store whose answer ended.
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("page", [1, 2])
async def test_page_of_a_list_that_ends_after_any_byte_shortens_the_list(
    serve: Serve, page: int, framing: str, resets: bool
) -> None:
    before = [frame(FIRST_PAGE, "length")] if page == 2 else []
    whole = frame(LAST_PAGE, framing)
    read = await async_read_list(await serve([*before, whole], False))
    assert isinstance(read, ItemBatch)
    assert len(read.items) == page
    for cut in range(len(whole)):
        address = await serve([*before, whole[:cut]], resets)
        assert await async_read_list(address) is None, cut


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_changes_that_end_after_any_byte_are_applied_or_skipped(
    serve: Serve, framing: str, resets: bool
) -> None:
    """Guards against changes that count as seen, and a removal that nobody wrote."""
    whole = frame(CHANGES, framing)
    read = await async_read_changes(await serve([whole], False))
    assert isinstance(read, ItemBatch)
    assert [item.value for item in read.items] == [None]
    for cut in range(len(whole)):
        assert await async_read_changes(await serve([whole[:cut]], resets)) is None, cut


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("status", ["410 Gone", "404 Not Found"])
async def test_status_of_the_store_in_a_head_that_ends_after_any_byte_is_acted_upon(
    serve: Serve, status: str, resets: bool
) -> None:
    """Guards against a lost history, or a removed item, that a store did not state."""
    whole = frame({"error": "gone"}, "length", status=status)
    for cut in range(len(whole)):
        assert await async_read_list(await serve([whole[:cut]], resets)) is None, cut
        assert await async_read_changes(await serve([whole[:cut]], resets)) is None, cut


Question = Callable[[HttpConnection], Awaitable[Any]]
QUESTIONS: dict[str, tuple[Question, dict[str, Any]]] = {
    "report": (async_read_start, {"sequence": 4, "born": 1_700_000_000_000}),
    "listing": (
        async_list_cached_parts,
        {"held": [["", "a1", 800, "m"], ["", "b2", 400, "m"]], "born": 1_700_000_000_000},
    ),
}


# Guards against an engine that counts as started anew, or as empty, as its answer ended.
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(("question", "document"), QUESTIONS.values(), ids=QUESTIONS)
async def test_answer_to_a_question_that_ends_after_any_byte_is_believed(
    serve: Serve, question: Question, document: dict[str, Any], framing: str, resets: bool
) -> None:
    whole = frame(document, framing)
    connection = await async_connect(address=await serve([whole], False), timeout_ms=1_000)
    assert await question(connection)
    connection.close()
    for cut in range(len(whole)):
        address = await serve([whole[:cut]], resets)
        connection = await async_connect(address=address, timeout_ms=1_000)
        with pytest.raises(ConnectionBroken):
            await question(connection)
        assert not connection.reusable
        connection.close()
