"""Failure rate and reachability of one upstream, from the outcomes of its requests."""

from __future__ import annotations

from typing import Final

# Half-life of the success and failure counts: an upstream that failed two of four requests is tried
# again with few requests after about six seconds.
HALF_LIFE_MS: Final = 2_500
# Weight of the prior, in successful observations.
PRIOR_OBSERVATIONS: Final = 2.0
# An unreachable upstream is skipped for this long, doubled with each failed connection attempt.
DOWN_FIRST_MS: Final = 300
DOWN_MAX_MS: Final = 2_000


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
