"""Load limits of an upstream: its own slots and queue, and the cap relative to its pool."""

from __future__ import annotations

from gypsumrouter.admission.const import POOL_FULL_RATIO
from gypsumrouter.admission.limits import Limits, make_limits
from gypsumrouter.admission.load import (
    PoolEstimate,
    PoolLoadEstimator,
    compute_batch_limit,
    compute_load_limit,
)
from gypsumrouter.configuration.models import Pool
from gypsumrouter.link.models import PoolLoad
from gypsumrouter.util.clock import Clock


class Capacity:
    """The load limits of one upstream; `limits` is None before the first configuration."""

    __slots__ = ("_clock", "_estimator", "_last_report", "_weight", "limits")

    def __init__(self, *, clock: Clock, weight: float) -> None:
        self._clock = clock
        self._weight = weight
        self._estimator = PoolLoadEstimator(weight=weight)
        self._last_report: PoolLoad | None = None
        self.limits: Limits | None = None

    @property
    def pool_estimate(self) -> PoolEstimate | None:
        """Return the estimated load of the other pool members."""
        return self._estimator.estimate(now_ms=self._clock.now_ms())

    @property
    def load_limit(self) -> int | None:
        """Return the highest load that the cap allows now, or None without a limit."""
        if self.limits is None:
            return 0
        return compute_load_limit(
            pool_estimate=self.pool_estimate,
            cap=self.limits.cap,
            floor=self.limits.floor,
            weight=self._weight,
        )

    @property
    def batch_limit(self) -> int | None:
        """Return the load below which batch work may start, or None without a limit."""
        if self.limits is None:
            return 0
        return compute_batch_limit(
            pool_estimate=self.pool_estimate, floor=self.limits.floor, weight=self._weight
        )

    def configure(self, pool: Pool) -> Limits:
        """Apply the settings of a pool."""
        self.limits = make_limits(pool=pool, weight=self._weight)
        return self.limits

    def record_own_load(self, load: int) -> None:
        """Record a change of this instance's own load."""
        self._estimator.record_own_load(load=load, now_ms=self._clock.now_ms())

    def record_pool_load(self, load: PoolLoad) -> None:
        """Update the pool estimate from a router's report; a repeated report counts once."""
        if load is self._last_report:
            return
        self._last_report = load
        self._estimator.record_report(load, now_ms=self._clock.now_ms())

    def is_pool_full(self, limits: Limits) -> bool:
        """Return whether the other members have almost no capacity left."""
        pool_estimate = self.pool_estimate
        if pool_estimate is None:
            return False
        return pool_estimate.mean * self._weight >= POOL_FULL_RATIO * limits.capacity
