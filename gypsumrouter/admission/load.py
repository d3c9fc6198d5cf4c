"""The cap: how much load an upstream may carry against the mean of its pool."""

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
    """The own load of the last seconds in steps of HISTORY_STEP_MS."""

    __slots__ = ("_loads", "_step")

    def __init__(self) -> None:
        self._loads = [0] * HISTORY_STEPS
        self._step = 0

    def record(self, *, load: int, now_ms: int) -> None:
        """Set the load from now on."""
        step = now_ms // HISTORY_STEP_MS
        if step > self._step:
            self._advance_to(step)
        self._loads[step % HISTORY_STEPS] = load

    def get(self, *, at_ms: int) -> int:
        """Return the load at a time; the oldest known for times before."""
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
    """The estimate of the other members' mean load for each unit of weight.

    `age_ms` is the age of the newest status that went into it; `mean` has the discount for age.
    """

    mean: float
    members: int
    age_ms: int | None


class PoolLoadEstimator:
    """Estimates the mean load of the other members from what routers say of the whole pool.

    What this side adds to each router's mean is taken out, as of the time that the router speaks
    of, so that a router that knows this side alone says nothing. Notes are weighted by how many
    others they cover and by their age. Without news the estimate fades towards nothing.
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
        """Note a change of this side's own load."""
        self._history.record(load=load, now_ms=now_ms)

    def record_report(self, load: PoolLoad, *, now_ms: int) -> None:
        """Take in what one router believes."""
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
        """Return the estimate, None as long as no router has spoken of the pool."""
        if self._members is None:
            return None
        if self._newest_observed_ms is None:
            return PoolEstimate(mean=0.0, members=self._members, age_ms=None)
        age_ms = now_ms - self._newest_observed_ms
        late_ms = max(0, age_ms - DECAY_AFTER_MS)
        mean = self._mean * 0.5 ** (late_ms / DECAY_HALF_LIFE_MS)
        return PoolEstimate(mean=mean, members=self._members, age_ms=age_ms)

    def _update_members(self, members: int, now_ms: int) -> None:
        """Keep the largest number of members that any router lately pool_estimate in."""
        outdated = now_ms - self._members_at_ms > REPORT_MAX_AGE_MS
        if self._members is None or outdated or members >= self._members:
            self._members = members
            self._members_at_ms = now_ms


def compute_load_limit(
    *, pool_estimate: PoolEstimate | None, cap: float, floor: int, weight: float
) -> int | None:
    """Return the highest load that protected this side within `cap` times the mean.

    The mean includes this side with that load: with n members whose others carry a mean of m,
    load / weight <= cap * ((n - 1) * m + load / weight) / n. A margin for the drift of the mean
    after the admission is taken off. One request above a mean that is all but reached is always
    allowed, or a pool whose members all stand at their limit could never acquire more. None is no
    limit, where a side could not exceed the multiple of the mean with all of the load.
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
    """Return the highest load at which batch work may still start.

    It fills a side up to the others' mean and one more. So it leaves the room between the mean and
    the cap to interactive work, which can't be given the slot of batch work that has begun.
    """
    if pool_estimate is None:
        return floor
    if pool_estimate.members <= 1:
        return None
    return max(floor, int(weight * pool_estimate.mean + ROUND_HALF_UP) + 1)
