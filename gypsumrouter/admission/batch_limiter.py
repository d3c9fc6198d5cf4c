"""Decides whether a batch request may start beside interactive work."""

from __future__ import annotations

from gypsumrouter.admission.capacity import Capacity
from gypsumrouter.admission.classes import CallerClasses
from gypsumrouter.admission.demand import (
    InteractiveDemand,
    choose_demand_quantile,
    count_slots_needed,
    get_cost_per_ms,
)
from gypsumrouter.admission.estimates import Estimates
from gypsumrouter.admission.limits import Limits
from gypsumrouter.admission.slots import Slots
from gypsumrouter.util.clock import Clock


class BatchLimiter:
    """Keeps slots free for the interactive requests expected next.

    A batch request that has started its response can't be preempted. So batch work starts only on
    slots that interactive work is unlikely to need, and only while the load of this instance is at
    most about the mean of the pool.
    """

    __slots__ = ("_capacity", "_classes", "_clock", "_demand", "_estimates")

    def __init__(
        self, *, clock: Clock, capacity: Capacity, classes: CallerClasses, estimates: Estimates
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._classes = classes
        self._estimates = estimates
        self._demand = InteractiveDemand()

    def record_interactive(self, interactive: int) -> None:
        """Record the current number of running and waiting interactive requests."""
        self._demand.record(interactive=interactive, now_ms=self._clock.now_ms())

    def may_start(self, limits: Limits, *, slots: Slots, load: int) -> bool:
        """Return whether one more batch request may start at the given load."""
        if slots.running >= limits.slots - limits.reserve:
            return False
        batch_limit = self._capacity.batch_limit
        if batch_limit is not None and load >= batch_limit:
            return False
        return slots.batch_running < limits.slots - self._count_slots_needed()

    def _count_slots_needed(self) -> int:
        """Return the slots to keep for interactive requests to meet their targets."""
        estimates, classes = self._estimates, self._classes
        quantile = choose_demand_quantile(
            batch_cost=get_cost_per_ms(
                penalty=classes.batch_penalty, hold_ms=estimates.batch.hold_ms
            ),
            interactive_cost=get_cost_per_ms(
                penalty=classes.interactive_penalty, hold_ms=estimates.interactive.hold_ms
            ),
        )
        peak = self._demand.estimate_peak(now_ms=self._clock.now_ms(), quantile=quantile)
        slack_ms = classes.first_token_ms - estimates.interactive.first_token_ms
        return count_slots_needed(
            peak=peak, hold_ms=estimates.interactive.hold_ms, slack_ms=slack_ms
        )
