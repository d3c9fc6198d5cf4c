"""Passive health checks: failure rates and reachability of upstreams, from their responses.

Detects upstreams that fail, reset or never answer some of their requests although their health
check succeeds, and upstreams that disappear. If all upstreams fail alike, their relative order does
not change.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from gypsumrouter.forwarding.health.record import HealthRecord
from gypsumrouter.forwarding.health.silence_verdict import EXPECTED_RESPONSE_MS
from gypsumrouter.forwarding.health.silences import SilenceTracker
from gypsumrouter.journal import Journal, UpstreamHealth
from gypsumrouter.util.clock import Clock

# Cost of a failure in the placement's cost estimate, to be multiplied by the failure rate.
# It is that of three copies of a long prompt, so that an engine that fails a third of its requests
# is left even at the price of one copy.
FAILURE_COST_MS: Final = 800.0
# The same for requests without shared prompt parts. Most of these are plain requests, which lose no
# prefill work when they fail.
PLAIN_FAILURE_COST_MS: Final = 200.0
UNHEALTHY_FAILURE_RATE: Final = 0.25
# A refused connection is reported to peers for this long, and each report makes them skip the
# upstream for PEER_REFUSAL_DOWN_MS. Peers learn of it after two or three updates, and some router
# tries an upstream that is back within about 1.5 s.
REFUSAL_SHARED_MS: Final = 600
PEER_REFUSAL_DOWN_MS: Final = 600


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
