"""Upstreams in trouble whose answers have a status that HTTP doesn't know."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
import pytest
from cut_heads import BODY, CuttingWorld, Play, Script, make_answer, make_events, make_stream

STATUSES = ("000 OK", "000", "099 Odd", "600 Odd", "999 Odd")
FRAMINGS = ("length", "chunked", "close")


@pytest.fixture
async def world(link_key: None) -> AsyncIterator[CuttingWorld]:
    async with CuttingWorld(runners=2) as world:
        yield world


def make_script(status: str, framing: str) -> Script:
    def answer(headers: dict[str, str]) -> Play:
        return Play(make_answer(framing, request_id=headers["x-request-id"], status=status))

    return answer


# Guards against an answer that is passed on though its status is none.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", STATUSES)
async def test_answer_with_an_invalid_status_reaches_its_caller(
    world: CuttingWorld, session: aiohttp.ClientSession, status: str, framing: str
) -> None:
    scripts = [make_script(status, framing)]
    seen = await world.async_ask(session, "/once/a", "r1", scripts=scripts)
    assert (seen.status, seen.whole) == (502, True)
    assert "X-Server-Stamp" not in seen.headers
    assert world.count_arrivals("r1") == 1


# Guards against a request that may be repeated and is not, as its answer has an invalid status.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", STATUSES)
async def test_request_whose_answer_has_an_invalid_status_is_not_repeated(
    world: CuttingWorld, session: aiohttp.ClientSession, status: str, framing: str
) -> None:
    scripts = [make_script(status, framing)]
    seen = await world.async_ask(session, "/two/a", "r1", scripts=scripts)
    assert (seen.status, seen.whole, seen.body) == (200, True, BODY)
    assert world.count_arrivals("r1") == 2


# Guards against the same of a stream.
@pytest.mark.parametrize("status", STATUSES)
async def test_stream_whose_answer_has_an_invalid_status_is_not_repeated(
    world: CuttingWorld, session: aiohttp.ClientSession, status: str
) -> None:
    def answer(headers: dict[str, str]) -> Play:
        return Play(make_stream("length", request_id=headers["x-request-id"]))

    scripts = [make_script(status, "length"), answer]
    seen = await world.async_ask(session, "/quote/a", "r1", scripts=scripts, stream=True)
    assert (seen.status, seen.whole, seen.body) == (200, True, make_events())
