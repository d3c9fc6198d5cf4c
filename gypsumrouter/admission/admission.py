"""Admission control of one upstream: which requests run, wait or are refused."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumrouter.admission import refusals
from gypsumrouter.admission.capacity import Capacity
from gypsumrouter.admission.const import QUEUE_CHECK_INTERVAL_MS
from gypsumrouter.admission.diagnostics import register_diagnostics
from gypsumrouter.admission.estimates import ServiceTime
from gypsumrouter.admission.metrics import AdmissionMetrics
from gypsumrouter.admission.scheduler import Scheduler
from gypsumrouter.admission.shares import WorkspaceUsage
from gypsumrouter.admission.slots import Slot
from gypsumrouter.admission.waiters import Waiter
from gypsumrouter.configuration.models import CallerClass, Configuration, Pool
from gypsumrouter.core import Application, Remove
from gypsumrouter.link.models import Open, PoolLoad
from gypsumrouter.outcomes import Refused


class Admission:
    """Admission control of one upstream; every request to it is admitted here first.

    The load is the number of running requests plus the number of waiting interactive requests. A
    request that is refused here has not been sent to the upstream.
    """

    __slots__ = (
        "_app",
        "_capacity",
        "_checking_queue",
        "_last_sequence",
        "_listeners",
        "_metrics",
        "_scheduler",
        "_stopped",
    )

    def __init__(self, *, app: Application, weight: float, name: str) -> None:
        self._app = app
        self._capacity = Capacity(clock=app.clock, weight=weight)
        self._metrics = AdmissionMetrics(registry=app.metrics)
        self._scheduler = Scheduler(
            clock=app.clock,
            capacity=self._capacity,
            metrics=self._metrics,
            on_change=self._handle_change,
        )
        self._listeners: list[Callable[[], None]] = []
        self._last_sequence = 0
        self._stopped = False
        self._checking_queue = False
        register_diagnostics(app=app, name=name, capacity=self._capacity, scheduler=self._scheduler)
        app.on_stop(self._async_stop)

    @property
    def load(self) -> int:
        """Return the number of running requests plus waiting interactive requests."""
        return self._scheduler.load

    @property
    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return self._scheduler.running

    @property
    def batch_waiting(self) -> int:
        """Return the number of batch requests in the queue."""
        return self._scheduler.queue.batch

    @property
    def load_limit(self) -> int | None:
        """Return the highest load that the cap allows now, or None without a limit."""
        return self._capacity.load_limit

    def configure(self, configuration: Configuration, pool: Pool) -> None:
        """Apply a configuration; refuse waiting requests that exceed a smaller queue."""
        self._scheduler.configure(configuration, pool)

    async def async_admit(self, request: Open, cancelled: asyncio.Event) -> Slot | Refused:
        """Return a slot, waiting for it until the deadline if needed, or a refusal."""
        if request.pool_load is not None:
            self.record_pool_load(request.pool_load)
        outcome = self._decide(request, cancelled)
        match outcome:
            case Slot():
                return outcome
            case Refused():
                self._metrics.count_refused(outcome)
                return outcome
            case Waiter():
                return await self._async_wait(outcome, cancelled)

    def record_pool_load(self, load: PoolLoad) -> None:
        """Update the pool estimate from a router's report; a repeated report counts once."""
        self._capacity.record_pool_load(load)

    def record_first_token(self, slot: Slot) -> None:
        """Record that the response of a slot's request has started."""
        if slot.first_token_seen:
            return
        slot.first_token_seen = True
        elapsed_ms = self._app.clock.now_ms() - slot.granted_ms
        self._scheduler.estimates.record_first_token(slot.service, elapsed_ms, batch=slot.batch)

    def stop(self) -> None:
        """Refuse all waiting and new requests; running requests continue."""
        self._stopped = True
        for waiter in self._scheduler.queue.list_waiters():
            self._scheduler.refuse(waiter, refusals.refuse_leaving())

    def on_change(self, listener: Callable[[], None]) -> Remove:
        """Call the listener after each change of the load; return a function to remove it."""
        self._listeners.append(listener)

        def remove() -> None:
            if listener in self._listeners:
                self._listeners.remove(listener)

        return remove

    def _decide(self, request: Open, cancelled: asyncio.Event) -> Slot | Refused | Waiter:
        limits = self._capacity.limits
        if self._stopped:
            return refusals.refuse_leaving()
        if limits is None:
            return refusals.refuse_unconfigured()
        if cancelled.is_set():
            return refusals.refuse_cancelled()
        scheduler = self._scheduler
        caller_class = scheduler.classes.get(request.caller_class)
        service = scheduler.estimates.find(request, batch=caller_class.batch)
        if request.deadline_ms <= service.first_token_ms:
            return refusals.refuse_deadline_unreachable()
        usage = scheduler.shares.get(request.workspace)
        refused = scheduler.make_room(limits, usage, caller_class)
        if refused is not None:
            scheduler.shares.remove_if_idle(usage)
            return refused
        # Eviction may have removed the usage record of the same workspace.
        usage = scheduler.shares.get(request.workspace)
        if scheduler.may_run_now(limits, caller_class):
            return scheduler.grant(request.request_id, usage, caller_class, service)
        return self._enqueue(request, usage, caller_class, service)

    def _enqueue(
        self, request: Open, usage: WorkspaceUsage, caller_class: CallerClass, service: ServiceTime
    ) -> Waiter:
        now_ms = self._app.clock.now_ms()
        self._last_sequence += 1
        waiter = Waiter(
            request_id=request.request_id,
            sequence=self._last_sequence,
            usage=usage,
            caller_class=caller_class,
            service=service,
            arrived_ms=now_ms,
            start_by_ms=now_ms - request.waited_ms + _get_slack_ms(caller_class, service),
            expires_ms=now_ms + request.deadline_ms - service.first_token_ms,
            future=asyncio.get_running_loop().create_future(),
        )
        self._scheduler.enqueue(waiter)
        self._start_queue_check()
        return waiter

    async def _async_wait(self, waiter: Waiter, cancelled: asyncio.Event) -> Slot | Refused:
        watch = self._app.async_create_task(
            self._async_watch_caller(waiter, cancelled), f"admission wait {waiter.request_id}"
        )
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        finally:
            watch.cancel()

    async def _async_watch_caller(self, waiter: Waiter, cancelled: asyncio.Event) -> None:
        await cancelled.wait()
        self._scheduler.refuse(waiter, refusals.refuse_cancelled())

    def _abandon(self, waiter: Waiter) -> None:
        """Remove a cancelled task's request from the queue, or release its slot."""
        self._scheduler.refuse(waiter, refusals.refuse_cancelled())
        if waiter.future.cancelled():
            return
        outcome = waiter.future.result()
        if isinstance(outcome, Slot):
            outcome.release()

    def _start_queue_check(self) -> None:
        if self._checking_queue:
            return
        self._checking_queue = True
        self._app.async_create_task(self._async_check_queue(), "admission queue check")

    async def _async_check_queue(self) -> None:
        """Refuse requests that can no longer meet their deadline, until the queue is empty."""
        queue = self._scheduler.queue
        try:
            while queue.size:
                await self._app.clock.async_sleep(QUEUE_CHECK_INTERVAL_MS)
                for waiter in queue.iter_expired(self._app.clock.now_ms()):
                    self._scheduler.refuse(waiter, refusals.refuse_deadline_unreachable())
                # The batch limit rises over time as the average interactive demand decays.
                self._scheduler.dispatch()
        finally:
            self._checking_queue = False

    async def _async_stop(self) -> None:
        self.stop()

    def _handle_change(self) -> None:
        self._capacity.record_own_load(self.load)
        for listener in tuple(self._listeners):
            listener()


def _get_slack_ms(caller_class: CallerClass, service: ServiceTime) -> float:
    """Return how long a request may wait for a slot and still meet its latency target."""
    if caller_class.batch:
        return caller_class.answer_ms - service.hold_ms
    return caller_class.first_token_ms - service.first_token_ms
