"""Where a load comes from, and when it may begin."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.configuration import PoolOrders
from gypsumrouter.core import Application
from gypsumrouter.link.models import EngineStatus
from gypsumrouter.orders.const import TURN_MS
from gypsumrouter.orders.gates import choose_source, find_store_obstacle
from gypsumrouter.orders.lease import OrderLease
from gypsumrouter.orders.models import Change
from gypsumrouter.orders.retries import Retries
from gypsumrouter.orders.store_slots import StoreSlots
from gypsumrouter.orders.table import HoldingTable


class Waiting(Struct, frozen=True, kw_only=True):
    """Why a change is not begun, and the milliseconds after which to look again."""

    reason: str
    look_ms: int = TURN_MS


class Source(Struct, frozen=True, kw_only=True):
    """Where weights come from: a neighbouring engine, or the weight store where it is empty."""

    engine: str = ""


class LoadTurns:
    """Choose the source of a load and keep to the pace of the weight store."""

    __slots__ = ("_app", "_lease", "_retries", "_slots", "_table")

    def __init__(
        self, *, app: Application, lease: OrderLease, retries: Retries, table: HoldingTable
    ) -> None:
        self._app = app
        self._lease = lease
        self._retries = retries
        self._table = table
        self._slots = StoreSlots()

    def find(self, change: Change, orders: PoolOrders) -> Source | Waiting:
        """Return where a load comes from, or why it may not begin yet."""
        name, version = change.name, change.version
        pause_ms = self._retries.get_wait_ms(name, version)
        if pause_ms > 0:
            failures = self._retries.get_failures(name)
            reason = f"{name} {version} is tried again soon, {failures} tries have failed"
            return Waiting(reason=reason, look_ms=pause_ms)
        holdings = self._table.list_answering()
        engine = self._choose_neighbour(change, holdings)
        if engine:
            return Source(engine=engine)
        obstacle = find_store_obstacle(
            own=self._app.name, name=name, version=version, holdings=holdings
        )
        if obstacle:
            return Waiting(reason=obstacle)
        wait_ms = self.get_store_wait_ms(orders)
        if wait_ms > 0:
            return Waiting(reason="the weight store has its turns", look_ms=wait_ms)
        return Source()

    def _choose_neighbour(self, change: Change, holdings: list[EngineStatus]) -> str:
        if not self._retries.may_ask_neighbours(change.name, change.version):
            return ""
        return choose_source(
            own=self._app.name,
            name=change.name,
            version=change.version,
            avoided=self._retries.list_avoided(),
            holdings=holdings,
        )

    def get_store_wait_ms(self, orders: PoolOrders) -> int:
        """Return the time until this side may load from the store, 0 where it may now."""
        members = self._lease.members
        if self._app.name not in members:
            return TURN_MS
        return self._slots.get_wait_ms(
            own=self._app.name,
            members=members,
            loads_per_s=orders.store_loads_per_s,
            wall_ms=self._app.clock.wall_ms(),
        )

    def take_store_slot(self, orders: PoolOrders) -> int:
        """Use this side's turn at the store; return the time until it comes where it is not now."""
        wait_ms = self.get_store_wait_ms(orders)
        if wait_ms == 0:
            wall_ms = self._app.clock.wall_ms()
            self._slots.use(loads_per_s=orders.store_loads_per_s, wall_ms=wall_ms)
        return wait_ms
