"""Upstreams that end their side of a connection in the middle of an answer, and reset it later."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final

import aiohttp
import pytest
from cut_heads import (
    WHOLE_EVENTS,
    CuttingRunner,
    CuttingWorld,
    Ending,
    Play,
    Script,
    make_answer,
    make_events,
    make_stream,
)
from ending_connections import reset

SENT: Final = 2
RESETS_S: Final = (0.015, 0.03, 0.06)
ASKED: Final = 5
TEXT: Final = b"a text of which only the beginning arrives"


class LateResetRunner(CuttingRunner):
    """Resets a connection `reset_s` after it has ended its side of it.

    With `answers_in_turn` it answers a health check only behind a reset that is due.
    """

    def __init__(self, *, name: str, scripts: dict[str, list[Script]]) -> None:
        super().__init__(name=name, scripts=scripts)
        self.reset_s = 0.0
        self.answers_in_turn = False
        self._idle = asyncio.Event()
        self._idle.set()

    async def _async_end(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ending: Ending
    ) -> None:
        if ending is not Ending.RESET:
            await super()._async_end(reader, writer, ending)
            return
        self._idle.clear()
        writer.write_eof()
        await asyncio.sleep(self.reset_s)
        reset(writer)
        self._idle.set()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.answers_in_turn:
            await self._idle.wait()
        await super()._async_serve(reader, writer)


class LateResetWorld(CuttingWorld):
    """A forwarder before two such upstreams."""

    def __init__(self) -> None:
        super().__init__(runners=2)
        self.runners = [
            LateResetRunner(name=f"i-{number}", scripts=self.scripts) for number in range(2)
        ]
        self.cutting = list(self.runners)


@pytest.fixture
async def late(link_key: None) -> AsyncIterator[LateResetWorld]:
    """Start the upstreams and a forwarder."""
    async with LateResetWorld() as world:
        yield world


def cut_stream(headers: dict[str, str]) -> Play:
    return Play(make_stream("close", request_id=headers["x-request-id"], last=SENT), Ending.RESET)


def finish_stream(headers: dict[str, str]) -> Play:
    first = int(headers["last-event-id"]) + 1
    return Play(make_stream("length", request_id=headers["x-request-id"], first=first))


def cut_text(headers: dict[str, str]) -> Play:
    answer = make_answer(
        "close", request_id=headers["x-request-id"], body=TEXT, media_type="text/plain"
    )
    return Play(answer, Ending.RESET)


# Guards against the beginning of a stream that looks whole, as its reset comes late.
@pytest.mark.parametrize("reset_s", RESETS_S)
async def test_stream_that_is_reset_behind_its_end_looks_whole(
    late: LateResetWorld, session: aiohttp.ClientSession, reset_s: float
) -> None:
    for runner in late.runners:
        runner.reset_s = reset_s
    for number in range(ASKED):
        seen = await late.async_ask(
            session, "/draft/a", f"r{number}", scripts=[cut_stream], stream=True
        )
        assert (seen.status, seen.whole, seen.body) == (200, False, make_events(last=SENT))


# Guards against the same where the stream may go on at another upstream.
@pytest.mark.parametrize("reset_s", RESETS_S)
async def test_resumable_stream_that_is_reset_behind_its_end_does_not_go_on(
    late: LateResetWorld, session: aiohttp.ClientSession, reset_s: float
) -> None:
    for runner in late.runners:
        runner.reset_s = reset_s
    for number in range(ASKED):
        scripts = [cut_stream, finish_stream]
        seen = await late.async_ask(session, "/quote/a", f"r{number}", scripts=scripts, stream=True)
        assert (seen.status, seen.whole) == (200, True)
        assert seen.body == make_events(last=WHOLE_EVENTS)


# Guards against the beginning of a text that looks whole, though its upstream answers the question
# behind the end only when it has reset the connection.
@pytest.mark.parametrize("path", ["/once/a", "/one/a"])
@pytest.mark.parametrize("reset_s", RESETS_S)
async def test_text_that_is_reset_before_the_question_is_answered_looks_whole(
    late: LateResetWorld, session: aiohttp.ClientSession, path: str, reset_s: float
) -> None:
    for runner in late.runners:
        runner.reset_s, runner.answers_in_turn = reset_s, True
    for number in range(ASKED):
        seen = await late.async_ask(session, path, f"r{number}", scripts=[cut_text])
        assert seen.status == 502


# Guards against the same where the question is answered before the reset.
async def test_text_that_is_reset_behind_the_answer_to_the_question_looks_whole(
    late: LateResetWorld, session: aiohttp.ClientSession
) -> None:
    for runner in late.runners:
        runner.reset_s = max(RESETS_S)
    seen = await late.async_ask(session, "/once/a", "r1", scripts=[cut_text])
    assert seen.status == 502


# Guards against whole streams that are broken off, as their end is held back.
@pytest.mark.parametrize("path", ["/draft/a", "/quote/a"])
async def test_whole_stream_whose_connection_is_closed_is_broken_off(
    late: LateResetWorld, session: aiohttp.ClientSession, path: str
) -> None:
    def end_whole(headers: dict[str, str]) -> Play:
        return Play(make_stream("close", request_id=headers["x-request-id"]), Ending.CLOSE)

    for number in range(ASKED):
        seen = await late.async_ask(session, path, f"r{number}", scripts=[end_whole], stream=True)
        assert (seen.status, seen.whole, seen.body) == (200, True, make_events())
