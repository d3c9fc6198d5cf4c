"""Bounded log of placed prompt parts and strikes, read by each peer from its own position."""

from __future__ import annotations

from collections import deque
from itertools import islice

from gypsumrouter.link import PlacedPart, Strike
from gypsumrouter.peers.const import (
    MAX_PARTS_PER_UPDATE,
    MAX_QUEUED_PARTS,
    MAX_QUEUED_STRIKES,
    STRIKE_RESEND_MS,
)


class Outbox:
    """Queues placed parts and strikes for peers.

    Parts are numbered, so that each peer receives them once and in order. Strikes are repeated in
    every update for `STRIKE_RESEND_MS`.
    """

    __slots__ = ("_first_position", "_placed", "_strikes")

    def __init__(self) -> None:
        self._first_position = 0
        self._placed: deque[PlacedPart] = deque(maxlen=MAX_QUEUED_PARTS)
        self._strikes: deque[tuple[int, Strike]] = deque(maxlen=MAX_QUEUED_STRIKES)

    def add_part(self, part: PlacedPart) -> None:
        """Append a part; drops the oldest one if the queue is full."""
        if len(self._placed) == MAX_QUEUED_PARTS:
            self._first_position += 1
        self._placed.append(part)

    def add_strike(self, strike: Strike, *, now_ms: int) -> None:
        """Append a strike, to be sent to every peer for `STRIKE_RESEND_MS`."""
        self._strikes.append((now_ms, strike))

    def read_from(self, position: int) -> tuple[tuple[PlacedPart, ...], int]:
        """Return the parts from a position on, limited to one update, and the next position."""
        skip = max(0, position - self._first_position)
        parts = tuple(islice(self._placed, skip, skip + MAX_PARTS_PER_UPDATE))
        return parts, self._first_position + skip + len(parts)

    def list_strikes(self, *, now_ms: int) -> tuple[Strike, ...]:
        """Return the strikes that are still to be sent; removes expired ones."""
        while self._strikes and now_ms - self._strikes[0][0] > STRIKE_RESEND_MS:
            self._strikes.popleft()
        return tuple(strike for _, strike in self._strikes)
