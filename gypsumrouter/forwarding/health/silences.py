"""Silence of upstreams that owe a response, found before requests to them time out.

When many upstreams fall silent at once, each of them would get further requests until the first one
has timed out, which takes a multiple of its target latency.
"""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.health.silence_verdict import (
    EXPECTED_RESPONSE_MS,
    MAX_SOUND_SILENCE_MS,
    SilenceVerdict,
    TakenOver,
    judge_silence,
)
from gypsumrouter.util.clock import Clock

# An upstream that fell silent may get a request again this long after the last one was taken over.
# A shorter time sends more requests to upstreams that are gone, a longer one keeps sound ones idle.
RETRY_SILENT_MS: Final = 1_000
# A second silence within this time of the one before counts as a failure at once.
REPEATED_WITHIN_MS: Final = 10_000


class _UpstreamSilence:
    """What one upstream owes to this router and what it has sent; times are 0 if never.

    `silent_since_ms` is set from the first request that was taken over until the next response.
    """

    __slots__ = (
        "asked_ms",
        "awaited",
        "ended_ms",
        "heard_ms",
        "pending_failures",
        "responsive_since_ms",
        "silent_since_ms",
        "taken_over_ms",
    )

    def __init__(self) -> None:
        self.awaited: set[int] = set()
        # When the oldest of the requests that are awaited without a break was sent.
        self.asked_ms = 0
        self.heard_ms = 0
        # When it first responded after a silence.
        self.responsive_since_ms = 0
        self.silent_since_ms: int | None = None
        # Requests taken over in this silence that have not counted as failures.
        self.pending_failures = 0
        # When the last request was taken over.
        self.taken_over_ms = 0
        # When the last silence in which requests were taken over ended.
        self.ended_ms = 0

    def is_avoided(self, now_ms: int) -> bool:
        """Return whether the silence counts against new requests."""
        return bool(self.awaited) or now_ms - self.taken_over_ms < RETRY_SILENT_MS

    def describe_taken_over(self, *, silent_ms: int, now_ms: int) -> TakenOver:
        """Return what is known of the upstream when a silent request is taken over."""
        request_since_ms = now_ms - silent_ms
        since_ms = max(self.heard_ms, request_since_ms)
        if self.silent_since_ms is not None:
            since_ms = min(since_ms, self.silent_since_ms)
        responsive_since_ms = max(self.responsive_since_ms, request_since_ms)
        return TakenOver(
            request_silent_ms=silent_ms,
            upstream_silent_ms=now_ms - since_ms,
            responsive_ms=max(0, self.heard_ms - responsive_since_ms),
            repeated=0 < self.ended_ms <= request_since_ms
            and now_ms - self.taken_over_ms < REPEATED_WITHIN_MS,
        )

    def take_failures(self) -> int:
        """Return, once, the requests taken over that have not counted as failures."""
        failures, self.pending_failures = self.pending_failures, 0
        return failures

    @property
    def changed_ms(self) -> int:
        """Return when it was last heard or taken over from."""
        return max(self.heard_ms, self.taken_over_ms)


class SilenceTracker:
    """Tracks how long upstreams have sent nothing to this router while they owed a response.

    A silence in which requests were taken over is remembered until the upstream sends something. A
    while after the last of these requests the upstream may get one request at a time, as nothing
    else would show that the silence has ended.
    """

    __slots__ = ("_clock", "_last_number", "_silences")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._silences: dict[str, _UpstreamSilence] = {}
        self._last_number = 0

    @property
    def tracked(self) -> int:
        """Return the number of upstreams of which something is kept."""
        return len(self._silences)

    def begin(self, upstream: str) -> int:
        """Record a request that is sent; return the number to end it with."""
        self._last_number += 1
        silence = self._get(upstream)
        if not silence.awaited:
            silence.asked_ms = self._clock.now_ms()
        silence.awaited.add(self._last_number)
        return self._last_number

    def note_response(self, upstream: str) -> None:
        """Record that an upstream has sent something to any request."""
        silence = self._get(upstream)
        now_ms = self._clock.now_ms()
        silent_ms = now_ms - max(silence.asked_ms, silence.heard_ms)
        if silence.awaited and silent_ms >= EXPECTED_RESPONSE_MS:
            silence.responsive_since_ms = now_ms
        if silence.silent_since_ms is not None:
            silence.responsive_since_ms = silence.ended_ms = now_ms
            silence.silent_since_ms = None
            silence.pending_failures = 0
        silence.heard_ms = now_ms

    def note_taken_over(self, upstream: str, *, silent_ms: int) -> int:
        """Record that another upstream took over a request that was silent for `silent_ms`.

        Return the number of failures that it shows: none while the silence may be that of a sound
        upstream, otherwise this request and those taken over before it in the same silence.
        """
        silence = self._get(upstream)
        now_ms = self._clock.now_ms()
        taken_over = silence.describe_taken_over(silent_ms=silent_ms, now_ms=now_ms)
        verdict = judge_silence(taken_over)
        silence.taken_over_ms = now_ms
        if taken_over.upstream_silent_ms < silent_ms and verdict is not SilenceVerdict.LASTING:
            silence.ended_ms = silence.heard_ms
            return 1 if verdict is SilenceVerdict.FAILURE else 0
        silence.silent_since_ms = now_ms - taken_over.upstream_silent_ms
        silence.pending_failures += 1
        return silence.take_failures() if verdict is SilenceVerdict.FAILURE else 0

    def take_failures(self, upstream: str) -> int:
        """Return, once, the failures of a silence that has become too long for a sound upstream.

        It counts as such only if a request waits there: an upstream that was not asked again may
        have recovered since.
        """
        silence = self._silences.get(upstream)
        if silence is None or silence.silent_since_ms is None or not silence.awaited:
            return 0
        now_ms = self._clock.now_ms()
        if now_ms - silence.silent_since_ms < MAX_SOUND_SILENCE_MS:
            return 0
        if now_ms - silence.asked_ms < EXPECTED_RESPONSE_MS:
            return 0
        return silence.take_failures()

    def end(self, upstream: str, number: int) -> None:
        """Record that a request was responded to or has ended; a second call does nothing."""
        silence = self._silences.get(upstream)
        if silence is not None:
            silence.awaited.discard(number)

    def get_excess_ms(self, upstream: str) -> int:
        """Return by how long an upstream's silence exceeds that of a usual response."""
        silence = self._silences.get(upstream)
        if silence is None:
            return 0
        now_ms = self._clock.now_ms()
        since_ms = silence.silent_since_ms
        if silence.awaited and since_ms is None:
            since_ms = max(silence.asked_ms, silence.heard_ms)
        if since_ms is None or not silence.is_avoided(now_ms):
            return 0
        return max(0, now_ms - since_ms - EXPECTED_RESPONSE_MS)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that was removed."""
        self._silences.pop(upstream, None)

    def sweep(self) -> None:
        """Drop upstreams that owe nothing and of which nothing is remembered any more."""
        now_ms = self._clock.now_ms()
        for upstream, silence in tuple(self._silences.items()):
            if not silence.awaited and now_ms - silence.changed_ms >= REPEATED_WITHIN_MS:
                del self._silences[upstream]

    def _get(self, upstream: str) -> _UpstreamSilence:
        silence = self._silences.get(upstream)
        if silence is None:
            silence = self._silences[upstream] = _UpstreamSilence()
        return silence
