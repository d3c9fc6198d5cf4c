"""Streams without end beside other work: how much of them is relayed in a round of the loop."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest
from aiohttp.test_utils import make_mocked_request

from gypsumrouter.forwarding.ends.relay import Relay, RelayResult
from gypsumrouter.forwarding.ends.relay_turns import MAX_PART_BYTES, MAX_SHARE_BYTES, RelayTurns
from gypsumrouter.forwarding.models import Dialect, StreamingResponse
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.helpers.http_response import Framing
from gypsumrouter.util.clock import SystemClock

STREAMS = 20
PARTS = 10
EVENT = b"data: token\n\n"
# What a stream that never pauses has ready, and what a sound one has.
LONG_PART = EVENT * (MAX_PART_BYTES // len(EVENT))
SHORT_PART = EVENT * (MAX_SHARE_BYTES // len(EVENT))


class ReadParts:
    """Counts the parts that are read of all streams, in each round of the event loop."""

    def __init__(self) -> None:
        self.rounds = [0]
        self._handle: asyncio.Handle | None = None

    def note_round(self) -> None:
        self.rounds.append(0)
        self._handle = asyncio.get_running_loop().call_soon(self.note_round)

    def stop(self) -> None:
        if self._handle is not None:
            self._handle.cancel()


def make_relay(*, part: bytes, turns: RelayTurns, parts: ReadParts) -> Relay:
    """Return the relay of a stream whose parts are there without a wait."""
    left = iter([part] * PARTS)

    async def async_read(_: StreamingResponse) -> bytes:
        parts.rounds[-1] += 1
        return next(left, b"")

    return Relay(
        web_request=make_mocked_request("GET", "/"),
        dialect=cast(Dialect, SimpleNamespace(select_headers=lambda _: [])),
        clock=SystemClock(),
        progress=Progress(arrived_ms=0, deadline_at_ms=0),
        close_connection=lambda: False,
        on_begun=lambda: None,
        on_received=lambda: None,
        on_resumed=lambda _: None,
        read_part=async_read,
        taken_up_after=None,
        turns=turns,
    )


async def async_relay(part: bytes, *, streams: int) -> ReadParts:
    """Relay streams beside each other to their ends."""
    turns, parts = RelayTurns(), ReadParts()
    answer = cast(Any, SimpleNamespace(framing=Framing.CHUNKED))
    streaming = StreamingResponse(answer=answer, status=200, is_event_stream=True)
    relays = [make_relay(part=part, turns=turns, parts=parts) for _ in range(streams)]
    parts.note_round()
    ends = await asyncio.gather(*(relay.async_relay(streaming) for relay in relays))
    parts.stop()
    assert {end.result for end in ends} == {RelayResult.COMPLETE}
    return parts


# Guards against requests that wait in each round for the parts of all streams without end.
async def test_streams_that_never_pause_take_turns() -> None:
    parts = await async_relay(LONG_PART, streams=STREAMS)
    # All begin in the same round; then one goes on in each.
    beginning, *later = [count for count in parts.rounds if count]
    assert beginning == STREAMS
    assert set(later) == {1}
    assert len(later) == STREAMS * PARTS


async def test_parts_within_the_share_do_not_wait() -> None:
    parts = await async_relay(SHORT_PART, streams=STREAMS)
    assert sum(1 for count in parts.rounds if count) == 1


async def test_turns_of_requests_that_ended_are_passed_over() -> None:
    turns = RelayTurns()
    waiting = [asyncio.ensure_future(turns.async_wait(MAX_SHARE_BYTES + 1)) for _ in range(3)]
    waiting[0].cancel()
    await asyncio.sleep(0)
    waiting[1].cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting[1]
    async with asyncio.timeout(1):
        await waiting[2]
