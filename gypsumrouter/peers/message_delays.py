"""How much longer than usual a message of a peer was under way, or waited to be read."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# The least difference of two clocks is taken over one to two of these spans, in which they drift
# apart by some milliseconds at most.
SPAN_MS: Final = 30_000


class _Difference(Struct, kw_only=True):
    """The least difference between the clock here and that of one start of a peer."""

    incarnation: int
    least_ms: int
    previous_least_ms: int
    begun_ms: int


class MessageDelays:
    """Keeps the least difference of clocks for each peer.

    The difference between the time at which a message is read here, and that at which its sender
    has sent it by a clock of its own, is that of the two clocks and the delay of the message.
    """

    __slots__ = ("_differences",)

    def __init__(self) -> None:
        self._differences: dict[str, _Difference] = {}

    def get_delay_ms(self, *, peer: str, incarnation: int, sent_ms: int, now_ms: int) -> int:
        """Return by how much a message took longer than the fastest one of its peer lately.

        It is 0 for the first message of a start of the peer, whose clock is not known yet.
        """
        found_ms = now_ms - sent_ms
        known = self._differences.get(peer)
        if known is None or known.incarnation != incarnation:
            self._differences[peer] = _Difference(
                incarnation=incarnation,
                least_ms=found_ms,
                previous_least_ms=found_ms,
                begun_ms=now_ms,
            )
            return 0
        if now_ms - known.begun_ms >= SPAN_MS:
            known.previous_least_ms, known.least_ms = known.least_ms, found_ms
            known.begun_ms = now_ms
        known.least_ms = min(known.least_ms, found_ms)
        return found_ms - min(known.least_ms, known.previous_least_ms)
