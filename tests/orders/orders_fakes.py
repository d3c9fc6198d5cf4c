"""A cluster of sides with stand-in engines in one process, with a manual clock and fake links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, cast

import msgspec
from msgspec.structs import replace

from gypsumrouter.configuration import ConfigurationStore
from gypsumrouter.configuration.models import (
    CallerClass,
    Configuration,
    OrderedModel,
    Pool,
    PoolOrders,
)
from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.core import Application, Remove
from gypsumrouter.fleet import Address, Instance, InstanceList
from gypsumrouter.link import NoticeHub, Peer
from gypsumrouter.link.models import EngineStatus, Hello, ModelStatus, Notice
from gypsumrouter.orders import Orders
from gypsumrouter.settings import Identity, Link, Platform, SideSettings, Upstream
from gypsumrouter.standins import Engine, EngineSettings, WeightStore
from gypsumrouter.standins.orders import OrderKind, OrderRecord, OrderState
from gypsumrouter.util.clock import ManualClock

POOL = "models"
CHAT, REPORTS = "chat", "reports"
LEASE_MS = 2_000
SETTLE_MS = 1_500
STORE_PER_S = 2.0
STEP_MS = 25
STEPS_MAX = 4_000
LOOPS_PER_STEP = 12


def make_orders(**changes: Any) -> PoolOrders:
    values: dict[str, Any] = {
        "models": (OrderedModel(name=CHAT),),
        "store_loads_per_s": STORE_PER_S,
        "settle_ms": SETTLE_MS,
        "load_ms": 5_000,
    }
    return PoolOrders(**(values | changes))


def make_holding(name: str, *models: ModelStatus, role: str = "both") -> EngineStatus:
    return EngineStatus(
        name=name, stamp_ms=1, engine=f"{name}:1", up=True, role=role, models=models
    )


def make_instance(name: str, address: Address) -> Instance:
    return Instance(
        name=name, role=Role.SIDE, address=address, data_centre="dc", region="r", pool=POOL
    )


class FakeInstanceList:
    """The instance list as read by one side."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.listed: InstanceList | None = None
        self._lists: list[Callable[[InstanceList], None]] = []
        self._fresh: list[Callable[[int], None]] = []

    def peers(self) -> tuple[Instance, ...]:
        listed = () if self.listed is None else self.listed.instances
        return tuple(item for item in listed if item.name != self.name)

    def on_list(self, listener: Callable[[InstanceList], None]) -> Remove:
        self._lists.append(listener)
        return lambda: self._lists.remove(listener)

    def on_confirmed(self, listener: Callable[[int], None]) -> Remove:
        self._fresh.append(listener)
        return lambda: self._fresh.remove(listener)

    def read(self, listed: InstanceList) -> None:
        known, self.listed = self.listed, listed
        if known is not None and known.revision == listed.revision:
            for fresh in self._fresh:
                fresh(listed.as_of_ms)
            return
        for listener in self._lists:
            listener(listed)


class ServedModels:
    """The models for which a side accepts requests."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.withdrawn: frozenset[str] = frozenset()

    @property
    def held_models(self) -> tuple[str, ...]:
        return tuple(sorted(self._engine.orders.models))

    def withdraw(self, names: frozenset[str]) -> None:
        self.withdrawn = names


class Side:
    """One side with its engine; `reads_list` is False while it can't reach the instance list."""

    def __init__(
        self, cluster: Cluster, *, name: str, engine: Engine, address: Address, incarnation: int
    ) -> None:
        self.name = name
        self.cluster = cluster
        self.engine = engine
        self.address = address
        self.reads_list = True
        self.app = Application(
            name=name,
            role=Role.SIDE,
            data_centre="dc",
            region="r",
            clock=cluster.clock,
            incarnation=incarnation,
        )
        self.lists = FakeInstanceList(name)
        self.notices = NoticeHub()
        self.store = ConfigurationStore(app=self.app)
        self.offered = ServedModels(engine)
        settings = SideSettings(
            instance=Identity(name=name, data_centre="dc", region="r"),
            link=Link(),
            platform=Platform(list_lease_ms=LEASE_MS, clock_skew_ms=0),
            upstream=Upstream(pool=POOL, kind=UpstreamKind.ENGINE, port=engine.address.port),
        )
        self.orders = Orders(
            app=self.app,
            settings=settings,
            store=self.store,
            fleet=self.lists,
            links=self,
            notices=self.notices,
            client=self.offered,
        )

    async def async_start(self) -> None:
        await self.store.async_offer(self.cluster.document)
        self.orders.set_advertised_address(self.address)
        await self.orders.async_start()

    async def async_send(self, *, instance: Instance, notice: Notice) -> bool:
        receiver = self.cluster.sides.get(instance.name)
        if receiver is None or instance.name in self.cluster.cut or self.name in self.cluster.cut:
            return False
        hello = Hello(name=self.name, role=Role.SIDE, incarnation=self.app.incarnation)
        peer = Peer(hello=hello, connection=cast(Any, None), dialed=False)
        receiver.notices.publish(peer, notice)
        return True

    @property
    def dump(self) -> dict[str, Any]:
        section = self.app.dump()["orders"]
        assert isinstance(section, dict)
        return section

    @property
    def held(self) -> dict[str, str]:
        return dict(self.engine.orders.models)

    def is_serving(self, name: str) -> bool:
        return name in self.engine.orders.models and name not in self.offered.withdrawn


