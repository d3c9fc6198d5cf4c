"""How fast engines read prompts, from the times of first events.

Engines of one deployment read 82 tokens in a millisecond, those of another 112. Only requests that
met no other unread prompt, as far as this router knows, say how fast an engine reads.
"""

from __future__ import annotations

from typing import Final

# Before anything is seen: as slow as the slowest engines known so far.
PRIOR_TOKENS_PER_MS: Final = 80.0
# What lies outside these bounds is a wrong measurement: half and ten times of known engines.
MIN_TOKENS_PER_MS: Final = 40.0
MAX_TOKENS_PER_MS: Final = 1_000.0
# A first event without a prompt to read takes this long before anything is seen.
PRIOR_BASE_MS: Final = 60.0
# Prompts up to this size are read within a few milliseconds, and show what all else takes.
SHORT_TOKENS: Final = 200
# From this size on reading takes most of the time to a first event.
LONG_TOKENS: Final = 4_000
# Each measurement counts this much; engines change within minutes, not within requests.
WEIGHT: Final = 0.1
# A measurement counts as at most this many times the estimate, or as that part of it: a request
# that waited for something else must not make all engines look slow.
OUTLIER_FACTOR: Final = 2.0


class PrefillSpeed:
    """The estimate of one router; `tokens_per_ms` is what its decisions use."""

    __slots__ = ("_base_ms", "_ms_per_token")

    def __init__(self) -> None:
        self._base_ms = PRIOR_BASE_MS
        self._ms_per_token = 1 / PRIOR_TOKENS_PER_MS

    @property
    def tokens_per_ms(self) -> float:
        """Return how many tokens of a prompt an engine reads in a millisecond."""
        return 1 / self._ms_per_token

    def note(self, *, tokens: int, first_event_ms: int) -> None:
        """Take the time to the first event of a request that met no other unread prompt."""
        if tokens <= SHORT_TOKENS:
            self._base_ms += WEIGHT * (_limit(first_event_ms, self._base_ms) - self._base_ms)
        elif tokens >= LONG_TOKENS:
            measured = max(0.0, first_event_ms - self._base_ms) / tokens
            step = _limit(measured, self._ms_per_token) - self._ms_per_token
            slowest, fastest = 1 / MIN_TOKENS_PER_MS, 1 / MAX_TOKENS_PER_MS
            self._ms_per_token = min(slowest, max(fastest, self._ms_per_token + WEIGHT * step))


def _limit(measured: float, estimate: float) -> float:
    return min(estimate * OUTLIER_FACTOR, max(estimate / OUTLIER_FACTOR, measured))
