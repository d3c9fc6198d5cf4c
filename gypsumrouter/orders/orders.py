"""Model placement at a side: plan the pool, wait for the preconditions, order changes."""

from __future__ import annotations

import asyncio
import ipaddress
import logging

from msgspec.structs import replace

from gypsumrouter.configuration import ConfigurationStore, Pool, PoolOrders
from gypsumrouter.configuration.waiting import async_wait
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address, InstanceList
from gypsumrouter.link import ExchangeHandler, NoticeHub
from gypsumrouter.orders.changes import choose_change
from gypsumrouter.orders.const import CHANGE_POLL_MS, POLL_MS, SMOOTHING_SHARE
from gypsumrouter.orders.demand import Demand
from gypsumrouter.orders.diagnostics import dump_change, dump_state, dump_table
from gypsumrouter.orders.dispatcher import OrderDispatcher
from gypsumrouter.orders.engine import OrderClient
from gypsumrouter.orders.gates import find_block_reason
from gypsumrouter.orders.gossip import HoldingGossip
from gypsumrouter.orders.lease import OrderLease
from gypsumrouter.orders.load_scheduler import Deferred, LoadScheduler, Source
from gypsumrouter.orders.local_engine import LocalEngine
from gypsumrouter.orders.models import Change, ChangeOutcome, OrderKind, Result, is_same_step
from gypsumrouter.orders.planner import Planner
from gypsumrouter.orders.ports import Membership, Sender, ServedModels
from gypsumrouter.orders.retries import Retries
from gypsumrouter.orders.runner import ChangeLimits, ChangeRunner
from gypsumrouter.orders.table import HoldingTable
from gypsumrouter.settings import SideSettings

_LOGGER = logging.getLogger(__name__)

DUMP_SECTION = "orders"
NOT_CONFIGURED = "no orders are configured for this pool"


