"""The time that is left of a request."""

from __future__ import annotations

from msgspec.structs import replace

from gypsumrouter.link.models import Open
from gypsumrouter.util.clock import Clock


class Deadline:
    """The end of a request's time; a request says how much was left when it came."""

    __slots__ = ("_clock", "_received_ms", "_request")

    def __init__(self, *, clock: Clock, request: Open) -> None:
        self._clock = clock
        self._request = request
        self._received_ms = clock.now_ms()

    def remaining_ms(self) -> int:
        """Return the milliseconds that are left, 0 when there are none."""
        return max(0, self._request.deadline_ms - self._elapsed_ms())

    def update(self, request: Open) -> Open:
        """Return the request with the time that has passed since it came."""
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
