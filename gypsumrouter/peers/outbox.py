"""What is new for each peer since the last news that went to it."""

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
    """Numbers what was placed and struck, so that each peer gets it once."""

    __slots__ = ("_first_position", "_placed", "_strikes")

    def __init__(self) -> None:
        self._first_position = 0
        self._placed: deque[PlacedPart] = deque(maxlen=MAX_QUEUED_PARTS)
        self._strikes: deque[tuple[int, Strike]] = deque(maxlen=MAX_QUEUED_STRIKES)

    def add_part(self, part: PlacedPart) -> None:
        """Add a part; the oldest one falls out where there is no room."""
        if len(self._placed) == MAX_QUEUED_PARTS:
            self._first_position += 1
        self._placed.append(part)

    def add_strike(self, strike: Strike, *, now_ms: int) -> None:
        """Add a strike; it is told to everyone for `STRIKE_RESEND_MS`."""
        self._strikes.append((now_ms, strike))

    def read_from(self, position: int) -> tuple[tuple[PlacedPart, ...], int]:
        """Return the next parts from a position on, and the position after them."""
        skip = max(0, position - self._first_position)
        parts = tuple(islice(self._placed, skip, skip + MAX_PARTS_PER_UPDATE))
        return parts, self._first_position + skip + len(parts)

    def list_strikes(self, *, now_ms: int) -> tuple[Strike, ...]:
        """Return the strikes that are still told."""
        while self._strikes and now_ms - self._strikes[0][0] > STRIKE_RESEND_MS:
            self._strikes.popleft()
        return tuple(strike for _, strike in self._strikes)
