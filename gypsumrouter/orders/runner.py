"""One change of the engine, written straight down: requests out, orders, and wait for the end."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.core import Application
from gypsumrouter.orders.const import ANNOUNCE_MS, CHANGE_TURN_MS
from gypsumrouter.orders.demand import Demand
from gypsumrouter.orders.giver import OrderGiver, describe_given
from gypsumrouter.orders.models import (
    Begun,
    Change,
    Done,
    Ending,
    Given,
    Order,
    OrderKind,
    Result,
    Unclear,
)
from gypsumrouter.orders.own import OwnEngine

LOST = "the engine does not load it any more"


class ChangeLimits(Struct, frozen=True, kw_only=True):
    """How long the requests of a model may take to end, and a load to come to its end."""

    drain_ms: int
    load_ms: int


class ChangeRunner:
    """Carry out changes of one engine, one at a time.

    `observe` reads the engine and works out anew what it is to hold. `is_wanted` says whether a
    change still follows from that, `find_obstacle` why other engines do not allow it.
    `take_store_slot` returns the time until a load from the weight store may begin, and uses the
    slot when that is 0.
    """

    __slots__ = (
        "_app",
        "_demand",
        "_find_obstacle",
        "_giver",
        "_is_wanted",
        "_observe",
        "_own",
        "_random",
        "_take_store_slot",
    )

    def __init__(
        self,
        *,
        app: Application,
        giver: OrderGiver,
        own: OwnEngine,
        demand: Demand,
        observe: Callable[[], Awaitable[None]],
        is_wanted: Callable[[Change], bool],
        find_obstacle: Callable[[Change], str],
        take_store_slot: Callable[[], int],
    ) -> None:
        self._app = app
        self._giver = giver
        self._own = own
        self._demand = demand
        self._observe = observe
        self._is_wanted = is_wanted
        self._find_obstacle = find_obstacle
        self._random = random.Random(app.incarnation)
        self._take_store_slot = take_store_slot

    async def async_run(self, change: Change, *, source: str, limits: ChangeLimits) -> Ending:
        """Carry out a change; `source` is a neighbour to load from, empty for the store."""
        stopped = await self._async_confirm(change)
        stopped = stopped or await self._async_drain(change, limits.drain_ms)
        if stopped is not None:
            return stopped
        for name in change.drops:
            given = await self._giver.async_give(
                Order(kind=OrderKind.UNLOAD, name=name), reason=change.reason
            )
            if not isinstance(given, Done):
                return _abandon(given)
        match change.kind:
            case OrderKind.UNLOAD:
                return Ending(result=Result.DONE)
            case OrderKind.SET_ROLE:
                return await self._async_set_role(change)
            case OrderKind.LOAD:
                return await self._async_load(change, source, limits.load_ms)

    async def _async_confirm(self, change: Change) -> Ending | None:
        """Let the others hear of the change, and hear of theirs; None where it may go on.

        Two engines that announce at the same time both see the other. The pause differs, so that
        one of them gives way and the other one goes on.
        """
        if change.withdraws:
            pause_ms = round(ANNOUNCE_MS * self._random.uniform(1.0, 2.0))
            await self._app.clock.async_sleep(pause_ms)
            await self._observe()
            obstacle = self._find_obstacle(change)
            if obstacle:
                return Ending(result=Result.ABANDONED, reason=obstacle)
        self._own.confirmed = True
        await self._observe()
        return None

    async def _async_drain(self, change: Change, drain_ms: int) -> Ending | None:
        """Wait until no request for what is withdrawn is left; None when that is so."""
        ends_ms = self._app.clock.now_ms() + drain_ms
        while any(self._demand.get_running(name) for name in change.withdraws):
            stopped = self._find_stop(change)
            if stopped is not None:
                return stopped
            if self._app.clock.now_ms() >= ends_ms:
                reason = f"requests did not end within {drain_ms} ms"
                return Ending(result=Result.FAILED, reason=reason)
            await self._async_turn()
        return self._find_stop(change)

    def _find_stop(self, change: Change) -> Ending | None:
        """Return why a change must not go on, None where it may."""
        obstacle = self._giver.find_obstacle()
        if obstacle:
            return Ending(result=Result.ABANDONED, reason=obstacle)
        if not self._is_wanted(change):
            return Ending(result=Result.CANCELLED, reason="not wanted any more")
        return None

    async def _async_turn(self) -> None:
        await self._app.clock.async_sleep(CHANGE_TURN_MS)
        await self._observe()

    async def _async_set_role(self, change: Change) -> Ending:
        order = Order(kind=OrderKind.SET_ROLE, role=change.role)
        given = await self._giver.async_give(order, reason=change.reason)
        return Ending(result=Result.DONE) if isinstance(given, Done) else _abandon(given)

    async def _async_load(self, change: Change, source: str, load_ms: int) -> Ending:
        ends_ms = self._app.clock.now_ms() + load_ms
        if not self._own.is_loading(change):
            stopped = await self._async_begin_load(change, source)
            if stopped is not None:
                return stopped
        return await self._async_follow_load(change, source, ends_ms)

    async def _async_begin_load(self, change: Change, source: str) -> Ending | None:
        """Give the order to load; None once the engine has begun."""
        stopped = None if source else await self._async_wait_for_store(change)
        if stopped is not None:
            return stopped
        order = Order(kind=OrderKind.LOAD, name=change.name, version=change.version, source=source)
        given = await self._giver.async_give(order, reason=change.reason)
        match given:
            case Done():
                return Ending(result=Result.DONE, source=source)
            case Begun() | Unclear():
                # An order that got no answer may still have been taken: the engine will tell.
                await self._observe()
                return None
        return _abandon(given)

    async def _async_wait_for_store(self, change: Change) -> Ending | None:
        while (wait_ms := self._take_store_slot()) > 0:
            stopped = self._find_stop(change)
            if stopped is not None:
                return stopped
            await self._app.clock.async_sleep(min(wait_ms, CHANGE_TURN_MS))
            await self._observe()
        return None

    async def _async_follow_load(self, change: Change, source: str, ends_ms: int) -> Ending:
        while True:
            state = self._own.state
            if state is not None and state.holds(change.name, change.version):
                return Ending(result=Result.DONE, source=source)
            if state is not None and not self._own.is_loading(change):
                reason = state.failures.get(change.name, LOST)
                return Ending(result=Result.FAILED, reason=reason, source=source)
            if not self._is_wanted(change):
                return await self._async_cancel(change, Result.CANCELLED, "not wanted any more")
            if self._app.clock.now_ms() >= ends_ms:
                failed = await self._async_cancel(change, Result.FAILED, "it took too long")
                return replace(failed, source=source)
            if self._giver.find_obstacle():
                # Whoever acts now finds the pending load at the engine.
                return Ending(result=Result.ABANDONED, reason=self._giver.find_obstacle())
            await self._async_turn()

    async def _async_cancel(self, change: Change, result: Result, reason: str) -> Ending:
        await self._giver.async_cancel(change.name, change.version, reason=reason)
        return Ending(result=result, reason=reason)


def _abandon(given: Given) -> Ending:
    result, detail = describe_given(given)
    return Ending(result=Result.ABANDONED, reason=detail or result)
