"""Bounded log of placed prompt parts, read by each peer from its own position."""

from __future__ import annotations

from collections import deque
from itertools import islice

from gypsumrouter.link import PlacedPart
from gypsumrouter.peers.const import (
    MAX_PARTS_PER_UPDATE,
    MAX_QUEUED_PARTS,
)


class Outbox:
    """Queues placed parts, numbered, so that each peer receives them once and in order."""

    __slots__ = ("_first_position", "_placed")

    def __init__(self) -> None:
        self._first_position = 0
        self._placed: deque[PlacedPart] = deque(maxlen=MAX_QUEUED_PARTS)

    def add_part(self, part: PlacedPart) -> None:
        """Append a part; drops the oldest one if the queue is full."""
        if len(self._placed) == MAX_QUEUED_PARTS:
            self._first_position += 1
        self._placed.append(part)

    def read_from(self, position: int) -> tuple[tuple[PlacedPart, ...], int]:
        """Return the parts from a position on, limited to one update, and the next position."""
        skip = max(0, position - self._first_position)
        parts = tuple(islice(self._placed, skip, skip + MAX_PARTS_PER_UPDATE))
        return parts, self._first_position + skip + len(parts)
