"""Estimates the prefill speed of each engine relative to that of all engines.

Engines of one service may differ, and one may be slow for a while. Only uncontended requests are
measured, as in `PrefillSpeed`, which is the estimate for engines without recent measurements.
"""

from __future__ import annotations

import math
from typing import Final

from gypsumrouter.forwarding.prefill_speed import PrefillSpeed

# Time after which a measurement has half of its weight.
# An engine that has recovered but gets little work must regain its share within seconds.
HALF_LIFE_MS: Final = 2_000
# Weight of the speed of all engines, as milliseconds of prefill. A router sends an engine one or
# two prompts of some hundred missing tokens a second, which are about 10 ms of prefill: with 60 ms,
# the times to the first event at engines of three speeds improved less in the replay.
PRIOR_MS: Final = 30.0
# Upper bound on the weight of the measurements of an engine, in milliseconds of prefill.
# With more, a burst of long prompts would delay the recovery of the estimate.
MAX_WEIGHT_MS: Final = 120.0
# An engine counts as at most this many times slower or faster than the others. It bounds single
# measurements too: a request may have waited for prompts that this router does not know of.
MAX_SLOWNESS: Final = 4.0
MIN_SLOWNESS: Final = 1 / MAX_SLOWNESS
# Weight of a measurement in the mean deviation of all engines.
EWMA_WEIGHT: Final = 0.1
# Measurements that weigh less than this share of the original are dropped.
MIN_SHARE: Final = 0.01


class _Measurements:
    """Decaying sums over the measurements of one engine, in milliseconds."""

    __slots__ = ("excess_ms", "noted_ms", "prefill_ms")

    def __init__(self, *, noted_ms: int) -> None:
        self.noted_ms = noted_ms
        self.prefill_ms = 0.0
        self.excess_ms = 0.0

    def get_share(self, now_ms: int) -> float:
        """Return the share of the weight that is left."""
        return math.exp2(-max(0, now_ms - self.noted_ms) / HALF_LIFE_MS)

    def add(self, *, prefill_ms: float, excess_ms: float, now_ms: int) -> None:
        """Add a measurement, and scale the sums down to the bound on their weight."""
        share = self.get_share(now_ms)
        self.noted_ms = now_ms
        prefill_sum_ms = self.prefill_ms * share + prefill_ms
        scale = min(1.0, MAX_WEIGHT_MS / prefill_sum_ms)
        self.prefill_ms = prefill_sum_ms * scale
        self.excess_ms = (self.excess_ms * share + excess_ms) * scale


class EngineSpeeds:
    """A router's estimate of the prefill speed of each engine.

    An engine's slowness is the time that it takes for a prefill, as a multiple of the time that all
    engines take on average. It decays to 1 while there are no measurements. `service` is the
    estimate for all engines.
    """

    __slots__ = ("_by_upstream", "_deviation_ms", "_prefill_speed")

    def __init__(self, *, service: PrefillSpeed) -> None:
        self._prefill_speed = service
        self._by_upstream: dict[str, _Measurements] = {}
        # Mean deviation of all engines from the expected time to the first event, by the size of
        # the prompt. Without it, an error of the expected time would make engines with many
        # measurements look faster or slower than those with few.
        self._deviation_ms: dict[int, float] = {}

    def note(self, upstream: str, *, tokens: int, first_event_ms: int, now_ms: int) -> None:
        """Record the time to the first event of an uncontended request that prefilled `tokens`."""
        if tokens <= 0:
            return
        prefill_ms = tokens / self._prefill_speed.tokens_per_ms
        bound_ms = (MAX_SLOWNESS - 1) * prefill_ms
        deviation_ms = _clamp(first_event_ms - self._prefill_speed.base_ms - prefill_ms, bound_ms)
        size = tokens.bit_length()
        mean_ms = self._deviation_ms.get(size, deviation_ms)
        self._deviation_ms[size] = mean_ms + EWMA_WEIGHT * (deviation_ms - mean_ms)
        measured = self._by_upstream.get(upstream)
        if measured is None:
            measured = self._by_upstream[upstream] = _Measurements(noted_ms=now_ms)
        excess_ms = _clamp(deviation_ms - mean_ms, bound_ms)
        measured.add(prefill_ms=prefill_ms, excess_ms=excess_ms, now_ms=now_ms)

    def get_slowness(self, upstream: str, *, now_ms: int) -> float:
        """Return the slowness of an engine: 1 as all engines, 2 if a prefill takes twice as long.

        It is between `MIN_SLOWNESS` and `MAX_SLOWNESS`.
        """
        measured = self._by_upstream.get(upstream)
        if measured is None:
            return 1.0
        share = measured.get_share(now_ms)
        slowness = 1 + measured.excess_ms * share / (PRIOR_MS + measured.prefill_ms * share)
        if slowness > MAX_SLOWNESS:
            return MAX_SLOWNESS
        return slowness if slowness > MIN_SLOWNESS else MIN_SLOWNESS

    def get_tokens_per_ms(self, upstream: str, *, now_ms: int) -> float:
        """Return how many prompt tokens an engine prefills per millisecond."""
        return self._prefill_speed.tokens_per_ms / self.get_slowness(upstream, now_ms=now_ms)

    def sweep(self, *, now_ms: int) -> None:
        """Drop the measurements that have decayed."""
        for upstream, measured in tuple(self._by_upstream.items()):
            if measured.get_share(now_ms) < MIN_SHARE:
                del self._by_upstream[upstream]

    def forget(self, upstream: str) -> None:
        """Drop the measurements of an engine that was removed."""
        self._by_upstream.pop(upstream, None)


def _clamp(deviation_ms: float, bound_ms: float) -> float:
    return min(bound_ms, max(-bound_ms, deviation_ms))
