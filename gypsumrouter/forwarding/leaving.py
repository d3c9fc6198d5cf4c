"""Which requests a router that is stopping still takes.

Answers this load: all routers of a data centre are stopped in turn, and some balancers keep sending
to one that says it is not ready, because there is no other. A router that takes everything until
its end cuts what it took last; one that takes nothing while a long stream ends leaves its callers
without service for seconds.
"""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.const import LEAVING_MS
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.routing import Route
from gypsumrouter.util.clock import Clock

# One generated token takes an engine about 5 ms at twenty running requests, 9 ms at seventy.
TOKEN_MS: Final = 7
# Reading a prompt, waiting for a slot, and the way there and back.
START_MS: Final = 400


class Leaving:
    """Knows when the requests that run will have ended, and compares new ones with that.

    For `LEAVING_MS` after the stop began everything is taken, until balancers have noticed. After
    that only what ends before the last of the running requests, so that the stop takes no longer.
    """

    __slots__ = ("_clock", "_ends", "_limit_ms", "_since_ms")

    def __init__(self, *, clock: Clock, limit_ms: int) -> None:
        self._clock = clock
        self._limit_ms = limit_ms
        self._since_ms: int | None = None
        self._ends: dict[int, int] = {}

    def take_limit(self, limit_ms: int) -> None:
        """Let a stop take at most another time from now on."""
        self._limit_ms = limit_ms

    @property
    def leaving(self) -> bool:
        """Return whether the stop has begun."""
        return self._since_ms is not None

    def begin(self) -> None:
        """Note that the stop begins."""
        self._since_ms = self._clock.now_ms()

    def note_started(self, number: int, *, duration_ms: int) -> None:
        """Note a request that runs, and how long it will take at most."""
        self._ends[number] = self._clock.now_ms() + duration_ms

    def note_ended(self, number: int) -> None:
        """Note that a request is over."""
        self._ends.pop(number, None)

    def admits(self, *, duration_ms: int) -> bool:
        """Return whether a request that takes that long may be taken now."""
        if self._since_ms is None:
            return True
        now_ms = self._clock.now_ms()
        if now_ms - self._since_ms < LEAVING_MS:
            return True
        last_ms = max(self._ends.values(), default=0)
        last_ms = min(last_ms, self._since_ms + self._limit_ms)
        return now_ms + duration_ms <= last_ms


def estimate_duration_ms(request: CallerRequest, route: Route) -> int:
    """Return how long a request takes, rather too long than too short."""
    if request.prompt is None:
        return START_MS
    return START_MS + request.prompt.max_output_tokens * TOKEN_MS
