"""What is new for each peer since the last news that went to it."""

from __future__ import annotations

from collections import deque

from gypsumrouter.link import PlacedPart, Strike
from gypsumrouter.peers.const import MAX_PLACED


class Outbox:
    """Numbers what was placed and struck, so that each peer gets it once."""

    __slots__ = ("_first", "_placed", "_strikes")

    def __init__(self) -> None:
        self._first = 0
        self._placed: deque[PlacedPart] = deque(maxlen=MAX_PLACED)
        self._strikes: deque[Strike] = deque(maxlen=MAX_PLACED)

    @property
    def end(self) -> int:
        """Return the number that the next part will get."""
        return self._first + len(self._placed)

    def add_part(self, part: PlacedPart) -> None:
        """Add a part; the oldest one falls out where there is no room."""
        if len(self._placed) == MAX_PLACED:
            self._first += 1
        self._placed.append(part)

    def add_strike(self, strike: Strike) -> None:
        """Add a strike; all that are kept are told each time, they are few."""
        self._strikes.append(strike)

    def since(self, number: int) -> tuple[PlacedPart, ...]:
        """Return the parts from a number on, as far as they are kept."""
        skip = max(0, number - self._first)
        return tuple(self._placed)[skip:]

    def strikes(self) -> tuple[Strike, ...]:
        """Return the strikes."""
        return tuple(self._strikes)
