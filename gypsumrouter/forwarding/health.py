"""Passive health checks: failure rates and reachability of upstreams, from their responses.

Detects upstreams that fail, reset or never answer some of their requests although their health
check succeeds, and upstreams that disappear. If all upstreams fail alike, their relative order does
not change. Upstreams at capacity that named a time before which not to retry are in back-off: a
request sent earlier would be rejected again, at the cost of a round trip.

Upstreams that have stopped responding are detected before requests to them time out: when many
fall silent at once, each of them would get further requests until the first one has timed out,
which takes a multiple of its target latency.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from gypsumrouter.journal import Journal, UpstreamHealth, UpstreamResting
from gypsumrouter.util.clock import Clock

# Half-life of the success and failure counts: an upstream that failed two of four requests is tried
# again with few requests after about six seconds.
HALF_LIFE_MS: Final = 2_500
# Cost of a failure in the placement's cost estimate, to be multiplied by the failure rate.
# It is that of three copies of a long prompt, so that an engine that fails a third of its requests
# is left even at the price of one copy.
FAILURE_COST_MS: Final = 800.0
# The same for requests without shared prompt parts. Most of these are plain requests, which lose no
# prefill work when they fail.
PLAIN_FAILURE_COST_MS: Final = 200.0
# Weight of the prior, in successful observations.
PRIOR_OBSERVATIONS: Final = 2.0
# Upper bound on the back-off requested by one response.
MAX_BACKOFF_MS: Final = 600_000
UNHEALTHY_FAILURE_RATE: Final = 0.25
# An unreachable upstream is skipped for this long, doubled with each failed connection attempt.
DOWN_FIRST_MS: Final = 300
DOWN_MAX_MS: Final = 2_000
# A refused connection is reported to peers for this long, and each report makes them skip the
# upstream for PEER_REFUSAL_DOWN_MS. Peers learn of it after two or three updates, and some router
# tries an upstream that is back within about 1.5 s.
REFUSAL_SHARED_MS: Final = 600
PEER_REFUSAL_DOWN_MS: Final = 600
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


class HealthRecord:
    """Exponentially decayed counts of one upstream's successes and failures."""

    __slots__ = (
        "_decayed_ms",
        "_down_ms",
        "_failures",
        "_successes",
        "down_until_ms",
        "healthy",
        "last_refused_ms",
    )

    def __init__(self) -> None:
        self._successes = 0.0
        self._failures = 0.0
        self._decayed_ms = 0
        self._down_ms = 0
        self.down_until_ms = 0
        # When it last refused a connection of this router; None if it has answered since.
        self.last_refused_ms: int | None = None
        self.healthy = True

    @property
    def observations(self) -> int:
        """Return the decayed number of successes and failures."""
        return round(self._successes + self._failures)

    def decay(self, now_ms: int) -> None:
        """Decay the counts to `now_ms`."""
        factor = 0.5 ** ((now_ms - self._decayed_ms) / HALF_LIFE_MS)
        self._successes *= factor
        self._failures *= factor
        self._decayed_ms = now_ms

    def get_failure_rate(self, now_ms: int) -> float:
        """Return the estimated share of requests that fail."""
        self.decay(now_ms)
        return self._failures / (self._successes + self._failures + PRIOR_OBSERVATIONS)

    def note_success(self, now_ms: int) -> None:
        """Count a success; the upstream is no longer down."""
        self.decay(now_ms)
        self._successes += 1
        self._down_ms = 0
        self.last_refused_ms = None
        self.down_until_ms = 0

    def note_failure(self, now_ms: int) -> None:
        """Count a failed request."""
        self.decay(now_ms)
        self._failures += 1

    def note_unreachable(self, now_ms: int) -> None:
        """Count a failed connection attempt and mark the upstream as down for a while."""
        self.note_failure(now_ms)
        self._down_ms = min(DOWN_MAX_MS, self._down_ms * 2) if self._down_ms else DOWN_FIRST_MS
        self.down_until_ms = now_ms + self._down_ms


