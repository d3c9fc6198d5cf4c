"""How far an upstream is trusted, judged by its answers and not by its health check.

Answers this load: upstreams that fail, reset or swallow a share of their requests while their
health check is good, and upstreams that vanish without a word. All of them may fail alike; then
their order stays as it was.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from gypsumrouter.journal import Journal, UpstreamHealth
from gypsumrouter.util.clock import Clock

# HealthRecord halves in this time: an upstream that failed two of four requests is tried again with
# few requests after about six seconds.
HALF_LIFE_MS: Final = 2_500
# What a certain failure costs, in the engine's time that placement weighs: three copies of a long
# prompt, so that an engine that fails a third of its requests is left even at the price of one.
FAILURE_COST_MS: Final = 800.0
# A request that has no prompt has little to lose, and its upstreams have nothing to copy.
PLAIN_FAILURE_COST_MS: Final = 200.0
# Before this much record an upstream counts as sound in part.
PRIOR_OBSERVATIONS: Final = 2.0
UNHEALTHY_SHARE: Final = 0.25
# An upstream that takes no connection is left alone for this long, doubled with each further try.
DOWN_FIRST_MS: Final = 300
DOWN_MAX_MS: Final = 2_000
# Peers are told for this long that an upstream refused a connection, which takes them two or three
# news, and leave it alone for so long after each of them. An upstream that is back is tried again
# by somebody within about 1.5 s.
REFUSAL_SHARED_MS: Final = 600
PEER_REFUSAL_DOWN_MS: Final = 600


class HealthRecord:
    """What is known of one upstream: decayed counts of good and failed answers."""

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
        # When it last refused a connection of this router; None where it has answered since.
        self.last_refused_ms: int | None = None
        self.healthy = True

    @property
    def observations(self) -> int:
        """Return how much record is left."""
        return round(self._successes + self._failures)

    def decay(self, now_ms: int) -> None:
        """Let old record fade."""
        factor = 0.5 ** ((now_ms - self._decayed_ms) / HALF_LIFE_MS)
        self._successes *= factor
        self._failures *= factor
        self._decayed_ms = now_ms

    def get_failure_rate(self, now_ms: int) -> float:
        """Return the expected share of failures."""
        self.decay(now_ms)
        return self._failures / (self._successes + self._failures + PRIOR_OBSERVATIONS)

    def note_success(self, now_ms: int) -> None:
        """Note a good answer."""
        self.decay(now_ms)
        self._successes += 1
        self._down_ms = 0
        self.last_refused_ms = None
        self.down_until_ms = 0

    def note_failure(self, now_ms: int) -> None:
        """Note a failed request."""
        self.decay(now_ms)
        self._failures += 1

    def note_unreachable(self, now_ms: int) -> None:
        """Note that no connection could be made, and leave the upstream alone for a while."""
        self.note_failure(now_ms)
        self._down_ms = min(DOWN_MAX_MS, self._down_ms * 2) if self._down_ms else DOWN_FIRST_MS
        self.down_until_ms = now_ms + self._down_ms


class HealthTracker:
    """The record of all upstreams."""

    __slots__ = ("_clock", "_journal", "_records")

    def __init__(self, *, clock: Clock, journal: Journal) -> None:
        self._clock = clock
        self._journal = journal
        self._records: dict[str, HealthRecord] = {}

    def penalty_ms(self, upstream: str, *, plain: bool = False) -> float:
        """Return what the failures of an upstream are expected to cost a request.

        `plain` requests have no prompt.
        """
        record = self._records.get(upstream)
        if record is None:
            return 0.0
        failure_ms = PLAIN_FAILURE_COST_MS if plain else FAILURE_COST_MS
        return record.get_failure_rate(self._clock.now_ms()) * failure_ms

    def is_down(self, upstream: str) -> bool:
        """Return whether an upstream took no connection a moment ago."""
        record = self._records.get(upstream)
        return record is not None and self._clock.now_ms() < record.down_until_ms

    def note_success(self, upstream: str) -> None:
        """Note a good answer."""
        record = self._get(upstream)
        record.note_success(self._clock.now_ms())
        self._record_change(upstream, record, "answered")

    def note_failure(self, upstream: str, *, reason: str) -> None:
        """Note a request that failed there."""
        record = self._get(upstream)
        record.note_failure(self._clock.now_ms())
        self._record_change(upstream, record, reason)

    def note_unreachable(self, upstream: str, *, reason: str, refused: bool = False) -> None:
        """Note that no connection could be made; `refused` where its machine said so itself."""
        record = self._get(upstream)
        record.note_unreachable(self._clock.now_ms())
        if refused:
            record.last_refused_ms = self._clock.now_ms()
        self._record_change(upstream, record, reason)

    def list_refusals(self) -> tuple[str, ...]:
        """Return the upstreams that refused a connection of this router a moment ago.

        Only a refusal is told: a connection that is not answered may be this router's own fault.
        """
        since_ms = self._clock.now_ms() - REFUSAL_SHARED_MS
        return tuple(
            upstream
            for upstream, record in self._records.items()
            if record.last_refused_ms is not None and record.last_refused_ms > since_ms
        )

    def apply_peer_refusals(self, upstreams: Iterable[str]) -> None:
        """Leave alone what refused a connection of a peer."""
        until_ms = self._clock.now_ms() + PEER_REFUSAL_DOWN_MS
        for upstream in upstreams:
            record = self._get(upstream)
            record.down_until_ms = max(record.down_until_ms, until_ms)

    def forget(self, upstream: str) -> None:
        """Forget an upstream that ended."""
        self._records.pop(upstream, None)

    def _get(self, upstream: str) -> HealthRecord:
        return self._records.setdefault(upstream, HealthRecord())

    def _record_change(self, upstream: str, record: HealthRecord, reason: str) -> None:
        failing = record.get_failure_rate(self._clock.now_ms())
        healthy = failing < UNHEALTHY_SHARE
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
