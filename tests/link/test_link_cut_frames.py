"""Links between processes whose connection ends after any byte of its handshake or frames."""

from __future__ import annotations

import asyncio

import link_harness
import pytest
from link_harness import HEAD, REQUEST, Pair, Relay, async_read_answer, linked

from gypsumrouter.link import Answer, End, Exchange, Hello, Open
from gypsumrouter.link.const import Kind
from gypsumrouter.link.frames import FrameReader, pack_frame
from gypsumrouter.outcomes import Failed, Refused

GUARD_S = 20
BODY = b"a body of which a part may arrive"
# Distance of the cuts, each of which opens a link anew.
STEP = 3


class CuttingRelay(Relay):
    """A relay whose first connection ends after `limit` bytes in one direction."""

    limit: int | None = None
    towards_target = False

    async def _async_relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        cuts = self.limit is not None and self.accepted == 1
        if not cuts or (writer in self._target_writers) is not self.towards_target:
            await super()._async_relay(reader, writer)
            return
        left = self.limit or 0
        while left and (data := await reader.read(left)):
            writer.write(data)
            await writer.drain()
            left -= len(data)
            self.relayed_bytes += len(data)
        self.cut()


class CountingHandler:
    """Answers with a body, and counts its runs."""

    def __init__(self) -> None:
        self.runs = 0

    async def async_handle(self, _hello: Hello, request: Open, answer: Answer) -> None:
        self.runs += 1
        answer.head(HEAD)
        await answer.async_write(BODY[:10])
        await answer.async_write(BODY[10:])
        answer.end()


async def async_count_bytes(*, towards_target: bool, monkeypatch: pytest.MonkeyPatch) -> int:
    """Return how many bytes go in one direction for one exchange."""
    monkeypatch.setattr(CuttingRelay, "limit", 1_000_000)
    monkeypatch.setattr(CuttingRelay, "towards_target", towards_target)
    handler = CountingHandler()
    async with linked(handler.async_handle) as pair:
        body, end = await async_read_answer(await pair.async_exchange())
        assert (body, type(end)) == (BODY, End)
        return pair.relay.relayed_bytes


async def async_exchange_cut(pair: Pair) -> tuple[bytes, object]:
    opened = await pair.pool.async_open(instance=pair.instance, request=REQUEST)
    if not isinstance(opened, Exchange):
        return b"", opened
    return await async_read_answer(opened)


# Guards against a short answer that counts as whole, and against a second run of its request.
@pytest.mark.parametrize("towards_target", [False, True], ids=["back", "towards"])
async def test_exchange_whose_link_ends_after_any_byte_is_short_or_runs_twice(
    monkeypatch: pytest.MonkeyPatch, towards_target: bool
) -> None:
    monkeypatch.setattr(link_harness, "Relay", CuttingRelay)
    size = await async_count_bytes(towards_target=towards_target, monkeypatch=monkeypatch)
    ends: set[str] = set()
    for cut in range(0, size, STEP):
        monkeypatch.setattr(CuttingRelay, "limit", cut)
        handler = CountingHandler()
        async with linked(handler.async_handle) as pair, asyncio.timeout(GUARD_S):
            body, end = await async_exchange_cut(pair)
            assert isinstance(end, End | Failed | Refused), cut
            assert body == BODY or not isinstance(end, End), cut
            assert handler.runs == 0 or not isinstance(end, Refused), cut
            assert handler.runs <= 1, cut
            ends.add(type(end).__name__)
    assert "End" in ends


@pytest.mark.parametrize("size", [0, 1, 64, 70_000])
def test_frame_that_ends_after_any_byte_counts_as_a_frame(size: int) -> None:
    """Guards against a frame that is handed over before its last byte has come."""
    whole = pack_frame(Kind.DATA, 0, 1, b"x" * size)
    for cut in range(0, len(whole), 1 if size < 100 else 997):
        reader = FrameReader()
        assert reader.feed(whole[:cut]) == []
        assert reader.partial == (cut > 0)
