"""Tracking of a request's deadline."""

from __future__ import annotations

from msgspec.structs import replace

from gypsumrouter.link.models import Open
from gypsumrouter.util.clock import Clock


class Deadline:
    """Deadline of a request, counted from its arrival.

    A request carries the time that remained when its sender sent it, not an absolute time.
    """

    __slots__ = ("_clock", "_received_ms", "_request")

    def __init__(self, *, clock: Clock, request: Open) -> None:
        self._clock = clock
        self._request = request
        self._received_ms = clock.now_ms()

    def remaining_ms(self) -> int:
        """Return the remaining time, 0 if the deadline has passed."""
        return max(0, self._request.deadline_ms - self._elapsed_ms())

    def update(self, request: Open) -> Open:
        """Return the request with its remaining and waited time adjusted to now."""
        elapsed_ms = self._elapsed_ms()
        if elapsed_ms == 0:
            return request
        return replace(
            request,
            deadline_ms=self.remaining_ms(),
            waited_ms=self._request.waited_ms + elapsed_ms,
        )

    def _elapsed_ms(self) -> int:
        return self._clock.now_ms() - self._received_ms
