"""Admission of requests while the router drains.

During a rolling restart some load balancers keep sending requests to a router that reports not
ready, because no other is available. Rejecting all of them while a long stream finishes would be an
outage of several seconds. Requests are therefore admitted if they end in time by what this router
has seen of their service.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Iterable, Mapping, Sequence
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
# The same where the estimate is multiplied by how far estimates have been off.
MEDIAN: Final = 0.5
# Time that the last bytes of an answer take, and by which an estimate may be short.
MARGIN_MS: Final = 100
# By how much an upstream may slow down after it has got a request that must not be cut, as it may
# not have done before.
SLOWDOWN: Final = 1.5
# With fewer answers that were compared with their estimates these tell nothing.
MIN_COMPARED: Final = 30
# Estimates are kept for a later comparison this often.
KEEP_ESTIMATES_MS: Final = 1_000
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


class Pace(NamedTuple):
    """The pace of an upstream as it was known at a time (monotonic milliseconds).

    `first_ms` is for prompts of at most `longest` tokens.
    """

    known_at_ms: int
    first_ms: float
    longest: int
    ms_per_token: float

    def estimate_ms(self, prompt: Prompt | None) -> float:
        """Return how long an answer takes.

        The first event of a prompt takes longer where the prompt is longer than those seen.
        """
        if prompt is None:
            return self.first_ms
        first_ms = self.first_ms
        if self.longest:
            first_ms *= max(1.0, prompt.input_tokens / self.longest)
        return first_ms + self.ms_per_token * max(0, prompt.max_output_tokens - 1)


class Compared(NamedTuple):
    """Answers of about a second: how many were compared with the pace known when they began.

    `worst` is the largest time of an answer divided by its estimate.
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
        self, service: str, prompt: Prompt | None, progress: Progress, seen: Sequence[SeenAnswer]
    ) -> None:
        """Compare an answer that ends now; `seen` are the answers of its upstream with it."""
        now_ms = self._clock.now_ms()
        kept = RECENT_MS // KEEP_ESTIMATES_MS
        paces = self._paces.setdefault(service, {})
        upstream = paces.setdefault(progress.upstream, deque(maxlen=kept))
        known = (pace for pace in reversed(upstream) if pace.known_at_ms <= progress.arrived_ms)
        if (pace := next(known, None)) is not None:
            # An admission adds the margin to its estimate.
            took_ms = now_ms - progress.arrived_ms - MARGIN_MS
            self._add(service, took_ms / max(1.0, pace.estimate_ms(prompt)))
        if not upstream or now_ms - upstream[-1].known_at_ms >= KEEP_ESTIMATES_MS:
            upstream.append(_find_pace(seen, MEDIAN, now_ms))

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
        """Return the largest time of a recent answer divided by its estimate.

        None if few answers tell.
        """
        oldest_ms = self._clock.now_ms() - RECENT_MS
        recent = [c for c in self._compared.get(service, ()) if c.since_ms >= oldest_ms]
        if sum(c.answers for c in recent) < MIN_COMPARED:
            return None
        return max(c.worst for c in recent)


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
        seen = upstreams.setdefault(progress.upstream, deque(maxlen=REMEMBERED_ANSWERS))
        seen.append(answer)
        self.slowdowns.note(service, prompt, progress, seen)

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
            return PLAIN_MS if prompt is None else _estimate_slowest_ms(prompt)
        recent = self._list_recent(service)
        now_ms = self._clock.now_ms()
        estimates = {
            name: _find_pace(seen, quantile, now_ms).estimate_ms(prompt)
            for name, seen in recent.items()
        }
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


def _find_pace(seen: Sequence[SeenAnswer], quantile: float, now_ms: int) -> Pace:
    """Return the pace of the upstream of these answers."""
    paces = [answer.ms_per_token for answer in seen if answer.ms_per_token is not None]
    return Pace(
        known_at_ms=now_ms,
        first_ms=_find_quantile([answer.first_ms for answer in seen], quantile),
        longest=max(answer.tokens for answer in seen),
        ms_per_token=_find_quantile(paces, quantile) if paces else SLOWEST_MS_PER_TOKEN,
    )


def _find_quantile(values: Iterable[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[math.ceil(quantile * len(ordered)) - 1]


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
        quantile, slowdown = self._choose_margin(service)
        estimate_ms = self.durations.estimate_ms(
            service, prompt, upstream=upstream, quantile=quantile
        )
        if prompt is not None and upstream is not None:
            under_way = (
                self.durations.estimate_running_ms(service, prompt, progress)
                for name, progress in self._running.values()
                if name == service and progress.upstream == upstream
            )
            estimate_ms = max(estimate_ms, max(under_way, default=0.0))
        return estimate_ms * slowdown <= left_ms

    def _choose_margin(self, service: str) -> tuple[float, float]:
        """Return the quantile of an estimate, and by how much an answer may take longer."""
        if self.grace_left_ms:
            return QUANTILE, 1.0
        worst = self.durations.slowdowns.find_worst(service)
        if worst is None:
            return QUANTILE, SLOWDOWN
        return MEDIAN, max(SLOWDOWN, worst)
