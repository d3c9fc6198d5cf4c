"""When the parts of one answer have arrived."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Parts that come closer together belong to one piece of the answer.
MIN_PAUSE_MS: Final = 2


class Arrivals(Struct, kw_only=True):
    """Times of the first and the last part of a body, and the pauses between its parts.

    Times are monotonic milliseconds, 0 before the first part.
    """

    first_ms: int = 0
    last_ms: int = 0
    pauses: int = 0
    longest_pause_ms: int = 0

    @property
    def mean_pause_ms(self) -> float:
        """Return the mean pause between two parts, 0 without one."""
        return (self.last_ms - self.first_ms) / self.pauses if self.pauses else 0.0

    def note(self, now_ms: int) -> None:
        """Note a part that has arrived."""
        if not self.first_ms:
            self.first_ms = self.last_ms = now_ms
        pause_ms = now_ms - self.last_ms
        self.pauses += pause_ms >= MIN_PAUSE_MS
        self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.last_ms = now_ms
