"""What other streams show of a stream that has ended without framing while its upstream lives."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import Final

from gypsumrouter.forwarding.ends.resets import MAX_RESET_WAIT_MS
from gypsumrouter.forwarding.ends.watches import SETTLE_MS
from gypsumrouter.util.clock import Clock

# Streams of one upstream that end together, and the part of those under way there that they are at
# least: half of five, rounded down, as half of an engine's streams may end at once.
MIN_TOGETHER: Final = 2
MIN_TOGETHER_SHARE: Final = 0.4
# An end is decided, and compared with others, so long behind it.
KEPT_ENDS_MS: Final = 2 * SETTLE_MS + MAX_RESET_WAIT_MS
# The framings of the newest streams that are kept of each upstream and service, and of how many.
MAX_FRAMINGS: Final = 32
MAX_KEPT: Final = 4_096
# Pause before it is looked again whether other streams are still being checked.
LOOK_MS: Final = 10


class CutSign(StrEnum):
    """What suggests that a stream was cut; the values are labels of a metric."""

    TOGETHER = "together"
    FRAMING = "framing"
    NONE = "none"


class FollowedStream:
    """A stream that a router relays; `read_ended_ms` returns when its connection ended, or 0.

    `resumable` is whether another run may be asked to go on with it.
    """

    __slots__ = ("is_decided", "read_ended_ms", "resumable", "service", "upstream")

    def __init__(
        self, *, service: str, upstream: str, resumable: bool, read_ended_ms: Callable[[], int]
    ) -> None:
        self.service = service
        self.resumable = resumable
        self.upstream = upstream
        self.read_ended_ms = read_ended_ms
        # Whether no other run will be asked to go on with it, if it has ended.
        self.is_decided = False


class StreamSigns:
    """Follows all streams of a router, and notes which of their upstreams' streams were cut."""

    __slots__ = ("_clock", "_cuts", "_ended", "_framings", "_open")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # Streams without framing under way, by upstream.
        self._open: dict[str, set[FollowedStream]] = {}
        # When streams ended that are no longer followed, by upstream, for a moment.
        self._ended: dict[str, list[int]] = {}
        # When streams ended that are known to be cut, the last one of each upstream.
        self._cuts: OrderedDict[str, int] = OrderedDict()
        # Whether the newest streams were framed, by upstream and by service.
        self._framings: OrderedDict[tuple[str, str], deque[bool]] = OrderedDict()

    @contextmanager
    def follow(self, stream: FollowedStream) -> Iterator[None]:
        """Follow a stream without framing while it is relayed."""
        followed = self._open.setdefault(stream.upstream, set())
        followed.add(stream)
        try:
            yield
        finally:
            followed.discard(stream)
            if not followed:
                del self._open[stream.upstream]
            self._keep_end(stream)

    def _keep_end(self, stream: FollowedStream) -> None:
        ended_ms = stream.read_ended_ms()
        since_ms = self._clock.now_ms() - KEPT_ENDS_MS
        kept = [at_ms for at_ms in self._ended.pop(stream.upstream, []) if at_ms >= since_ms]
        if ended_ms >= since_ms:
            kept.append(ended_ms)
        if kept:
            self._ended[stream.upstream] = kept
        if len(self._ended) > MAX_KEPT:
            del self._ended[next(iter(self._ended))]

    def note_framing(self, *, service: str, upstream: str, is_framed: bool) -> None:
        """Note whether a stream that ends now has a framing that shows its end."""
        for key in (("service", service), ("upstream", upstream)):
            framings = self._framings.setdefault(key, deque(maxlen=MAX_FRAMINGS))
            framings.append(is_framed)
            self._framings.move_to_end(key)
        while len(self._framings) > MAX_KEPT:
            self._framings.popitem(last=False)

    def note_cut(self, stream: FollowedStream) -> None:
        """Note that another upstream has gone on with a stream that had ended in order."""
        self._cuts[stream.upstream] = stream.read_ended_ms()
        self._cuts.move_to_end(stream.upstream)
        while len(self._cuts) > MAX_KEPT:
            self._cuts.popitem(last=False)

    def is_beside_cut(self, stream: FollowedStream) -> bool:
        """Return whether this stream ended together with others, one of which was cut."""
        cut_ms = self._cuts.get(stream.upstream)
        if cut_ms is None or abs(stream.read_ended_ms() - cut_ms) > SETTLE_MS:
            return False
        return self._ended_together(stream)

    async def async_find_sign(self, stream: FollowedStream) -> CutSign:
        """Return what suggests that a stream was cut.

        Beside other streams of the upstream this takes until SETTLE_MS after the end.
        """
        await self._async_settle(stream, self._open.get(stream.upstream, set()) - {stream})
        if self._ended_together(stream):
            return CutSign.TOGETHER
        return CutSign.FRAMING if self._is_oddly_framed(stream) else CutSign.NONE

    async def _async_settle(
        self, stream: FollowedStream, others: Collection[FollowedStream]
    ) -> None:
        """Wait until the end of a stream is SETTLE_MS ago if others could still end beside it."""
        if any(not other.read_ended_ms() for other in others):
            wait_ms = stream.read_ended_ms() + SETTLE_MS - self._clock.now_ms()
            await self._clock.async_sleep(max(0, wait_ms))

    def _ended_together(self, stream: FollowedStream) -> bool:
        ends = [other.read_ended_ms() for other in self._open.get(stream.upstream, ())]
        ends += self._ended.get(stream.upstream, [])
        ended_ms = stream.read_ended_ms()
        together = sum(1 for at_ms in ends if at_ms and abs(at_ms - ended_ms) <= SETTLE_MS)
        under_way = together + ends.count(0)
        return together >= max(MIN_TOGETHER, MIN_TOGETHER_SHARE * under_way)

    def _is_oddly_framed(self, stream: FollowedStream) -> bool:
        """Return whether at most half of the others at its upstream or service lack a framing."""
        for key in (("service", stream.service), ("upstream", stream.upstream)):
            framings = self._framings.get(key, ())
            if framings and 2 * sum(framings) >= len(framings):
                return True
        return False

    async def async_wait_for_checks(self, stream: FollowedStream, *, limit_ms: int) -> None:
        """Wait while streams are checked that have ended at the same moment."""
        others = self._open.get(stream.upstream, ())
        await self._async_settle(stream, [other for other in others if other.resumable])
        ends_ms = self._clock.now_ms() + limit_ms
        while self._is_any_pending(stream) and self._clock.now_ms() < ends_ms:
            if self.is_beside_cut(stream):
                return
            await self._clock.async_sleep(LOOK_MS)

    def _is_any_pending(self, stream: FollowedStream) -> bool:
        ended_ms = stream.read_ended_ms()
        return any(
            other.resumable
            and not other.is_decided
            and abs(other.read_ended_ms() - ended_ms) <= SETTLE_MS
            for other in self._open.get(stream.upstream, ())
        )
