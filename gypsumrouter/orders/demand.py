"""Number of requests in progress at this side, by model: current and smoothed."""

from __future__ import annotations

import math

from msgspec import Struct

from gypsumrouter.link import Answer, ExchangeHandler
from gypsumrouter.link.models import Hello, Open
from gypsumrouter.util.clock import Clock

DEFAULT_WINDOW_MS = 10_000


class _Count(Struct, kw_only=True):
    running: int = 0
    smoothed: float = 0.0
    updated_ms: int = 0


class Demand:
    """Count waiting and running requests by model; `window_ms` is the smoothing time constant."""

    __slots__ = ("_clock", "_counts", "window_ms")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._counts: dict[str, _Count] = {}
        self.window_ms = DEFAULT_WINDOW_MS

    def wrap(self, handler: ExchangeHandler) -> ExchangeHandler:
        """Return a handler that counts the requests passed to `handler`."""

        async def async_handle(hello: Hello, request: Open, answer: Answer) -> None:
            self.add(request.model, 1)
            try:
                await handler(hello, request, answer)
            finally:
                self.add(request.model, -1)

        return async_handle

    def add(self, name: str, change: int) -> None:
        """Add a change to the number of requests of a model."""
        count = self._counts.get(name)
        if count is None:
            count = self._counts[name] = _Count(updated_ms=self._clock.now_ms())
        self._smooth(count)
        count.running += change

    def get_running(self, name: str) -> int:
        """Return the current number of requests of a model."""
        count = self._counts.get(name)
        return 0 if count is None else count.running

    def get_smoothed(self, name: str) -> float:
        """Return the exponentially weighted average number of requests of a model."""
        count = self._counts.get(name)
        if count is None:
            return 0.0
        self._smooth(count)
        return count.smoothed

    def _smooth(self, count: _Count) -> None:
        now_ms = self._clock.now_ms()
        passed_ms = now_ms - count.updated_ms
        count.updated_ms = now_ms
        kept = math.exp(-passed_ms / self.window_ms)
        count.smoothed = count.smoothed * kept + count.running * (1 - kept)
