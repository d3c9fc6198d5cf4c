"""The side's part in what the engines of its pool hold: plan, wait for its turn, give orders."""

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
from gypsumrouter.orders.const import CHANGE_TURN_MS, SMOOTHING_SHARE, TURN_MS
from gypsumrouter.orders.demand import Demand
from gypsumrouter.orders.diagnostics import dump_change, dump_state, dump_table
from gypsumrouter.orders.engine import OrderClient
from gypsumrouter.orders.gates import find_obstacle
from gypsumrouter.orders.giver import OrderGiver
from gypsumrouter.orders.lease import OrderLease
from gypsumrouter.orders.loads import LoadTurns, Source, Waiting
from gypsumrouter.orders.models import Change, Ending, OrderKind, Result, is_same_step
from gypsumrouter.orders.news import HoldingNews
from gypsumrouter.orders.own import OwnEngine
from gypsumrouter.orders.planner import Planner
from gypsumrouter.orders.ports import Membership, OfferedModels, Sender
from gypsumrouter.orders.retries import Retries
from gypsumrouter.orders.runner import ChangeLimits, ChangeRunner
from gypsumrouter.orders.table import HoldingTable
from gypsumrouter.settings import SideSettings

_LOGGER = logging.getLogger(__name__)

DUMP_SECTION = "orders"
NOT_CONFIGURED = "no orders are configured for this pool"


