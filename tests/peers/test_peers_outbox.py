"""Outbox: each peer receives queued parts once, in order and in bounded batches."""

from __future__ import annotations

from gypsumrouter.link import PlacedPart
from gypsumrouter.peers.const import MAX_PARTS_PER_UPDATE, MAX_QUEUED_PARTS
from gypsumrouter.peers.outbox import Outbox


def make_part(number: int) -> PlacedPart:
    return PlacedPart(part=number, upstream="i-1")


def test_each_part_is_returned_once_and_in_order() -> None:
    outbox = Outbox()
    for number in range(3):
        outbox.add_part(make_part(number))
    parts, end = outbox.read_from(0)
    assert [part.part for part in parts] == [0, 1, 2]
    outbox.add_part(make_part(3))
    parts, end = outbox.read_from(end)
    assert [part.part for part in parts] == [3]
    assert outbox.read_from(end) == ((), end)


def test_backlog_is_limited_and_returned_in_batches() -> None:
    outbox = Outbox()
    for number in range(MAX_QUEUED_PARTS + 50):
        outbox.add_part(make_part(number))
    received: list[int] = []
    end = 0
    while True:
        parts, end = outbox.read_from(end)
        if not parts:
            break
        assert len(parts) <= MAX_PARTS_PER_UPDATE
        received += [part.part for part in parts]
    assert received == list(range(50, MAX_QUEUED_PARTS + 50))
