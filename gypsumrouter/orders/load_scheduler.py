"""Source and start time of a load."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.configuration import PoolOrders
from gypsumrouter.core import Application
from gypsumrouter.link.models import EngineStatus
from gypsumrouter.orders.const import POLL_MS
from gypsumrouter.orders.gates import choose_source, find_store_block_reason
from gypsumrouter.orders.lease import OrderLease
from gypsumrouter.orders.models import Change
from gypsumrouter.orders.retries import Retries
from gypsumrouter.orders.store_slots import StoreSlots
from gypsumrouter.orders.table import HoldingTable


class Deferred(Struct, frozen=True, kw_only=True):
    """Why a change does not start yet, and the time until the next check."""

    reason: str
    recheck_ms: int = POLL_MS


class Source(Struct, frozen=True, kw_only=True):
    """The address of the engine to load from; empty for the weight store."""

    engine: str = ""


class LoadScheduler:
    """Choose the source of a load and respect the rate limit of the weight store."""

    __slots__ = ("_app", "_lease", "_retries", "_slots", "_table")

    def __init__(
        self, *, app: Application, lease: OrderLease, retries: Retries, table: HoldingTable
    ) -> None:
        self._app = app
        self._lease = lease
        self._retries = retries
        self._table = table
        self._slots = StoreSlots()

    def schedule(self, change: Change, orders: PoolOrders) -> Source | Deferred:
        """Return the source of a load, or why it may not start yet."""
        name, version = change.name, change.version
        pause_ms = self._retries.get_wait_ms(name, version)
        if pause_ms > 0:
            failures = self._retries.get_failures(name)
            reason = f"{name} {version} is tried again soon, {failures} tries have failed"
            return Deferred(reason=reason, recheck_ms=pause_ms)
        holdings = self._table.list_available()
        engine = self._choose_neighbour(change, holdings)
        if engine:
            return Source(engine=engine)
        block_reason = find_store_block_reason(
            own=self._app.name, name=name, version=version, holdings=holdings
        )
        if block_reason:
            return Deferred(reason=block_reason)
        wait_ms = self.get_store_wait_ms(orders)
        if wait_ms > 0:
            return Deferred(reason="the weight store has its turns", recheck_ms=wait_ms)
        return Source()

    def _choose_neighbour(self, change: Change, holdings: list[EngineStatus]) -> str:
        if not self._retries.may_try_neighbours(change.name, change.version):
            return ""
        return choose_source(
            own=self._app.name,
            name=change.name,
            version=change.version,
            avoided=self._retries.list_avoided(),
            holdings=holdings,
        )

    def get_store_wait_ms(self, orders: PoolOrders) -> int:
        """Return the time until this side may load from the store, 0 if it may now."""
        members = self._lease.members
        if self._app.name not in members:
            return POLL_MS
        return self._slots.get_wait_ms(
            own=self._app.name,
            members=members,
            loads_per_s=orders.store_loads_per_s,
            wall_ms=self._app.clock.wall_ms(),
        )

    def acquire_store_slot(self, orders: PoolOrders) -> int:
        """Use the current store slot and return 0, or return the time until this side's slot."""
        wait_ms = self.get_store_wait_ms(orders)
        if wait_ms == 0:
            wall_ms = self._app.clock.wall_ms()
            self._slots.use(loads_per_s=orders.store_loads_per_s, wall_ms=wall_ms)
        return wait_ms
