"""By how much answers have taken longer than their estimates."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from gypsumrouter.forwarding.drain.const import (
    KEEP_ESTIMATES_MS,
    MARGIN_MS,
    MEDIAN,
    MIN_COMPARED,
    RECENT_MS,
)
from gypsumrouter.forwarding.drain.paces import Pace, SeenAnswer, find_pace
from gypsumrouter.forwarding.drain.silences import find_silence_before_ms
from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.util.clock import Clock


class Compared(NamedTuple):
    """Answers of about a second: how many were compared with the pace known when they began.

    `worst` is the largest time of an answer, without a silence, divided by its estimate.
    """

    since_ms: int
    answers: int
    worst: float


class SlowdownTracker:
    """By how much the answers of each service have lately taken longer than their estimates."""

    __slots__ = ("_clock", "_compared", "_paces")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # By service and upstream: the paces of the last half minute.
        self._paces: dict[str, dict[str, deque[Pace]]] = {}
        self._compared: dict[str, deque[Compared]] = {}

    def note(
        self,
        service: str,
        prompt: Prompt | None,
        progress: Progress,
        seen: Sequence[SeenAnswer],
        *,
        silent_ms: float,
    ) -> None:
        """Compare an answer that ends now; `seen` are the answers of its upstream with it.

        `silent_ms` is how long it stood still behind its first event.
        """
        now_ms = self._clock.now_ms()
        kept = RECENT_MS // KEEP_ESTIMATES_MS
        paces = self._paces.setdefault(service, {})
        upstream = paces.setdefault(progress.upstream, deque(maxlen=kept))
        known = (pace for pace in reversed(upstream) if pace.known_at_ms <= progress.arrived_ms)
        if (pace := next(known, None)) is not None:
            estimate_ms = pace.estimate_ms(prompt)
            total_ms = now_ms - progress.arrived_ms
            first_ms = progress.first_byte_ms if progress.events else total_ms
            usual_ms = pace.estimate_first_ms(prompt) if progress.events else estimate_ms
            silent_ms = max(silent_ms, find_silence_before_ms(first_ms, usual_ms=usual_ms))
            # An admission adds the margin, and the time of a silence, to its estimate.
            took_ms = total_ms - silent_ms - MARGIN_MS
            self._add(service, took_ms / max(1.0, estimate_ms))
        if not upstream or now_ms - upstream[-1].known_at_ms >= KEEP_ESTIMATES_MS:
            upstream.append(find_pace(seen, MEDIAN, now_ms))

    def _add(self, service: str, ratio: float) -> None:
        now_ms = self._clock.now_ms()
        kept = RECENT_MS // KEEP_ESTIMATES_MS
        compared = self._compared.setdefault(service, deque(maxlen=kept))
        if compared and now_ms - compared[-1].since_ms < KEEP_ESTIMATES_MS:
            last = compared.pop()
            compared.append(Compared(last.since_ms, last.answers + 1, max(last.worst, ratio)))
        else:
            compared.append(Compared(now_ms, 1, ratio))

    def sweep(self, known: Mapping[str, Collection[str]]) -> None:
        """Drop what is not in `known`, the upstreams of each service that have answered lately."""
        for service, paces in tuple(self._paces.items()):
            kept = {u: seen for u, seen in paces.items() if u in known.get(service, ())}
            if kept:
                self._paces[service] = kept
            else:
                del self._paces[service]
                self._compared.pop(service, None)

    def find_worst(self, service: str) -> float | None:
        """Return the largest time of a recent answer, without a silence, divided by its estimate.

        None if few answers tell.
        """
        oldest_ms = self._clock.now_ms() - RECENT_MS
        recent = [c for c in self._compared.get(service, ()) if c.since_ms >= oldest_ms]
        if sum(c.answers for c in recent) < MIN_COMPARED:
            return None
        return max(c.worst for c in recent)
