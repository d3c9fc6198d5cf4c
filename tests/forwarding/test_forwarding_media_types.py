"""Upstreams that write the media type of a stream in another case."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
import pytest
from cut_heads import CuttingWorld, Play, make_answer, make_events

SENT = 2


@pytest.fixture
async def world(link_key: None) -> AsyncIterator[CuttingWorld]:
    async with CuttingWorld(runners=1) as world:
        yield world


# Guards against a stream that is passed on with a part of an event, as its type isn't recognized.
async def test_stream_whose_type_has_capitals_is_no_stream(
    world: CuttingWorld, session: aiohttp.ClientSession
) -> None:
    def cut_inside(headers: dict[str, str]) -> Play:
        answer = make_answer(
            "chunked",
            request_id=headers["x-request-id"],
            body=make_events(last=SENT)[:-1],
            media_type="Text/Event-Stream",
        )
        return Play(answer)

    seen = await world.async_ask(session, "/draft/a", "r1", scripts=[cut_inside], stream=True)
    assert (seen.status, seen.whole, seen.body) == (200, False, make_events(last=SENT - 1))
