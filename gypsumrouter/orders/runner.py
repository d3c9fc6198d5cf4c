"""Execution of one change of the engine: drain requests, send orders, wait for completion."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.core import Application
from gypsumrouter.orders.const import ANNOUNCE_MS, CHANGE_POLL_MS
from gypsumrouter.orders.demand import Demand
from gypsumrouter.orders.dispatcher import OrderDispatcher, describe_submission
from gypsumrouter.orders.local_engine import LocalEngine
from gypsumrouter.orders.models import (
    Accepted,
    Change,
    ChangeOutcome,
    Done,
    Indeterminate,
    Order,
    OrderKind,
    Result,
    Submission,
)

LOAD_LOST = "the engine does not load it any more"


class ChangeLimits(Struct, frozen=True, kw_only=True):
    """Timeouts for draining the requests of a model and for loading one."""

    drain_ms: int
    load_ms: int


class ChangeRunner:
    """Apply changes to one engine, one at a time.

    `observe` reads the engine and updates the plan. `is_needed` returns whether the plan still
    requires a change, and `find_block_reason` why the holdings of other engines block it.
    `acquire_store_slot` returns the time until a load from the weight store may start, and uses
    the slot if that is 0.
    """

    __slots__ = (
        "_acquire_store_slot",
        "_app",
        "_demand",
        "_dispatcher",
        "_find_block_reason",
        "_is_needed",
        "_local",
        "_observe",
        "_random",
    )

    def __init__(
        self,
        *,
        app: Application,
        dispatcher: OrderDispatcher,
        local_engine: LocalEngine,
        demand: Demand,
        observe: Callable[[], Awaitable[None]],
        is_needed: Callable[[Change], bool],
        find_block_reason: Callable[[Change], str],
        acquire_store_slot: Callable[[], int],
    ) -> None:
        self._app = app
        self._dispatcher = dispatcher
        self._local = local_engine
        self._demand = demand
        self._observe = observe
        self._is_needed = is_needed
        self._find_block_reason = find_block_reason
        self._random = random.Random(app.incarnation)
        self._acquire_store_slot = acquire_store_slot

    async def async_run(
        self, change: Change, *, source: str, limits: ChangeLimits
    ) -> ChangeOutcome:
        """Apply a change; `source` is the engine to load from, empty for the weight store."""
        outcome = await self._async_confirm(change)
        outcome = outcome or await self._async_drain(change, limits.drain_ms)
        if outcome is not None:
            return outcome
        for name in change.drops:
            submission = await self._dispatcher.async_submit(
                Order(kind=OrderKind.UNLOAD, name=name), reason=change.reason
            )
            if not isinstance(submission, Done):
                return _make_abandoned(submission)
        match change.kind:
            case OrderKind.UNLOAD:
                return ChangeOutcome(result=Result.DONE)
            case OrderKind.SET_ROLE:
                return await self._async_set_role(change)
            case OrderKind.LOAD:
                return await self._async_load(change, source, limits.load_ms)

    async def _async_confirm(self, change: Change) -> ChangeOutcome | None:
        """Check the preconditions again after the announcement; return None to continue.

        Two sides that announce at the same time each see the change of the other. The delay is
        randomized so that one of them aborts first and the other one can continue.
        """
        if change.withdraws:
            pause_ms = round(ANNOUNCE_MS * self._random.uniform(1.0, 2.0))
            await self._app.clock.async_sleep(pause_ms)
            await self._observe()
            block_reason = self._find_block_reason(change)
            if block_reason:
                return ChangeOutcome(result=Result.ABANDONED, reason=block_reason)
        self._local.confirmed = True
        await self._observe()
        return None

    async def _async_drain(self, change: Change, drain_ms: int) -> ChangeOutcome | None:
        """Wait for the running requests of the withdrawn models; return None to continue."""
        deadline_ms = self._app.clock.now_ms() + drain_ms
        while any(self._demand.get_running(name) for name in change.withdraws):
            outcome = self._find_abort(change)
            if outcome is not None:
                return outcome
            if self._app.clock.now_ms() >= deadline_ms:
                reason = f"requests did not end within {drain_ms} ms"
                return ChangeOutcome(result=Result.FAILED, reason=reason)
            await self._async_poll()
        return self._find_abort(change)

    def _find_abort(self, change: Change) -> ChangeOutcome | None:
        """Return the outcome of a change that must be aborted, None if it may continue."""
        block_reason = self._dispatcher.find_block_reason()
        if block_reason:
            return ChangeOutcome(result=Result.ABANDONED, reason=block_reason)
        if not self._is_needed(change):
            return ChangeOutcome(result=Result.CANCELLED, reason="not wanted any more")
        return None

    async def _async_poll(self) -> None:
        await self._app.clock.async_sleep(CHANGE_POLL_MS)
        await self._observe()

    async def _async_set_role(self, change: Change) -> ChangeOutcome:
        order = Order(kind=OrderKind.SET_ROLE, role=change.role)
        submission = await self._dispatcher.async_submit(order, reason=change.reason)
        return (
            ChangeOutcome(result=Result.DONE)
            if isinstance(submission, Done)
            else _make_abandoned(submission)
        )

    async def _async_load(self, change: Change, source: str, load_ms: int) -> ChangeOutcome:
        deadline_ms = self._app.clock.now_ms() + load_ms
        if not self._local.is_loading(change):
            outcome = await self._async_begin_load(change, source)
            if outcome is not None:
                return outcome
        return await self._async_follow_load(change, source, deadline_ms)

    async def _async_begin_load(self, change: Change, source: str) -> ChangeOutcome | None:
        """Send the order to load; return None once the engine has started."""
        outcome = None if source else await self._async_wait_for_store(change)
        if outcome is not None:
            return outcome
        order = Order(kind=OrderKind.LOAD, name=change.name, version=change.version, source=source)
        submission = await self._dispatcher.async_submit(order, reason=change.reason)
        match submission:
            case Done():
                return ChangeOutcome(result=Result.DONE, source=source)
            case Accepted() | Indeterminate():
                # An order without a response may have been accepted; the engine's state shows it.
                await self._observe()
                return None
        return _make_abandoned(submission)

    async def _async_wait_for_store(self, change: Change) -> ChangeOutcome | None:
        while (wait_ms := self._acquire_store_slot()) > 0:
            outcome = self._find_abort(change)
            if outcome is not None:
                return outcome
            await self._app.clock.async_sleep(min(wait_ms, CHANGE_POLL_MS))
            await self._observe()
        return None

    async def _async_follow_load(
        self, change: Change, source: str, deadline_ms: int
    ) -> ChangeOutcome:
        while True:
            state = self._local.state
            if state is not None and state.holds(change.name, change.version):
                return ChangeOutcome(result=Result.DONE, source=source)
            if state is not None and not self._local.is_loading(change):
                reason = state.failures.get(change.name, LOAD_LOST)
                return ChangeOutcome(result=Result.FAILED, reason=reason, source=source)
            if not self._is_needed(change):
                return await self._async_cancel(change, Result.CANCELLED, "not wanted any more")
            if self._app.clock.now_ms() >= deadline_ms:
                failed = await self._async_cancel(change, Result.FAILED, "it took too long")
                return replace(failed, source=source)
            if self._dispatcher.find_block_reason():
                # The process that holds the lease now sees the pending load at the engine.
                return ChangeOutcome(
                    result=Result.ABANDONED, reason=self._dispatcher.find_block_reason()
                )
            await self._async_poll()

    async def _async_cancel(self, change: Change, result: Result, reason: str) -> ChangeOutcome:
        await self._dispatcher.async_cancel(change.name, change.version, reason=reason)
        return ChangeOutcome(result=result, reason=reason)


def _make_abandoned(submission: Submission) -> ChangeOutcome:
    result, detail = describe_submission(submission)
    return ChangeOutcome(result=Result.ABANDONED, reason=detail or result)
