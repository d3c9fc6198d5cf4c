"""Admission of requests while the router drains.

During a rolling restart some load balancers keep sending requests to a router that reports not
ready, because no other is available. Rejecting all of them while a long stream finishes would be an
outage of several seconds. Requests are therefore admitted if they end in time by what this router
has seen of their service.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from gypsumrouter.forwarding.const import DRAIN_GRACE_MS
from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.util.clock import Clock

# The slowest pace and the latest first event that are expected of an engine.
SLOWEST_MS_PER_TOKEN: Final = 50.0
LATEST_FIRST_MS: Final = 4_000
# Expected time of a plain request whose service has not answered lately.
PLAIN_MS: Final = 400
# Answers that are older than this say nothing about the present pace.
RECENT_MS: Final = 30_000
REMEMBERED_ANSWERS: Final = 32
# With fewer recent answers of a service the slowest pace is assumed.
MIN_ANSWERS: Final = 5
# From so many upstreams on, the slowest of them tells of another one of their service.
MANY_UPSTREAMS: Final = 5
# Share of an upstream's answers that are no slower than its pace is taken to be.
QUANTILE: Final = 0.95
# Time that the last bytes of an answer take, and by which an estimate may be short.
MARGIN_MS: Final = 100
# By how much an upstream may slow down after it has got a request that must not be cut.
SLOWDOWN: Final = 2.5
# Events of a stream from which on its pace so far counts.
MIN_EVENTS: Final = 10


class SeenAnswer(NamedTuple):
    """An answer of an upstream: time to its first event, and pace for each token asked for.

    The pace is None if the answer shows none. `tokens` is the size of its prompt, and `ended_ms`
    when it ended (monotonic milliseconds).
    """

    first_ms: float
    ms_per_token: float | None
    tokens: int
    ended_ms: int


class SeenDurations:
    """How long the answers of each service have taken lately, by upstream."""

    __slots__ = ("_answers", "_clock", "_length_ratios")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._answers: dict[str, dict[str, deque[SeenAnswer]]] = {}
        # By service: events of the last answers for each token that was asked for.
        self._length_ratios: dict[str, deque[float]] = {}

    def note(self, service: str, prompt: Prompt | None, progress: Progress) -> None:
        """Record a complete answer that ends now."""
        now_ms = self._clock.now_ms()
        total_ms = now_ms - progress.arrived_ms
        asked = 0 if prompt is None else prompt.max_output_tokens
        events = progress.events
        first_ms, pace_ms = total_ms, None
        if asked and not events:
            # An answer in one piece comes when its last token is there.
            first_ms, pace_ms = 0, total_ms / asked
        elif asked:
            first_ms = progress.first_byte_ms
            ratios = self._length_ratios.setdefault(service, deque(maxlen=REMEMBERED_ANSWERS))
            ratios.append(events / asked)
            if events > 1:
                pace_ms = (total_ms - first_ms) / (events - 1) * (events / asked)
        answer = SeenAnswer(
            first_ms=first_ms,
            ms_per_token=pace_ms,
            tokens=0 if prompt is None else prompt.input_tokens,
            ended_ms=now_ms,
        )
        upstreams = self._answers.setdefault(service, {})
        upstreams.setdefault(progress.upstream, deque(maxlen=REMEMBERED_ANSWERS)).append(answer)

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

    def is_known(self, service: str, upstream: str | None = None) -> bool:
        """Return whether a service, and an upstream of it, has answered lately.

        For the service that is often enough to tell its pace.
        """
        recent = self._list_recent(service)
        if upstream is not None and upstream not in recent:
            return False
        return sum(map(len, recent.values())) >= MIN_ANSWERS

    def estimate_ms(
        self, service: str, prompt: Prompt | None, *, upstream: str | None = None
    ) -> float:
        """Return how long an answer takes at most.

        Without an `upstream` that is at the fastest of the service. One that has not answered
        lately is taken for the slowest of many others, or for the slowest that is expected.
        """
        if not self.is_known(service):
            return PLAIN_MS if prompt is None else _estimate_slowest_ms(prompt)
        recent = self._list_recent(service)
        estimates = {name: _estimate_ms(seen, prompt) for name, seen in recent.items()}
        if upstream is None:
            return min(estimates.values())
        if upstream in estimates:
            return estimates[upstream]
        slowest_ms = max(estimates.values())
        if prompt is None or len(estimates) >= MANY_UPSTREAMS:
            return slowest_ms
        return max(slowest_ms, _estimate_slowest_ms(prompt))

    def estimate_running_ms(self, service: str, prompt: Prompt, running: Progress) -> float:
        """Return how long an answer takes that is no faster than one that is under way."""
        since_ms = self._clock.now_ms() - running.arrived_ms
        if running.first_byte_ms < 0:
            return since_ms
        if running.events < MIN_EVENTS:
            return running.first_byte_ms
        ratios = sorted(self._length_ratios.get(service, ()))
        ratio = ratios[len(ratios) // 2] if ratios else 1.0
        pace_ms = (since_ms - running.first_byte_ms) / (running.events - 1)
        return running.first_byte_ms + pace_ms * ratio * (prompt.max_output_tokens - 1)

    def _list_recent(self, service: str) -> dict[str, list[SeenAnswer]]:
        """Return the recent answers of each upstream that has any."""
        oldest_ms = self._clock.now_ms() - RECENT_MS
        recent = {
            name: [answer for answer in seen if answer.ended_ms >= oldest_ms]
            for name, seen in self._answers.get(service, {}).items()
        }
        return {name: seen for name, seen in recent.items() if seen}


def _estimate_slowest_ms(prompt: Prompt) -> float:
    return LATEST_FIRST_MS + SLOWEST_MS_PER_TOKEN * prompt.max_output_tokens


def _estimate_ms(seen: list[SeenAnswer], prompt: Prompt | None) -> float:
    """Return how long an answer takes at the upstream of these answers.

    The first event of a prompt takes longer where the prompt is longer than those seen.
    """
    first_ms = _find_quantile(answer.first_ms for answer in seen)
    if prompt is None:
        return first_ms
    longest = max(answer.tokens for answer in seen)
    if longest:
        first_ms *= max(1.0, prompt.input_tokens / longest)
    paces = [answer.ms_per_token for answer in seen if answer.ms_per_token is not None]
    pace_ms = _find_quantile(paces) if paces else SLOWEST_MS_PER_TOKEN
    return first_ms + pace_ms * max(0, prompt.max_output_tokens - 1)


def _find_quantile(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[math.ceil(QUANTILE * len(ordered)) - 1]


class DrainAdmission:
    """Decides whether a new request is admitted while the router drains.

    A request is admitted only if it is expected to end `limit_ms` after the beginning of the stop,
    when what is under way is cut. In the first `DRAIN_GRACE_MS`, until load balancers have seen the
    readiness change, those to services and upstreams of which nothing is known lately are admitted
    as well.
    """

    __slots__ = ("_clock", "_limit_ms", "_running", "_started_ms", "durations")

    def __init__(self, *, clock: Clock, limit_ms: int) -> None:
        self._clock = clock
        self._limit_ms = limit_ms
        self._started_ms: int | None = None
        self._running: dict[int, tuple[str, Progress]] = {}
        self.durations = SeenDurations(clock=clock)

    def set_limit(self, limit_ms: int) -> None:
        """Set the maximum duration of a drain."""
        self._limit_ms = limit_ms

    @property
    def limit_ms(self) -> int:
        """Return the maximum duration of a drain."""
        return self._limit_ms

    @property
    def limit_at_ms(self) -> int:
        """Return when a drain that began or begins now has to end (monotonic milliseconds)."""
        started_ms = self._clock.now_ms() if self._started_ms is None else self._started_ms
        return started_ms + self._limit_ms

    @property
    def grace_left_ms(self) -> int:
        """Return how long load balancers may still need to see that the router drains."""
        if self._started_ms is None:
            return DRAIN_GRACE_MS
        return max(0, self._started_ms + DRAIN_GRACE_MS - self._clock.now_ms())

    @property
    def draining(self) -> bool:
        """Return whether the drain has started."""
        return self._started_ms is not None

    def begin(self, started_ms: int | None = None) -> None:
        """Start the drain of a stop that was asked for at `started_ms`, by default now."""
        self._started_ms = self._clock.now_ms() if started_ms is None else started_ms

    def request_started(self, number: int, *, service: str, progress: Progress) -> None:
        """Track a running request to a service."""
        self._running[number] = (service, progress)

    def request_ended(self, number: int) -> None:
        """Stop tracking a request that has ended."""
        self._running.pop(number, None)

    def admits(
        self,
        service: str,
        prompt: Prompt | None,
        *,
        remaining_ms: int,
        upstream: str | None = None,
    ) -> bool:
        """Return whether to admit a request to a service, or to send it to an upstream.

        It ends after `remaining_ms` at the latest, which is its deadline.
        """
        if self._started_ms is None:
            return True
        if self.grace_left_ms and not self.durations.is_known(service, upstream):
            return True
        left_ms = self.limit_at_ms - self._clock.now_ms() - MARGIN_MS
        if remaining_ms <= left_ms:
            return True
        estimate_ms = self.durations.estimate_ms(service, prompt, upstream=upstream)
        if prompt is not None and upstream is not None:
            under_way = (
                self.durations.estimate_running_ms(service, prompt, progress)
                for name, progress in self._running.values()
                if name == service and progress.upstream == upstream
            )
            estimate_ms = max(estimate_ms, max(under_way, default=0.0))
        if not self.grace_left_ms:
            estimate_ms *= SLOWDOWN
        return estimate_ms <= left_ms