class Cluster:
    """All sides, their engines, the weight store and the instance list.

    `min_serving` records, for each model that is a key, the lowest number of serving sides seen.
    """

    def __init__(self) -> None:
        self.clock = ManualClock(now_ms=1_000)
        self.weights = WeightStore(
            clock=self.clock, fetches_per_s=STORE_PER_S, burst=1, fetch_ms=200
        )
        self.sides: dict[str, Side] = {}
        self.engines: list[Engine] = []
        self.retired: list[Side] = []
        self.cut: set[str] = set()
        self.configuration = Configuration(
            version=0, classes=(CallerClass(name="parents"),), default_class="parents"
        )
        self.document = b""
        self._revision = 1
        self._listed: tuple[Instance, ...] = ()
        self._made = 0
        self.min_serving: dict[str, int] = {}

    def set_configuration(self, orders: PoolOrders | None) -> None:
        """Set the configuration for sides that are started later."""
        models = () if orders is None else _list_names(orders)
        pool = Pool(
            name=POOL, kind=UpstreamKind.ENGINE, models=models or (CHAT,), slots=4, orders=orders
        )
        self.configuration = replace(
            self.configuration, version=self.configuration.version + 1, pools=(pool,)
        )
        self.document = msgspec.json.encode(self.configuration)

    async def async_publish(self, orders: PoolOrders | None) -> None:
        """Set the configuration and apply it at all running sides."""
        self.set_configuration(orders)
        for side in self.sides.values():
            await side.store.async_offer(self.document)

    async def async_add_engine(self, *models: str, **settings: Any) -> Engine:
        engine = Engine(
            clock=self.clock,
            settings=EngineSettings(
                models=models, weight_store=self.weights.address, restart_ms=500, **settings
            ),
        )
        await engine.async_start()
        self.engines.append(engine)
        return engine

    async def async_add_side(self, name: str, engine: Engine) -> Side:
        """Start a side; one of the same name is replaced in the list but keeps running."""
        self._made += 1
        address = Address(host="127.0.0.1", port=20_000 + self._made)
        side = Side(self, name=name, engine=engine, address=address, incarnation=self._made)
        if name in self.sides:
            self.retired.append(self.sides[name])
        self.sides[name] = side
        await side.async_start()
        self.list_sides()
        return side

    async def async_add(self, name: str, *models: str, **settings: Any) -> Side:
        return await self.async_add_side(name, await self.async_add_engine(*models, **settings))

    def list_sides(self, *, without: Iterable[str] = ()) -> None:
        """Publish a list of the current sides."""
        self._revision += 1
        left = set(without)
        self._listed = tuple(
            make_instance(side.name, side.address)
            for side in self.sides.values()
            if side.name not in left
        )
        self._deliver_list()

    async def async_run(self, duration_ms: int) -> None:
        """Advance the clock in steps and run the event loop after each."""
        for _ in range(duration_ms // STEP_MS):
            await self._async_step()

    async def async_run_until(self, condition: Callable[[], bool]) -> None:
        """Advance the clock until a condition is true."""
        for _ in range(STEPS_MAX):
            if condition():
                return
            await self._async_step()
        raise AssertionError(f"condition is still false after {STEPS_MAX} steps of {STEP_MS} ms")

    def records(self, side: Side, *, kind: OrderKind | None = None) -> list[OrderRecord]:
        """Return the orders that the engine of a side received."""
        return [
            record
            for record in side.engine.orders.records
            if kind is None or record.order.kind is kind
        ]

    def count_loads(self) -> int:
        """Return the number of loads completed by all engines."""
        return sum(
            record.order.kind is OrderKind.LOAD and record.state is OrderState.APPLIED
            for engine in self.engines
            for record in engine.orders.records
        )

    async def async_stop(self) -> None:
        for side in (*self.sides.values(), *self.retired):
            await side.app.async_stop()
        for engine in self.engines:
            await engine.async_stop()
        await self.weights.async_stop()

    async def _async_step(self) -> None:
        self.clock.advance(STEP_MS)
        self._deliver_list()
        # Calls to engines use real sockets and need several iterations of the event loop.
        for _ in range(LOOPS_PER_STEP):
            await asyncio.sleep(0)
        for name in self.min_serving:
            serving = sum(side.is_serving(name) for side in self.sides.values())
            self.min_serving[name] = min(self.min_serving[name], serving)

    def _deliver_list(self) -> None:
        listed = InstanceList(
            revision=self._revision, as_of_ms=self.clock.wall_ms(), instances=self._listed
        )
        for side in (*self.sides.values(), *self.retired):
            if side.reads_list:
                side.lists.read(listed)


def _list_names(orders: PoolOrders) -> tuple[str, ...]:
    models = tuple(model.name for model in orders.models)
    return models + tuple(item.name for model in orders.models for item in model.adapters)
