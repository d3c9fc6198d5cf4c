"""Answers of upstreams and of the store that do not end: what is read of them is bounded."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from gypsumrouter.helpers.http_connection import HttpConnection, async_connect
from gypsumrouter.helpers.http_response import MAX_ANSWER_BYTES, ConnectionBroken
from gypsumrouter.instances import Address
from gypsumrouter.platform.engines import async_list_cached_parts, async_read_start
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