class Orders:
    """Bring the local engine to the state that the plan of the pool assigns to it.

    Every side computes the same plan from the configuration, the instance list and the holdings
    that sides gossip, and changes its own engine only. Nothing is done unless the configuration
    of the pool has `orders`. `demand` counts the requests of each model.
    """

    __slots__ = (
        "_app",
        "_candidate",
        "_candidate_since_ms",
        "_client",
        "_dispatcher",
        "_engine",
        "_gossip",
        "_last",
        "_lease",
        "_load_scheduler",
        "_local",
        "_planner",
        "_retries",
        "_runner",
        "_settings",
        "_source",
        "_started_ms",
        "_store",
        "_table",
        "_waiting",
        "_wake",
        "demand",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: SideSettings,
        store: ConfigurationStore,
        fleet: Membership,
        links: Sender,
        notices: NoticeHub,
        client: ServedModels,
    ) -> None:
        clock, pool = app.clock, settings.upstream.pool
        self._app = app
        self._settings = settings
        self._store = store
        self._client = client
        self._started_ms = 0
        self._candidate: Change | None = None
        self._candidate_since_ms = 0
        self._last: ChangeOutcome | None = None
        self._source = ""
        self._waiting = NOT_CONFIGURED
        self._wake = asyncio.Event()
        self.demand = Demand(clock=clock)
        self._engine = OrderClient(app=app, settings=settings.upstream)
        self._retries = Retries(clock=clock, seed=app.incarnation)
        self._local = LocalEngine(
            name=app.name, clock=clock, demand=self.demand, retries=self._retries
        )
        self._table = HoldingTable(clock=clock)
        self._planner = Planner(name=app.name, table=self._table)
        self._lease = OrderLease(app=app, settings=settings.platform, pool=pool)
        fleet.on_list(self._handle_list)
        fleet.on_confirmed(self._lease.renew)
        self._load_scheduler = LoadScheduler(
            app=app, lease=self._lease, retries=self._retries, table=self._table
        )
        self._gossip = HoldingGossip(
            app=app,
            fleet=fleet,
            links=links,
            notices=notices,
            pool=pool,
            table=self._table,
            on_change=self._wake.set,
        )
        self._dispatcher = OrderDispatcher(
            app=app, client=self._engine, lease=self._lease, is_draining=app.stopping.is_set
        )
        self._runner = ChangeRunner(
            app=app,
            dispatcher=self._dispatcher,
            local_engine=self._local,
            demand=self.demand,
            observe=self._async_observe,
            is_needed=self._is_needed,
            find_block_reason=self._find_change_block_reason,
            acquire_store_slot=self._acquire_store_slot,
        )

    def wrap(self, handler: ExchangeHandler) -> ExchangeHandler:
        """Return a handler that counts the requests of each model."""
        return self.demand.wrap(handler)

    def set_advertised_address(self, address: Address) -> None:
        """Set the address under which the list must contain this process for it to send orders."""
        self._lease.set_address(address)
        upstream = self._settings.upstream
        # An engine on a loopback address is reached by its neighbours at the host of this side.
        is_loopback = ipaddress.ip_address(upstream.host).is_loopback
        host = address.host if is_loopback else upstream.host
        self._local.address = str(Address(host=host, port=upstream.port))

    async def async_start(self) -> None:
        """Start to manage the engine."""
        await self._engine.async_start()
        self._app.add_dump_section(DUMP_SECTION, self._dump)
        self._gossip.start(lambda: self._get_orders() is not None)
        self._app.async_create_task(self._async_run(), "orders")

    def _handle_list(self, listed: InstanceList) -> None:
        self._lease.handle_list(listed)
        self._table.set_listed(self._lease.members)
        self._wake.set()

    async def _async_run(self) -> None:
        clock = self._app.clock
        while True:
            pause_ms = await self._async_step()
            self._wake.clear()
            await clock.async_sleep(min(pause_ms, CHANGE_POLL_MS))
            remaining_ms = pause_ms - CHANGE_POLL_MS
            if remaining_ms > 0:
                await async_wait(self._wake, clock=clock, timeout_ms=remaining_ms)

    async def _async_step(self) -> int:
        """Poll the engine and apply a due change; return the time until the next poll."""
        if self._get_orders() is None:
            self._deactivate()
            return POLL_MS
        await self._async_observe()
        await self._async_cancel_unwanted()
        change = self._choose_change()
        orders = self._get_orders()
        if change is None or orders is None:
            return POLL_MS
        source = self._choose_source(change, orders)
        if isinstance(source, Deferred):
            self._waiting = source.reason
            return max(1, min(POLL_MS, source.recheck_ms))
        await self._async_apply(change, orders, source.engine)
        return 0

    def _deactivate(self) -> None:
        self._waiting = NOT_CONFIGURED
        self._planner.reset()
        self._candidate = None
        self._client.withdraw(frozenset())

    async def _async_observe(self) -> None:
        """Read the engine, publish its holding, and update the plan."""
        self._local.state = await self._engine.async_read()
        self._publish_holding()
        self._plan()
        self._withdraw()

    def _publish_holding(self) -> None:
        changed = self._local.refresh(due_ms=self._table.refresh_ms)
        self._table.record(self._local.holding)
        if changed:
            self._gossip.announce()

    def _plan(self) -> None:
        pool = self._get_pool()
        if pool is None or pool.orders is None or self._local.state is None:
            self._planner.reset()
            return
        self._table.hold_ms = pool.orders.settle_ms
        self.demand.window_ms = max(1, round(pool.orders.settle_ms * SMOOTHING_SHARE))
        self._planner.update(pool, pool.orders)

    def _withdraw(self) -> None:
        """Withdraw models that are being changed, and models that the engine no longer holds."""
        state = self._local.state
        lost = () if state is None else set(self._client.held_models).difference(state.models)
        self._client.withdraw(self._local.rejected_models.union(lost))

    async def _async_cancel_unwanted(self) -> None:
        """Cancel loads that are not in the plan, such as those of a previous process."""
        state, desired = self._local.state, self._planner.desired
        if state is None or desired is None:
            return
        for name, version in state.pending.items():
            if desired.get(name) != version:
                await self._dispatcher.async_cancel(name, version, reason="not wished here")

    def _choose_change(self) -> Change | None:
        """Return the next change; None if there is none or there is no plan."""
        orders, state, desired = self._get_orders(), self._local.state, self._planner.desired
        change = None
        if orders is None or state is None or desired is None:
            self._waiting = self._explain_missing_plan()
        else:
            models = frozenset(model.name for model in orders.models if model.name in desired)
            change = choose_change(orders, models, state)
            self._waiting = ""
        if not is_same_step(change, self._candidate):
            self._candidate = change
            self._candidate_since_ms = self._app.clock.now_ms()
            self._local.retrying = None
        return change

    def _explain_missing_plan(self) -> str:
        if self._local.state is None:
            return "the engine does not answer"
        awaited = self._table.list_unreported()
        if awaited:
            return f"not heard of yet: {', '.join(awaited)}"
        conflicting = self._table.find_conflicting_side(self._local.holding)
        if conflicting:
            return f"{conflicting} is also beside this engine"
        return self._lease.find_block_reason()

    def _choose_source(self, change: Change, orders: PoolOrders) -> Source | Deferred:
        """Return the source of the weights for a change, or why it may not start now."""
        block_reason = self._dispatcher.find_block_reason()
        if block_reason:
            return Deferred(reason=block_reason)
        if self._local.is_loading(change):
            return Source()
        settle_left_ms = self._candidate_since_ms + orders.settle_ms - self._app.clock.now_ms()
        if settle_left_ms > 0 and not change.skips_settling:
            reason = f"{change.reason}, if that lasts for {orders.settle_ms} ms"
            return Deferred(reason=reason, recheck_ms=settle_left_ms)
        block_reason = self._find_change_block_reason(change)
        if block_reason:
            return Deferred(reason=block_reason)
        return (
            self._load_scheduler.schedule(change, orders)
            if change.kind is OrderKind.LOAD
            else Source()
        )

    def _find_change_block_reason(self, change: Change) -> str:
        """Return why the holdings of the other engines block a change now."""
        orders = self._get_orders()
        if orders is None:
            return NOT_CONFIGURED
        return find_block_reason(
            own=self._app.name,
            change=change,
            orders=orders,
            holdings=self._table.list_available(),
        )

    async def _async_apply(self, change: Change, orders: PoolOrders, source: str) -> None:
        self._source = source
        self._started_ms = self._app.clock.wall_ms()
        self._local.begin(change)
        self._publish_holding()
        limits = ChangeLimits(drain_ms=self._settings.limits.drain_ms, load_ms=orders.load_ms)
        try:
            outcome = await self._runner.async_run(change, source=source, limits=limits)
            self._record_outcome(change, outcome)
            await self._async_observe()
        finally:
            self._local.end()
        self._publish_holding()
        self._withdraw()

    def _record_outcome(self, change: Change, outcome: ChangeOutcome) -> None:
        _LOGGER.info(
            "Change of %s ended, result: %s, reason: %s",
            change.name or change.role,
            outcome.result,
            outcome.reason,
        )
        self._last = outcome
        self._candidate = None
        match outcome.result:
            case Result.DONE | Result.CANCELLED:
                self._retries.clear(change.name)
            case Result.FAILED:
                self._retries.record_failure(change.name, change.version, source=outcome.source)
                self._local.retrying = change
                # The remaining part is retried without waiting for settle_ms again.
                remaining = tuple(name for name in change.withdraws if name not in change.drops)
                self._candidate = replace(change, drops=(), withdraws=remaining)

    def _is_needed(self, change: Change) -> bool:
        """Return whether the current configuration and plan still require a change."""
        orders, desired = self._get_orders(), self._planner.desired
        if orders is None:
            return False
        match change.kind:
            case OrderKind.SET_ROLE:
                return orders.role == change.role
            case OrderKind.LOAD:
                return desired is None or desired.get(change.name) == change.version
            case OrderKind.UNLOAD:
                return desired is None or not any(name in desired for name in change.drops)

    def _acquire_store_slot(self) -> int:
        orders = self._get_orders()
        return POLL_MS if orders is None else self._load_scheduler.acquire_store_slot(orders)

    def _get_pool(self) -> Pool | None:
        name = self._settings.upstream.pool
        return next((pool for pool in self._store.current.pools if pool.name == name), None)

    def _get_orders(self) -> PoolOrders | None:
        pool = self._get_pool()
        return None if pool is None else pool.orders

    def _dump(self) -> dict[str, object]:
        planner = self._planner
        return {
            "configured": self._get_orders() is not None,
            "may_order": self._dispatcher.find_block_reason() or "yes",
            "wished": None if planner.desired is None else dict(planner.desired),
            "held": dump_state(self._local.state),
            "pending": dump_change(
                self._local.change,
                confirmed=self._local.confirmed,
                source=self._source,
                since_ms=self._started_ms,
            ),
            "waiting": self._waiting,
            "last": (
                None
                if self._last is None
                else {"result": self._last.result.value, "reason": self._last.reason}
            ),
            "fence": self._lease.last_fence,
            "counts": dict(planner.counts),
            "demand": dict(planner.demand),
            "engines": dump_table(self._table, self._app.clock.now_ms()),
            "journal": self._dispatcher.dump(),
        }