class HealthTracker:
    """The health records of all upstreams.

    With `silence`, an upstream that has stopped responding is penalized before requests time out.
    """

    __slots__ = ("_clock", "_journal", "_records", "silence")

    def __init__(
        self, *, clock: Clock, journal: Journal, silence: SilenceTracker | None = None
    ) -> None:
        self.silence = silence
        self._clock = clock
        self._journal = journal
        self._records: dict[str, HealthRecord] = {}

    def penalty_ms(self, upstream: str, *, plain: bool = False) -> float:
        """Return the cost in ms of a request to an upstream due to failures and to silence.

        Each millisecond of silence beyond that of a usual response costs one. `plain` is set for
        requests without shared prompt parts.
        """
        silent_ms = 0 if self.silence is None else self.silence.get_excess_ms(upstream)
        record = self._records.get(upstream)
        if record is None:
            return silent_ms
        failure_ms = PLAIN_FAILURE_COST_MS if plain else FAILURE_COST_MS
        return silent_ms + record.get_failure_rate(self._clock.now_ms()) * failure_ms

    def is_down(self, upstream: str) -> bool:
        """Return whether an upstream was found unreachable a moment ago."""
        record = self._records.get(upstream)
        return record is not None and self._clock.now_ms() < record.down_until_ms

    def note_success(self, upstream: str) -> None:
        """Count a successful response of an upstream."""
        record = self._get(upstream)
        record.note_success(self._clock.now_ms())
        self._record_change(upstream, record, "answered")

    def note_failure(self, upstream: str, *, reason: str) -> None:
        """Count a failed request; `reason` goes to the journal."""
        record = self._get(upstream)
        record.note_failure(self._clock.now_ms())
        self._record_change(upstream, record, reason)

    def note_silent(self, upstream: str, *, silent_ms: int) -> None:
        """Record that another upstream took over from one that was silent for `silent_ms`."""
        self.note_failure(upstream, reason=f"silent for {silent_ms} ms")

    def note_unreachable(self, upstream: str, *, reason: str, refused: bool = False) -> None:
        """Record a failed connection attempt; `refused` if the host actively refused it."""
        record = self._get(upstream)
        record.note_unreachable(self._clock.now_ms())
        if refused:
            record.last_refused_ms = self._clock.now_ms()
        self._record_change(upstream, record, reason)

    def list_refusals(self) -> tuple[str, ...]:
        """Return the upstreams that recently refused a connection of this router, for its peers.

        Connections that timed out are not reported: the fault may be on this router's side.
        """
        since_ms = self._clock.now_ms() - REFUSAL_SHARED_MS
        return tuple(
            upstream
            for upstream, record in self._records.items()
            if record.last_refused_ms is not None and record.last_refused_ms > since_ms
        )

    def apply_peer_refusals(self, upstreams: Iterable[str]) -> None:
        """Mark upstreams as down that refused a connection of a peer router."""
        until_ms = self._clock.now_ms() + PEER_REFUSAL_DOWN_MS
        for upstream in upstreams:
            record = self._get(upstream)
            record.down_until_ms = max(record.down_until_ms, until_ms)

    def forget(self, upstream: str) -> None:
        """Drop the record of an upstream that was removed."""
        self._records.pop(upstream, None)

    def _get(self, upstream: str) -> HealthRecord:
        return self._records.setdefault(upstream, HealthRecord())

    def _record_change(self, upstream: str, record: HealthRecord, reason: str) -> None:
        failing = record.get_failure_rate(self._clock.now_ms())
        healthy = failing < UNHEALTHY_FAILURE_RATE
        if healthy == record.healthy:
            return
        record.healthy = healthy
        self._journal.record(
            UpstreamHealth(
                upstream=upstream,
                healthy=healthy,
                failing=round(failing, 3),
                reason=reason,
                observations=record.observations,
            )
        )


class BackoffTracker:
    """The end of each upstream's back-off, from responses to this router's requests."""

    __slots__ = ("_clock", "_journal", "_until_ms")

    def __init__(self, *, clock: Clock, journal: Journal) -> None:
        self._clock = clock
        self._journal = journal
        self._until_ms: dict[str, int] = {}

    def note(self, upstream: str, *, backoff_ms: int) -> None:
        """Start or extend the back-off of an upstream; it is never shortened.

        Responses to concurrent requests arrive in any order.
        """
        backoff_ms = min(backoff_ms, MAX_BACKOFF_MS)
        until_ms = self._clock.now_ms() + backoff_ms
        if until_ms <= self._until_ms.get(upstream, 0):
            return
        self._until_ms[upstream] = until_ms
        self._journal.record(UpstreamResting(upstream=upstream, rest_ms=backoff_ms))

    def is_backing_off(self, upstream: str) -> bool:
        """Return whether an upstream must not receive requests now."""
        return self.get_remaining_ms(upstream) > 0

    def get_remaining_ms(self, upstream: str) -> int:
        """Return the remaining back-off of an upstream; 0 if there is none."""
        until_ms = self._until_ms.get(upstream)
        return 0 if until_ms is None else max(0, until_ms - self._clock.now_ms())

    def sweep(self) -> None:
        """Drop back-offs that have ended; call this about once a second.

        Back-offs of removed upstreams stay: the directory entry may only have expired.
        """
        now_ms = self._clock.now_ms()
        for upstream, until_ms in tuple(self._until_ms.items()):
            if until_ms <= now_ms:
                del self._until_ms[upstream]
