"""Detects upstreams that have stopped responding before requests to them time out.

When many upstreams fall silent at once, each of them would get further requests until the first
one has timed out, which takes a multiple of its target latency.
"""

from __future__ import annotations

from typing import Final

from gypsumrouter.util.clock import Clock

# Silence up to this long has no cost. A response begins within this time unless long prompts wait
# before it.
EXPECTED_RESPONSE_MS: Final = 300


class _Awaited:
    """The requests that one upstream has not responded to, and since when it is silent.

    It is silent since its last response, or since the first of these requests was sent.
    """

    __slots__ = ("numbers", "silent_since_ms")

    def __init__(self, *, silent_since_ms: int) -> None:
        self.numbers: set[int] = set()
        self.silent_since_ms = silent_since_ms


class SilenceTracker:
    """Tracks how long upstreams with unanswered requests of this router have sent no response."""

    __slots__ = ("_awaited", "_clock", "_last_number")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._awaited: dict[str, _Awaited] = {}
        self._last_number = 0

    def begin(self, upstream: str) -> int:
        """Record a request that is sent; return the number to end it with."""
        self._last_number += 1
        awaited = self._awaited.get(upstream)
        if awaited is None:
            awaited = _Awaited(silent_since_ms=self._clock.now_ms())
            self._awaited[upstream] = awaited
        awaited.numbers.add(self._last_number)
        return self._last_number

    def note_response(self, upstream: str) -> None:
        """Record that an upstream has responded to any request."""
        awaited = self._awaited.get(upstream)
        if awaited is not None:
            awaited.silent_since_ms = self._clock.now_ms()

    def end(self, upstream: str, number: int) -> None:
        """Record that a request was responded to or has ended; a second call does nothing."""
        awaited = self._awaited.get(upstream)
        if awaited is None:
            return
        awaited.numbers.discard(number)
        if not awaited.numbers:
            del self._awaited[upstream]

    def get_excess_ms(self, upstream: str) -> int:
        """Return by how long an upstream's silence exceeds that of a usual response."""
        awaited = self._awaited.get(upstream)
        if awaited is None:
            return 0
        silent_ms = self._clock.now_ms() - awaited.silent_since_ms
        return max(0, silent_ms - EXPECTED_RESPONSE_MS)
