"""Records the requests sent to upstreams, from sending to their end."""

from __future__ import annotations

from collections.abc import Callable

from gypsumrouter.core import Remove
from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.placed import Placement, SentRequest
from gypsumrouter.forwarding.trackers import UpstreamTrackers
from gypsumrouter.util.clock import Clock

PlacementListener = Callable[[int, str], None]


class SentRequests:
    """Passes the progress of each sent request on to the trackers."""

    __slots__ = ("_clock", "_listeners", "_trackers")

    def __init__(self, *, clock: Clock, trackers: UpstreamTrackers) -> None:
        self._clock = clock
        self._trackers = trackers
        self._listeners: list[PlacementListener] = []

    def on_placed(self, listener: PlacementListener) -> Remove:
        """Call `listener(part, upstream)` for each shared prompt part sent to an upstream."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def begin(self, placed: Placement, prompt: Prompt | None) -> SentRequest:
        """Record a request that is sent, and the prompt parts that its upstream will cache."""
        upstream = placed.entry.incarnation
        trackers = self._trackers
        silence = trackers.health.silence
        awaited = 0 if silence is None else silence.begin(upstream)
        trackers.slow_start.note_sent(upstream)
        trackers.load_reports.note_sent(upstream)
        if prompt is None:
            trackers.loads.begin(upstream, tokens=0)
            return SentRequest(upstream=upstream, tokens=0, new_parts=(), awaited=awaited)
        now_ms = self._clock.now_ms()
        tokens = trackers.cache_index.missing_tokens(
            parts=prompt.parts, upstream=upstream, now_ms=now_ms
        )
        if placed.fetch_from is not None or placed.probably_cached:
            tokens = max(0, tokens - placed.missing_tokens)
        new_parts = tuple(
            part.part
            for part in prompt.parts
            if trackers.cache_index.note(part=part.part, upstream=upstream, now_ms=now_ms)
        )
        for part in prompt.shared:
            for listener in self._listeners:
                listener(part.part, upstream)
        trackers.loads.begin(upstream, tokens=tokens)
        held = trackers.uneven_load.note_sent(upstream, service=placed.entry.service, prompt=prompt)
        return SentRequest(
            upstream=upstream,
            tokens=tokens,
            new_parts=new_parts,
            sent_ms=now_ms,
            uncontended=placed.pending_tokens == 0 and placed.fetch_from is None,
            awaited=awaited,
            held=held,
            shared_part=prompt.shared[-1].part if prompt.shared else None,
        )

    def note_prefilled(self, sent: SentRequest) -> None:
        """Record that a response has begun, or that the attempt ended without one.

        In both cases the prompt is no longer waiting for prefill, and the upstream is not silent.
        """
        self._trackers.loads.note_prefilled(sent.upstream, tokens=sent.tokens)
        self._end_silence(sent)

    def note_first_event(self, sent: SentRequest) -> None:
        """Update the prefill speed from the time to the first event of a response."""
        if not sent.uncontended:
            return
        now_ms = self._clock.now_ms()
        first_event_ms = now_ms - sent.sent_ms
        self._trackers.prefill_speed.note(tokens=sent.tokens, first_event_ms=first_event_ms)
        self._trackers.uneven_load.note_first_event(
            sent, first_event_ms=first_event_ms, now_ms=now_ms
        )

    def note_not_run(self, sent: SentRequest) -> None:
        """Undo the cache entries recorded for a request that its upstream did not run."""
        for part in sent.new_parts:
            self._trackers.cache_index.forget(part=part, upstream=sent.upstream)

    def end(self, sent: SentRequest, *, held_ms: int) -> None:
        """Record that an attempt has ended, and how long it counted as running."""
        self._trackers.loads.end(sent.upstream)
        self._end_silence(sent)
        self._trackers.loads.note_held(sent.upstream, held_ms=held_ms)
        self._trackers.uneven_load.note_ended(sent, held_ms=held_ms)

    def _end_silence(self, sent: SentRequest) -> None:
        silence = self._trackers.health.silence
        if silence is not None:
            silence.end(sent.upstream, sent.awaited)
