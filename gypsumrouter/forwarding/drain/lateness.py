"""How late this process may have handled a signal."""

from __future__ import annotations

from collections import deque
from typing import Final

from gypsumrouter.util.clock import Clock

# How often the event loop notes that it runs, and for how long that is kept.
TICK_MS: Final = 100
KEPT_TICKS: Final = 50


class LoopTicks:
    """When the event loop ran lately.

    A process that gets no processor, or is suspended, handles a signal late. The signal came behind
    the last tick before that, since the main thread takes all signals, and runs handlers between
    any two instructions.
    """

    __slots__ = ("_clock", "_ticks")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ticks: deque[int] = deque(maxlen=KEPT_TICKS)

    async def async_run(self) -> None:
        """Note ticks until cancelled."""
        while True:
            self.note()
            await self._clock.async_sleep(TICK_MS)

    def note(self) -> None:
        """Record that the loop runs."""
        self._ticks.append(self._clock.now_ms())

    def bound_lateness_ms(self, handled_ms: int) -> int:
        """Return how long before `handled_ms` a signal came at most, 0 if no tick tells."""
        return handled_ms - max((t for t in self._ticks if t < handled_ms), default=handled_ms)