class Orders:
    """Make the engine beside this side hold what the configuration and the view call for.

    Every side works the same plan out from the configuration, the published list and what the
    sides tell each other, and changes its own engine alone. Without `orders` in the pool's
    configuration it does nothing. `demand` counts the requests of each model.
    """

    __slots__ = (
        "_app",
        "_began_ms",
        "_candidate",
        "_candidate_ms",
        "_client",
        "_engine",
        "_giver",
        "_last",
        "_lease",
        "_loads",
        "_news",
        "_own",
        "_planner",
        "_retries",
        "_runner",
        "_settings",
        "_source",
        "_store",
        "_table",
        "_waiting",
        "_woken",
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
        client: OfferedModels,
    ) -> None:
        clock, pool = app.clock, settings.upstream.pool
        self._app = app
        self._settings = settings
        self._store = store
        self._client = client
        self._began_ms = 0
        self._candidate: Change | None = None
        self._candidate_ms = 0
        self._last: Ending | None = None
        self._source = ""
        self._waiting = NOT_CONFIGURED
        self._woken = asyncio.Event()
        self.demand = Demand(clock=clock)
        self._engine = OrderClient(app=app, settings=settings.upstream)
        self._retries = Retries(clock=clock, seed=app.incarnation)
        self._own = OwnEngine(name=app.name, clock=clock, demand=self.demand, retries=self._retries)
        self._table = HoldingTable(clock=clock)
        self._planner = Planner(name=app.name, table=self._table)
        self._lease = OrderLease(app=app, settings=settings.platform, pool=pool)
        fleet.on_list(self._take_list)
        fleet.on_confirmed(self._lease.note_fresh)
        self._loads = LoadTurns(
            app=app, lease=self._lease, retries=self._retries, table=self._table
        )
        self._news = HoldingNews(
            app=app,
            fleet=fleet,
            links=links,
            notices=notices,
            pool=pool,
            table=self._table,
            on_news=self._woken.set,
        )
        self._giver = OrderGiver(
            app=app, client=self._engine, lease=self._lease, is_leaving=app.stopping.is_set
        )
        self._runner = ChangeRunner(
            app=app,
            giver=self._giver,
            own=self._own,
            demand=self.demand,
            observe=self._async_observe,
            is_wanted=self._is_wanted,
            find_obstacle=self._find_change_obstacle,
            take_store_slot=self._take_store_slot,
        )

    def wrap(self, handler: ExchangeHandler) -> ExchangeHandler:
        """Return a handler that counts the requests of each model."""
        return self.demand.wrap(handler)

    def note_listening(self, address: Address) -> None:
        """Say at which address the list must name this process for it to give orders."""
        self._lease.set_address(address)
        upstream = self._settings.upstream
        # Neighbours reach an engine that is named by a loopback address at the side's own host.
        is_loopback = ipaddress.ip_address(upstream.host).is_loopback
        host = address.host if is_loopback else upstream.host
        self._own.address = str(Address(host=host, port=upstream.port))

    async def async_start(self) -> None:
        """Begin to look after the engine."""
        await self._engine.async_start()
        self._app.add_dump_section(DUMP_SECTION, self._dump)
        self._news.start(lambda: self._get_orders() is not None)
        self._app.async_create_task(self._async_run(), "orders")

    def _take_list(self, listed: InstanceList) -> None:
        self._lease.note_list(listed)
        self._table.set_listed(self._lease.members)
        self._woken.set()

    async def _async_run(self) -> None:
        clock = self._app.clock
        while True:
            pause_ms = await self._async_turn()
            self._woken.clear()
            await clock.async_sleep(min(pause_ms, CHANGE_TURN_MS))
            rest_ms = pause_ms - CHANGE_TURN_MS
            if rest_ms > 0:
                await async_wait(self._woken, clock=clock, timeout_ms=rest_ms)

    async def _async_turn(self) -> int:
        """Look at the engine, and change it where that is due; return the time until the next."""
        if self._get_orders() is None:
            self._rest()
            return TURN_MS
        await self._async_observe()
        await self._async_cancel_strangers()
        change = self._choose_change()
        orders = self._get_orders()
        if change is None or orders is None:
            return TURN_MS
        source = self._find_way(change, orders)
        if isinstance(source, Waiting):
            self._waiting = source.reason
            return max(1, min(TURN_MS, source.look_ms))
        await self._async_carry_out(change, orders, source.engine)
        return 0

    def _rest(self) -> None:
        self._waiting = NOT_CONFIGURED
        self._planner.forget()
        self._candidate = None
        self._client.withdraw(frozenset())

    async def _async_observe(self) -> None:
        """Read the engine, tell the others of it, and work out what it is to hold."""
        self._own.state = await self._engine.async_read()
        self._tell()
        self._plan()
        self._withdraw()

    def _tell(self) -> None:
        changed = self._own.restamp(due_ms=self._table.restamp_ms)
        self._table.note(self._own.holding)
        if changed:
            self._news.tell()

    def _plan(self) -> None:
        pool = self._get_pool()
        if pool is None or pool.orders is None or self._own.state is None:
            self._planner.forget()
            return
        self._table.hold_ms = pool.orders.settle_ms
        self.demand.window_ms = max(1, round(pool.orders.settle_ms * SMOOTHING_SHARE))
        self._planner.update(pool, pool.orders)

    def _withdraw(self) -> None:
        """Turn requests away for what is changed, and for what the engine has lost unnoticed."""
        state = self._own.state
        lost = () if state is None else set(self._client.held_models).difference(state.models)
        self._client.withdraw(self._own.turned_away.union(lost))

    async def _async_cancel_strangers(self) -> None:
        """Cancel loads that are not wished, such as those of an earlier process."""
        state, wished = self._own.state, self._planner.wished
        if state is None or wished is None:
            return
        for name, version in state.pending.items():
            if wished.get(name) != version:
                await self._giver.async_cancel(name, version, reason="not wished here")

    def _choose_change(self) -> Change | None:
        """Return the next change, None where there is none or too little is known."""
        orders, state, wished = self._get_orders(), self._own.state, self._planner.wished
        change = None
        if orders is None or state is None or wished is None:
            self._waiting = self._explain_ignorance()
        else:
            models = frozenset(model.name for model in orders.models if model.name in wished)
            change = choose_change(orders, models, state)
            self._waiting = ""
        if not is_same_step(change, self._candidate):
            self._candidate = change
            self._candidate_ms = self._app.clock.now_ms()
            self._own.retried = None
        return change

    def _explain_ignorance(self) -> str:
        if self._own.state is None:
            return "the engine does not answer"
        awaited = self._table.list_awaited()
        if awaited:
            return f"not heard of yet: {', '.join(awaited)}"
        rival = self._table.find_rival(self._own.holding)
        if rival:
            return f"{rival} is also beside this engine"
        return self._lease.find_obstacle()

    def _find_way(self, change: Change, orders: PoolOrders) -> Source | Waiting:
        """Return where a change takes its weights from, or why it may not begin now."""
        obstacle = self._giver.find_obstacle()
        if obstacle:
            return Waiting(reason=obstacle)
        if self._own.is_loading(change):
            return Source()
        settles_ms = self._candidate_ms + orders.settle_ms - self._app.clock.now_ms()
        if settles_ms > 0 and not change.is_prompt:
            reason = f"{change.reason}, if that lasts for {orders.settle_ms} ms"
            return Waiting(reason=reason, look_ms=settles_ms)
        obstacle = self._find_change_obstacle(change)
        if obstacle:
            return Waiting(reason=obstacle)
        return self._loads.find(change, orders) if change.kind is OrderKind.LOAD else Source()

    def _find_change_obstacle(self, change: Change) -> str:
        """Return why the other engines do not allow a change now."""
        orders = self._get_orders()
        if orders is None:
            return NOT_CONFIGURED
        return find_obstacle(
            own=self._app.name,
            change=change,
            orders=orders,
            holdings=self._table.list_answering(),
        )

    async def _async_carry_out(self, change: Change, orders: PoolOrders, source: str) -> None:
        self._source = source
        self._began_ms = self._app.clock.wall_ms()
        self._own.begin(change)
        self._tell()
        limits = ChangeLimits(drain_ms=self._settings.limits.drain_ms, load_ms=orders.load_ms)
        try:
            ending = await self._runner.async_run(change, source=source, limits=limits)
            self._note_ending(change, ending)
            await self._async_observe()
        finally:
            self._own.end()
        self._tell()
        self._withdraw()

    def _note_ending(self, change: Change, ending: Ending) -> None:
        _LOGGER.info("Change %s %s: %s", change.name or change.role, ending.result, ending.reason)
        self._last = ending
        self._candidate = None
        match ending.result:
            case Result.DONE | Result.CANCELLED:
                self._retries.note_done(change.name)
            case Result.FAILED:
                self._retries.note_failed(change.name, change.version, source=ending.source)
                self._own.retried = change
                # The rest of the change is tried again without another time to settle.
                left = tuple(name for name in change.withdraws if name not in change.drops)
                self._candidate = replace(change, drops=(), withdraws=left)

    def _is_wanted(self, change: Change) -> bool:
        """Return whether a change follows from the configuration and the plan of now."""
        orders, wished = self._get_orders(), self._planner.wished
        if orders is None:
            return False
        match change.kind:
            case OrderKind.SET_ROLE:
                return orders.role == change.role
            case OrderKind.LOAD:
                return wished is None or wished.get(change.name) == change.version
            case OrderKind.UNLOAD:
                return wished is None or not any(name in wished for name in change.drops)

    def _take_store_slot(self) -> int:
        orders = self._get_orders()
        return TURN_MS if orders is None else self._loads.take_store_slot(orders)

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
            "may_order": self._giver.find_obstacle() or "yes",
            "wished": None if planner.wished is None else dict(planner.wished),
            "held": dump_state(self._own.state),
            "pending": dump_change(
                self._own.change,
                confirmed=self._own.confirmed,
                source=self._source,
                since_ms=self._began_ms,
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
            "journal": self._giver.dump(),
        }
