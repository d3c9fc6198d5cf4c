"""Grants the slots of an upstream to new and waiting requests."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gypsumrouter.admission import refusals
from gypsumrouter.admission.batch_limiter import BatchLimiter
from gypsumrouter.admission.capacity import Capacity
from gypsumrouter.admission.classes import CallerClasses
from gypsumrouter.admission.const import YIELD_LOOKAHEAD_RELEASES
from gypsumrouter.admission.estimates import Estimates, ServiceTime
from gypsumrouter.admission.limits import Limits
from gypsumrouter.admission.metrics import AdmissionMetrics
from gypsumrouter.admission.queue import WaitQueue
from gypsumrouter.admission.shares import Shares, WorkspaceUsage
from gypsumrouter.admission.slots import Slot, Slots
from gypsumrouter.admission.waiters import Waiter
from gypsumrouter.configuration.models import CallerClass, Configuration, Pool
from gypsumrouter.outcomes import Refused
from gypsumrouter.util.clock import Clock

_LOGGER = logging.getLogger(__name__)


class Scheduler:
    """Combines the slots, the wait queue and the workspace shares of one upstream."""

    __slots__ = (
        "_batch_limiter",
        "_capacity",
        "_clock",
        "_metrics",
        "_on_change",
        "_slots",
        "classes",
        "estimates",
        "queue",
        "shares",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        capacity: Capacity,
        metrics: AdmissionMetrics,
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._metrics = metrics
        self._on_change = on_change
        self._slots = Slots()
        self.classes = CallerClasses()
        self.estimates = Estimates()
        self._batch_limiter = BatchLimiter(
            clock=clock, capacity=capacity, classes=self.classes, estimates=self.estimates
        )
        self.shares = Shares()
        self.queue = WaitQueue(shares=self.shares)

    @property
    def load(self) -> int:
        """Return the number of running requests plus waiting interactive requests.

        Waiting batch work doesn't count, because it normally starts only on spare slots.
        """
        return self._slots.running + self.queue.interactive

    @property
    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return self._slots.running

    def configure(self, configuration: Configuration, pool: Pool) -> None:
        """Apply a configuration; refuse waiting requests that exceed a smaller queue."""
        limits = self._capacity.configure(pool)
        self.classes.configure(configuration)
        self.shares.configure(configuration.workspaces)
        self.dispatch()
        self._shrink_queue(limits)

    def make_room(
        self, limits: Limits, usage: WorkspaceUsage, caller_class: CallerClass
    ) -> Refused | None:
        """Return the refusal of a new request, or None if it may run or wait.

        At the load limit or with a full queue, a new request may evict a waiting one: of the
        workspace that exceeds its share by the largest amount, or of a lower class of its own
        workspace.
        """
        load_limit = None if caller_class.batch else self._capacity.load_limit
        if load_limit is not None and self.load >= load_limit:
            refused = refusals.refuse_over_cap(self._estimate_pool_wait_ms())
            return self._evict_for(refused, load_limit, usage, caller_class, interactive_only=True)
        if self.queue.size < limits.queue or self.may_run_now(limits, caller_class):
            return None
        refused = refusals.refuse_queue_full(
            self._estimate_wait_ms(), elsewhere=not self._capacity.is_pool_full(limits)
        )
        return self._evict_for(
            refused, limits.capacity, usage, caller_class, interactive_only=False
        )

    def may_run_now(self, limits: Limits, caller_class: CallerClass) -> bool:
        """Return whether a new request of a class may run without waiting."""
        if self._slots.running >= limits.slots:
            return False
        if caller_class.batch:
            return self.queue.size == 0 and self._may_start_batch(limits)
        return self.queue.interactive == 0

    def grant(
        self,
        request_id: str,
        usage: WorkspaceUsage,
        caller_class: CallerClass,
        service: ServiceTime,
        *,
        protected: bool = False,
        waited_ms: int = 0,
    ) -> Slot:
        """Return a new slot; a `protected` batch slot is never asked to yield."""
        slot = Slot(
            request_id=request_id,
            priority=self.classes.get_priority(caller_class),
            batch=caller_class.batch,
            protected=protected,
            granted_ms=self._clock.now_ms(),
            usage=usage,
            service=service,
            on_release=self._release,
        )
        self._slots.acquire(slot)
        self._metrics.count_granted(batch=slot.batch, waited_ms=waited_ms)
        self._notify_change()
        return slot

    def enqueue(self, waiter: Waiter) -> None:
        """Add a new request to the wait queue."""
        self.queue.add(waiter)
        self._notify_change()
        self.request_yields()

    def refuse(self, waiter: Waiter, refused: Refused) -> None:
        """Refuse a waiting request; does nothing if it no longer waits."""
        if not waiter.queued:
            return
        self.queue.remove(waiter)
        self.shares.remove_if_idle(waiter.usage)
        if not waiter.future.done():
            waiter.future.set_result(refused)
        _LOGGER.debug("Request %s refused while waiting: %s", waiter.request_id, refused.reason)
        self._metrics.count_refused(refused)
        self._notify_change()

    def dispatch(self) -> None:
        """Grant free slots to waiting requests in queue order."""
        limits = self._capacity.limits
        if limits is None:
            return
        now_ms = self._clock.now_ms()
        while self.queue.size and self._slots.running < limits.slots:
            waiter = self.queue.select_next(
                now_ms=now_ms,
                slots=limits.slots,
                release_interval_ms=self._get_release_interval_ms(),
                batch_allowed=self._may_start_batch(limits),
            )
            if waiter is None:
                break
            self._start_waiter(waiter, now_ms)
        self.request_yields()

    def request_yields(self) -> None:
        """Ask batch requests to yield to interactive ones that can't wait for a release."""
        if not self.queue.interactive or not self._slots.batch_running:
            return
        now_ms = self._clock.now_ms()
        start_by_ms = now_ms + YIELD_LOOKAHEAD_RELEASES * self._get_release_interval_ms()
        needed = self.queue.count_due(start_by_ms=start_by_ms, limit=self._slots.batch_running)
        requested = self._slots.request_yields(needed=needed, now_ms=now_ms)
        if requested:
            self._metrics.yields.inc(requested)

    def _start_waiter(self, waiter: Waiter, now_ms: int) -> None:
        if waiter.future.done():
            self.refuse(waiter, refusals.refuse_cancelled())
            return
        self.queue.remove(waiter)
        protected = self.queue.record_grant(waiter, now_ms=now_ms)
        if not waiter.caller_class.batch and waiter.start_by_ms < now_ms:
            self._metrics.count_late()
        slot = self.grant(
            waiter.request_id,
            waiter.usage,
            waiter.caller_class,
            waiter.service,
            protected=protected,
            waited_ms=now_ms - waiter.arrived_ms,
        )
        waiter.future.set_result(slot)

    def _release(self, slot: Slot) -> None:
        self._slots.release(slot)
        if slot.first_token_seen and not slot.yield_requested.is_set():
            held_ms = self._clock.now_ms() - slot.granted_ms
            self.estimates.record_hold(slot.service, held_ms, batch=slot.batch)
        self.shares.remove_if_idle(slot.usage)
        self._notify_change()
        self.dispatch()

    def _evict_for(
        self,
        refused: Refused,
        capacity: int,
        usage: WorkspaceUsage,
        caller_class: CallerClass,
        *,
        interactive_only: bool,
    ) -> Refused | None:
        victim = self.queue.find_victim(
            capacity=capacity, newcomer=usage, interactive_only=interactive_only
        )
        if victim is None:
            victim = self.queue.find_lower_class_victim(
                usage, caller_class, interactive_only=interactive_only
            )
        if victim is None:
            return refused
        self.refuse(victim, refused)
        return None

    def _shrink_queue(self, limits: Limits) -> None:
        while self.queue.size > limits.queue:
            victim = self.queue.find_victim(
                capacity=limits.capacity, newcomer=None, interactive_only=False
            )
            if victim is None:
                return
            refused = refusals.refuse_queue_full(self._estimate_wait_ms(), elsewhere=True)
            self.refuse(victim, refused)

    def _may_start_batch(self, limits: Limits) -> bool:
        return self._batch_limiter.may_start(limits, slots=self._slots, load=self.load)

    def _notify_change(self) -> None:
        interactive = self._slots.running - self._slots.batch_running + self.queue.interactive
        self._batch_limiter.record_interactive(interactive)
        self._on_change()

    def _estimate_wait_ms(self) -> float:
        return self._get_release_interval_ms() * (self.queue.size + 1)

    def _estimate_pool_wait_ms(self) -> float:
        """Return the expected time until any member of the pool releases a slot."""
        pool_estimate = self._capacity.pool_estimate
        members = 1 if pool_estimate is None else max(1, pool_estimate.members)
        return self._get_release_interval_ms() / members

    def _get_release_interval_ms(self) -> float:
        return self.estimates.get_release_interval_ms(max(1, self._slots.running))
