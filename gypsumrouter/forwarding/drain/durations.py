"""How long the answers of upstreams take, by those that were seen lately."""

from __future__ import annotations

from collections import deque

from gypsumrouter.forwarding.drain.const import (
    MANY_UPSTREAMS,
    MIN_ANSWERS,
    MIN_EVENTS,
    PLAIN_MS,
    QUANTILE,
    RECENT_MS,
    REMEMBERED_ANSWERS,
)
from gypsumrouter.forwarding.drain.paces import SeenAnswer, estimate_slowest_ms, find_pace
from gypsumrouter.forwarding.drain.silences import find_pause_ms
from gypsumrouter.forwarding.drain.slowdowns import SlowdownTracker
from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.util.clock import Clock


class SeenDurations:
    """How long the answers of each service have taken lately, by upstream."""

    __slots__ = ("_answers", "_clock", "_length_ratios", "slowdowns")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.slowdowns = SlowdownTracker(clock=clock)
        self._answers: dict[str, dict[str, deque[SeenAnswer]]] = {}
        # By service: events of the last answers for each token that was asked for.
        self._length_ratios: dict[str, deque[float]] = {}

    def note(self, service: str, prompt: Prompt | None, progress: Progress) -> None:
        """Record a complete answer that ends now."""
        now_ms = self._clock.now_ms()
        total_ms = now_ms - progress.arrived_ms
        asked = 0 if prompt is None else prompt.max_output_tokens
        events = progress.events
        upstreams = self._answers.setdefault(service, {})
        seen = upstreams.setdefault(progress.upstream, deque(maxlen=REMEMBERED_ANSWERS))
        silent_ms = find_pause_ms(progress, seen=seen)
        first_ms, pace_ms = total_ms, None
        if asked and not events:
            # An answer in one piece comes when its last token is there.
            first_ms, pace_ms = 0, total_ms / asked
        elif asked:
            first_ms = progress.first_byte_ms
            ratios = self._length_ratios.setdefault(service, deque(maxlen=REMEMBERED_ANSWERS))
            ratios.append(events / asked)
            if events > 1:
                moving_ms = total_ms - first_ms - silent_ms
                pace_ms = moving_ms / _count_paced(progress) * (events / asked)
        answer = SeenAnswer(
            first_ms=first_ms,
            ms_per_token=pace_ms,
            longest_pause_ms=progress.longest_pause_ms,
            tokens=0 if prompt is None else prompt.input_tokens,
            ended_ms=now_ms,
        )
        seen.append(answer)
        self.slowdowns.note(service, prompt, progress, seen, silent_ms=silent_ms)

    def sweep(self) -> None:
        """Drop upstreams that have not answered lately."""
        oldest_ms = self._clock.now_ms() - RECENT_MS
        for service, upstreams in tuple(self._answers.items()):
            kept = {u: seen for u, seen in upstreams.items() if seen[-1].ended_ms >= oldest_ms}
            if kept:
                self._answers[service] = kept
            else:
                del self._answers[service]
                self._length_ratios.pop(service, None)
        self.slowdowns.sweep(self._answers)

    def is_known(self, service: str, upstream: str | None = None) -> bool:
        """Return whether a service, and an upstream of it, has answered lately.

        For the service that is often enough to tell its pace.
        """
        recent = self._list_recent(service)
        if upstream is not None and upstream not in recent:
            return False
        return sum(map(len, recent.values())) >= MIN_ANSWERS

    def estimate_ms(
        self,
        service: str,
        prompt: Prompt | None,
        *,
        upstream: str | None = None,
        quantile: float = QUANTILE,
    ) -> float:
        """Return how long an answer takes at most, by a quantile of the paces that were seen.

        Without an `upstream` that is at the fastest of the service. One that has not answered
        lately is taken for the slowest of many others, or for the slowest that is expected.
        """
        if not self.is_known(service):
            return PLAIN_MS if prompt is None else estimate_slowest_ms(prompt)
        recent = self._list_recent(service)
        now_ms = self._clock.now_ms()
        estimates = {
            name: find_pace(seen, quantile, now_ms).estimate_ms(prompt)
            for name, seen in recent.items()
        }
        if upstream is None:
            return min(estimates.values())
        if upstream in estimates:
            return estimates[upstream]
        slowest_ms = max(estimates.values())
        if prompt is None or len(estimates) >= MANY_UPSTREAMS:
            return slowest_ms
        return max(slowest_ms, estimate_slowest_ms(prompt))

    def estimate_running_ms(self, service: str, prompt: Prompt, running: Progress) -> float:
        """Return how long an answer takes that is no faster than one that is under way."""
        since_ms = self._clock.now_ms() - running.arrived_ms
        if running.first_byte_ms < 0:
            return since_ms
        if running.events < MIN_EVENTS:
            return running.first_byte_ms
        ratios = sorted(self._length_ratios.get(service, ()))
        ratio = ratios[len(ratios) // 2] if ratios else 1.0
        seen = self._answers.get(service, {}).get(running.upstream, ())
        moving_ms = since_ms - running.first_byte_ms - find_pause_ms(running, seen=tuple(seen))
        pace_ms = moving_ms / _count_paced(running)
        return running.first_byte_ms + pace_ms * ratio * (prompt.max_output_tokens - 1)

    def _list_recent(self, service: str) -> dict[str, list[SeenAnswer]]:
        """Return the recent answers of each upstream that has any."""
        oldest_ms = self._clock.now_ms() - RECENT_MS
        recent = {
            name: [answer for answer in seen if answer.ended_ms >= oldest_ms]
            for name, seen in self._answers.get(service, {}).items()
        }
        return {name: seen for name, seen in recent.items() if seen}


def _count_paced(progress: Progress) -> int:
    """Return how many events of a stream took time; those of its first part came at once."""
    later = progress.events - progress.first_events
    return later if progress.first_events and later else progress.events - 1
