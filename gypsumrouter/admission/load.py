"""Estimates the mean load of a pool and limits the load of an upstream relative to it."""

from __future__ import annotations

import math

from msgspec import Struct

from gypsumrouter.admission.const import (
    DECAY_AFTER_MS,
    DECAY_HALF_LIFE_MS,
    DRIFT_MARGIN,
    GROWTH_SLACK,
    HISTORY_STEP_MS,
    HISTORY_STEPS,
    REPORT_HALF_LIFE_MS,
    REPORT_MAX_AGE_MS,
    ROUND_HALF_UP,
    ROUNDING_EPSILON,
)
from gypsumrouter.link.models import PoolLoad


class LoadHistory:
    """Ring buffer of this instance's recent load in steps of HISTORY_STEP_MS."""

    __slots__ = ("_loads", "_step")

    def __init__(self) -> None:
        self._loads = [0] * HISTORY_STEPS
        self._step = 0

    def record(self, *, load: int, now_ms: int) -> None:
        """Record the load from `now_ms` on."""
        step = now_ms // HISTORY_STEP_MS
        if step > self._step:
            self._advance_to(step)
        self._loads[step % HISTORY_STEPS] = load

    def get(self, *, at_ms: int) -> int:
        """Return the load at a time, or the oldest recorded load for earlier times."""
        step = min(at_ms // HISTORY_STEP_MS, self._step)
        step = max(step, self._step - HISTORY_STEPS + 1)
        return self._loads[step % HISTORY_STEPS]

    def _advance_to(self, step: int) -> None:
        last = self._loads[self._step % HISTORY_STEPS]
        first = max(self._step + 1, step - HISTORY_STEPS + 1)
        for skipped in range(first, step + 1):
            self._loads[skipped % HISTORY_STEPS] = last
        self._step = step


class PoolEstimate(Struct, frozen=True, kw_only=True):
    """The estimated mean load per unit of weight of the other pool members.

    `age_ms` is the age of the newest router report included, None without any. `mean` already
    includes the decay for that age.
    """

    mean: float
    members: int
    age_ms: int | None


class PoolLoadEstimator:
    """Estimates the mean load of the other members from routers' reports on the whole pool.

    Each report includes this instance, so its own load at the time of the report is subtracted. A
    report that covers only this instance is ignored. Reports are weighted by the number of other
    members they cover and by their age. Without new reports the estimate decays towards zero.
    """

    __slots__ = (
        "_confidence",
        "_history",
        "_mean",
        "_members",
        "_members_at_ms",
        "_newest_observed_ms",
        "_recorded_at_ms",
        "_weight",
    )

    def __init__(self, *, weight: float) -> None:
        self._weight = weight
        self._history = LoadHistory()
        self._mean = 0.0
        self._confidence = 0.0
        self._recorded_at_ms = 0
        self._newest_observed_ms: int | None = None
        self._members: int | None = None
        self._members_at_ms = 0

    def record_own_load(self, *, load: int, now_ms: int) -> None:
        """Record a change of this instance's own load."""
        self._history.record(load=load, now_ms=now_ms)

    def record_report(self, load: PoolLoad, *, now_ms: int) -> None:
        """Update the estimate with one router's report."""
        self._update_members(load.members, now_ms)
        others = min(load.known, load.members) - 1
        if others < 1 or load.age_ms > REPORT_MAX_AGE_MS:
            return
        observed_ms = now_ms - load.age_ms
        own = self._history.get(at_ms=observed_ms) / self._weight
        mean = max(0.0, (load.mean * (others + 1) - own) / others)
        confidence = others * 0.5 ** (load.age_ms / REPORT_HALF_LIFE_MS)
        kept = self._confidence * 0.5 ** ((now_ms - self._recorded_at_ms) / REPORT_HALF_LIFE_MS)
        if kept + confidence > 0:
            self._mean = (self._mean * kept + mean * confidence) / (kept + confidence)
        self._confidence = kept + confidence
        self._recorded_at_ms = now_ms
        if self._newest_observed_ms is None or observed_ms > self._newest_observed_ms:
            self._newest_observed_ms = observed_ms

    def estimate(self, *, now_ms: int) -> PoolEstimate | None:
        """Return the estimate, or None before the first report."""
        if self._members is None:
            return None
        if self._newest_observed_ms is None:
            return PoolEstimate(mean=0.0, members=self._members, age_ms=None)
        age_ms = now_ms - self._newest_observed_ms
        late_ms = max(0, age_ms - DECAY_AFTER_MS)
        mean = self._mean * 0.5 ** (late_ms / DECAY_HALF_LIFE_MS)
        return PoolEstimate(mean=mean, members=self._members, age_ms=age_ms)

    def _update_members(self, members: int, now_ms: int) -> None:
        """Keep the largest member count reported within REPORT_MAX_AGE_MS."""
        outdated = now_ms - self._members_at_ms > REPORT_MAX_AGE_MS
        if self._members is None or outdated or members >= self._members:
            self._members = members
            self._members_at_ms = now_ms


def compute_load_limit(
    *, pool_estimate: PoolEstimate | None, cap: float, floor: int, weight: float
) -> int | None:
    """Return the highest load that stays within `cap` times the pool's mean, None for no limit.

    The mean includes this instance: with n members and a mean m of the others, the condition is
    load / weight <= cap * ((n - 1) * m + load / weight) / n. A margin is subtracted for changes of
    the mean after admission. One request above the mean is always allowed; otherwise a pool whose
    members are all at their limit could not grow. There is no limit where n <= cap, since even the
    whole pool's load on one member does not exceed the cap. Without an estimate the limit is
    `floor`.
    """
    if pool_estimate is None:
        return floor
    if pool_estimate.members <= cap:
        return None
    fair_load = weight * pool_estimate.mean
    unrounded_limit = cap * fair_load * (pool_estimate.members - 1) / (pool_estimate.members - cap)
    limit = math.ceil(
        unrounded_limit - DRIFT_MARGIN * math.sqrt(unrounded_limit) - ROUNDING_EPSILON
    )
    return max(floor, int(fair_load + GROWTH_SLACK) + 1, limit)


def compute_batch_limit(
    *, pool_estimate: PoolEstimate | None, floor: int, weight: float
) -> int | None:
    """Return the load below which batch work may start, None for no limit.

    Batch work may raise the load to one above the mean of the other members. The range between that
    and the cap stays free for interactive work, because a batch request that has started its
    response can't be preempted.
    """
    if pool_estimate is None:
        return floor
    if pool_estimate.members <= 1:
        return None
    return max(floor, int(weight * pool_estimate.mean + ROUND_HALF_UP) + 1)
