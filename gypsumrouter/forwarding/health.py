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

from gypsumrouter.forwarding.silence_verdict import (
    EXPECTED_RESPONSE_MS,
    MAX_SOUND_SILENCE_MS,
    SilenceVerdict,
    TakenOver,
    judge_silence,
)
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
        request_since_ms = now_ms - silent_ms
        since_ms = max(silence.heard_ms, request_since_ms)
        if silence.silent_since_ms is not None:
            since_ms = min(since_ms, silence.silent_since_ms)
        responsive_since_ms = max(silence.responsive_since_ms, request_since_ms)
        verdict = judge_silence(
            TakenOver(
                request_silent_ms=silent_ms,
                upstream_silent_ms=now_ms - since_ms,
                responsive_ms=max(0, silence.heard_ms - responsive_since_ms),
                repeated=0 < silence.ended_ms <= request_since_ms
                and now_ms - silence.taken_over_ms < REPEATED_WITHIN_MS,
            )
        )
        silence.taken_over_ms = now_ms
        if since_ms > request_since_ms and verdict is not SilenceVerdict.LASTING:
            silence.ended_ms = silence.heard_ms
            return 1 if verdict is SilenceVerdict.FAILURE else 0
        silence.silent_since_ms = since_ms
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
        silent_ms = 0
        if self.silence is not None:
            silent_ms = self.silence.get_excess_ms(upstream)
            failures = self.silence.take_failures(upstream)
            self._count_silent(upstream, failures, EXPECTED_RESPONSE_MS + silent_ms)
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

    def note_received(self, upstream: str) -> None:
        """Record that an upstream has sent a part of any response."""
        if self.silence is not None:
            self.silence.note_response(upstream)

    def note_silent(self, upstream: str, *, silent_ms: int) -> None:
        """Record that another upstream took over from one that was silent for `silent_ms`.

        This counts as a failure only if the upstream responds to others meanwhile, is silent again
        or stays silent. Without `silence` it always does.
        """
        failures = 1
        if self.silence is not None:
            failures = self.silence.note_taken_over(upstream, silent_ms=silent_ms)
        self._count_silent(upstream, failures, silent_ms)

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
        if self.silence is not None:
            self.silence.forget(upstream)

    def sweep(self) -> None:
        """Drop expired state; call this about once a second."""
        if self.silence is not None:
            self.silence.sweep()

    def _count_silent(self, upstream: str, failures: int, silent_ms: int) -> None:
        if not failures:
            return
        record = self._get(upstream)
        for _ in range(failures):
            record.note_failure(self._clock.now_ms())
        self._record_change(upstream, record, f"silent for {silent_ms} ms")

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
